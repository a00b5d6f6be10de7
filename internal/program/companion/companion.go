// Package companion is the sidecar on the users' platform: it runs on the host of one
// model server, reads the server's counts and reports, and forwards orders to it. One
// sidecar of each group is also the planner of the group's expert maps.
package companion

import (
	"context"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"wagtailshelf.example/wagtailshelf/internal/expert/changeover"
	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/expert/seating"
	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/program/deployed"
	"wagtailshelf.example/wagtailshelf/internal/traffic/ratelimit"
	"wagtailshelf.example/wagtailshelf/internal/wire/address"
	"wagtailshelf.example/wagtailshelf/internal/wire/digest"
	"wagtailshelf.example/wagtailshelf/internal/wire/ingress"
	"wagtailshelf.example/wagtailshelf/internal/wire/rankport"
	"wagtailshelf.example/wagtailshelf/internal/wire/space"
	"wagtailshelf.example/wagtailshelf/platform"
)

// Companion is a sidecar.
type Companion struct {
	settings  deployed.Settings
	log       *log.Logger
	metrics   *metrics.Set
	store     *platform.Store
	engines   *platform.EngineClient
	peers     *rankport.Client
	malformed *deployed.Malformed

	mu         sync.Mutex
	ownGroup   roster.GroupName // group in the engine's last report; "" until the first one
	planners   map[roster.GroupName]*plannerView
	countsMark uint64                // identifies lastCounts
	lastCounts platform.ExpertCounts // counts that were last read for a planner
	// loggedFindings are the findings that were logged already: each is logged once.
	loggedFindings map[seating.Finding]bool

	preparedMaps []*expertmap.Map // latest prepared maps, the newest last; orders send a new map as changes to one of them

	socket      *digest.Socket // not used by others before socketOpen is closed
	socketOpen  chan struct{}
	entries     map[netip.AddrPort]entry
	targetRates ratelimit.Reports // rates of rate-limited targets, from the entries' heartbeats
	// ratesSentAt is when targetRates was last sent to the entries, and ratesRound counts
	// these times.
	ratesSentAt   time.Time
	ratesRound    uint64
	reportedRates map[netip.AddrPort]ratelimit.Statement // rates in the engines' reports; engines that report none are absent
}

// New returns a sidecar that is not running yet.
func New(s deployed.Settings, l *log.Logger, m *metrics.Set) *Companion {
	c := &Companion{
		settings:       s,
		log:            l,
		metrics:        m,
		store:          platform.NewStore(s.Store),
		engines:        platform.NewEngineClient(),
		socketOpen:     make(chan struct{}),
		peers:          rankport.NewClient(),
		malformed:      deployed.NewMalformed(l, m),
		planners:       make(map[roster.GroupName]*plannerView),
		loggedFindings: make(map[seating.Finding]bool),
		entries:        make(map[netip.AddrPort]entry),
		reportedRates:  make(map[netip.AddrPort]ratelimit.Statement),
	}
	c.engines.OnRate = c.noteReportedRate
	c.store.OnCall = deployed.StoreCallCounter(m)
	c.store.OnMalformed = c.malformed.Report
	c.store.Eras.Changed = deployed.LogEras(l, m)
	return c
}

// Run serves until the context ends.
func (c *Companion) Run(ctx context.Context, r *deployed.Reloader) error {
	// A sidecar applies no setting while it runs: the reloader only logs that the settings changed.
	r.Apply = func(deployed.Settings) {}
	tasks := deployed.NewTasks(c.log, c.metrics)
	tasks.Add(ctx, "reload", r.Run)
	tasks.Add(ctx, "peers", c.servePeers)
	tasks.Add(ctx, "datagrams", c.serveDatagrams)
	tasks.Add(ctx, "planning", c.seekLeadership)
	tasks.Add(ctx, "metrics", func(ctx context.Context) error {
		return deployed.ServeMetrics(ctx, c.settings, c.log, c.metrics)
	})
	return tasks.Run(ctx, host.Sidecar)
}

// serveDatagrams opens the socket for datagrams and serves it. The socket stays open if serving ends early.
func (c *Companion) serveDatagrams(ctx context.Context) error {
	if c.socket == nil {
		at := c.settings.Listen.Peers
		s := address.Socket{Name: "datagrams", Address: at, Log: c.log}
		socket, err := address.Open(ctx, s, func() (*digest.Socket, error) { return digest.Open(at) })
		if err != nil {
			return err
		}
		c.socket = socket
		close(c.socketOpen)
	}
	return c.socket.Serve(ctx, c.receiveHeartbeat, func(netip.AddrPort, digest.Update) {})
}

// entry is the state of one entry process, from its last heartbeat or from another planner.
type entry struct {
	at            netip.AddrPort
	demand        float64
	configFresh   bool // its configuration is fresh enough to serve all callers
	configVersion int64
	lastHeartbeat time.Time
}

// receiveHeartbeat records an entry's heartbeat and the target rates in it.
func (c *Companion) receiveHeartbeat(from netip.AddrPort, h digest.Heartbeat) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.addEntry(entry{at: from, demand: h.Demand, configFresh: h.Fresh, configVersion: h.ConfigVersion, lastHeartbeat: now})
	for _, w := range digest.ToReports(h.Rates) {
		c.targetRates.Add(now, w)
	}
}

// addEntries records the entries that a planner knows, in case this process becomes its
// successor.
func (c *Companion) addEntries(now time.Time, list []rankport.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range list {
		c.addEntry(entry{at: e.Address, demand: e.Demand, configFresh: e.Fresh, lastHeartbeat: now})
	}
}

// maxEntries bounds the entries that are remembered: anybody can send heartbeats from many addresses. The
// largest planned deployment has 340 processes.
const maxEntries = 4096

// addEntry records the state of an entry. If there are too many, those that are known keep their place.
func (c *Companion) addEntry(e entry) {
	if _, known := c.entries[e.at]; !known && len(c.entries) >= maxEntries {
		c.removeSilent(e.lastHeartbeat)
		if len(c.entries) >= maxEntries {
			return
		}
	}
	c.entries[e.at] = e
}

// removeSilent removes the entries whose last heartbeat is not recent.
func (c *Companion) removeSilent(now time.Time) {
	maps.DeleteFunc(c.entries, func(_ netip.AddrPort, e entry) bool { return now.Sub(e.lastHeartbeat) > digest.HeartbeatLifetime })
}

const (
	// ratesInterval is how often the rates of rate-limited targets are sent to entries.
	ratesInterval = time.Second
	// rateRetention is how long a rate is still sent after an entry last received it from
	// its target. An entry that may send to a target which accepts next to nothing sends it
	// two requests in that time.
	rateRetention = time.Minute
)

// ratesDue returns the rates of rate-limited targets if ratesInterval has passed since they
// were last sent, and nil otherwise.
func (c *Companion) ratesDue(now time.Time) []digest.Rate {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.ratesSentAt) < ratesInterval {
		return nil
	}
	c.ratesSentAt = now
	c.ratesRound++
	return digest.FromReports(c.targetRates.Recent(now, rateRetention, digest.MaxRates, c.ratesRound))
}

// liveEntries returns the entries whose last heartbeat is recent, ordered by address, and
// removes the others.
func (c *Companion) liveEntries(now time.Time) []entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeSilent(now)
	list := slices.Collect(maps.Values(c.entries))
	slices.SortFunc(list, func(a, b entry) int { return a.at.Compare(b.at) })
	return list
}

// noteReportedRate logs when an engine's reports begin to name a rate, name another one, or
// no longer name any.
func (c *Companion) noteReportedRate(at netip.AddrPort, s ratelimit.Statement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.reportedRates[at]
	if s == before {
		return
	}
	delete(c.reportedRates, at)
	if s.Kind != ratelimit.NoRate {
		c.reportedRates[at] = s
	}
	c.log.Info().Str("event", "reportedRate").Stringer("address", at).Stringer("rate", s).Stringer("before", before).Msg("")
}

func (c *Companion) servePeers(ctx context.Context) error {
	mux := http.NewServeMux()
	requests := &space.Budget{Total: int64(requestShare * float64(c.settings.Resources().Memory))}
	rankport.Handler{Poll: c.handlePoll, Order: c.handleOrder, Space: requests}.Register(mux)
	l := deployed.Listener{
		Name: "peers", Address: c.settings.Listen.Peers, Limits: c.settings.Resources().Limits(ingress.Peers), Log: c.log, Metrics: c.metrics,
	}
	return l.Serve(ctx, mux)
}

// requestShare is the part of the process's memory that requests of planners may take up.
const requestShare = 0.1

// handlePoll answers a planner's poll.
func (c *Companion) handlePoll(ctx context.Context, l rankport.Poll) rankport.State {
	report, err := c.report(ctx)
	term, accepted := c.acceptPlanner(l.Asker, time.Now())
	state := rankport.State{Term: term, Report: report}
	if err != nil {
		state.Failed = err.Error()
	}
	if err != nil || !accepted {
		return state
	}
	c.addEntries(time.Now(), l.Entries)
	if l.WantCounts {
		state.Mark, state.Counts = c.countsSince(ctx, l.Since)
	}
	if l.WantLists {
		state.Lists, err = c.engines.ExpertLists(ctx, c.settings.Target.Address)
		if err != nil {
			state.Failed = err.Error()
		}
	}
	return state
}

// report reads the engine's report and records the group in it as the own group.
func (c *Companion) report(ctx context.Context) (changeover.Report, error) {
	r, err := c.engines.Report(ctx, c.settings.Target.Address)
	if err == nil {
		c.setOwnGroup(time.Now(), r.Group)
	}
	return r, err
}

// countsSince returns what the rank has counted since a mark, and the new mark. The counts
// are empty if the mark is not that of the previous call or the server has restarted, and the
// mark is 0 if the counts could not be read.
func (c *Companion) countsSince(ctx context.Context, since uint64) (uint64, rankport.Counts) {
	now, err := c.engines.Counts(ctx, c.settings.Target.Address)
	if err != nil {
		// The planner continues with the counts of the other ranks.
		c.log.Warn().Str("event", "countsNotRead").Err(err).Msg("")
		return 0, rankport.Counts{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	before, known := c.lastCounts, since != 0 && since == c.countsMark
	c.countsMark++
	c.lastCounts = now
	if !known || !now.Continues(before) {
		return c.countsMark, rankport.Counts{}
	}
	added := make([]uint64, len(now.Counts))
	for i, n := range now.Counts {
		added[i] = n - before.Counts[i]
	}
	return c.countsMark, rankport.NewCounts(added)
}
