// Package companion is the sidecar on the users' platform: it runs beside one model
// server, reads what the server counts and reports, and carries orders to it. One
// sidecar of each group also plans the group's expert maps.
package companion

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oklog/run"
	"github.com/phuslu/log"

	"wagtailshelf.example/wagtailshelf/internal/expert/changeover"
	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/expert/seating"
	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/program/deployed"
	"wagtailshelf.example/wagtailshelf/internal/traffic/ratelimit"
	"wagtailshelf.example/wagtailshelf/internal/wire/digest"
	"wagtailshelf.example/wagtailshelf/internal/wire/rankport"
	"wagtailshelf.example/wagtailshelf/platform"
)

// Companion is the sidecar's state.
type Companion struct {
	settings deployed.Settings
	log      *log.Logger
	metrics  *metrics.Set
	store    *platform.Store
	engines  *platform.Engines
	peers    *rankport.Client
	bad      *deployed.Malformed

	mu     sync.Mutex
	own    roster.GroupName // of which the engine is, as it said last; "" until it did
	groups map[roster.GroupName]*following
	mark   uint64          // names the counts below
	counts platform.Counts // as they were told last
	// doubted are the findings that were logged, so that each is once.
	doubted map[seating.Finding]bool

	maps []*expertmap.Map // that were prepared last, for changes to be based on

	socket  *digest.Socket
	entries map[netip.AddrPort]entry
	words   ratelimit.Words // of targets in need, as entries heard
	// toldRates is when entries were told of them last, and rateTurn counts these times.
	toldRates time.Time
	rateTurn  uint64
	rates     map[netip.AddrPort]ratelimit.Said // that engines named in their reports; without those that name none
}

// New returns a sidecar that does not run yet.
func New(s deployed.Settings, l *log.Logger, m *metrics.Set) *Companion {
	c := &Companion{
		settings: s,
		log:      l,
		metrics:  m,
		store:    platform.NewStore(s.Store),
		engines:  platform.NewEngines(),
		peers:    rankport.NewClient(),
		bad:      deployed.NewMalformed(l, m),
		groups:   make(map[roster.GroupName]*following),
		doubted:  make(map[seating.Finding]bool),
		entries:  make(map[netip.AddrPort]entry),
		rates:    make(map[netip.AddrPort]ratelimit.Said),
	}
	c.engines.Rate = c.heardRate
	c.store.Called = deployed.CountStoreCalls(m)
	c.store.Malformed = c.bad.Note
	c.store.Eras.Changed = deployed.TellEras(l, m)
	return c
}

// Run serves until the context ends.
func (c *Companion) Run(ctx context.Context, r *deployed.Reloader) error {
	socket, err := digest.Open(c.settings.Listen.Peers)
	if err != nil {
		return err
	}
	c.socket = socket
	var group run.Group
	duty := func(serve func(context.Context) error) {
		ctx, cancel := context.WithCancel(ctx)
		group.Add(func() error { return serve(ctx) }, func(error) { cancel() })
	}
	// Nothing that a sidecar uses can change while it runs but its log of the fact.
	r.Apply = func(deployed.Settings) {}
	duty(r.Run)
	duty(c.servePeers)
	duty(func(ctx context.Context) error {
		return socket.Serve(ctx, c.heardEntry, func(netip.AddrPort, digest.Digest) {})
	})
	duty(c.seekPlanning)
	duty(func(ctx context.Context) error {
		return deployed.ServeMetrics(ctx, c.settings.Listen.Metrics, c.metrics)
	})
	c.log.Info().Str("event", "started").Str("role", "sidecar").Msg("")
	err = group.Run()
	c.log.Info().Str("event", "stopped").Err(err).Msg("")
	return err
}

// entry is one that made itself known.
type entry struct {
	address netip.AddrPort
	demand  float64
	fresh   bool // its rules are
	rules   int64
	heard   time.Time
}

func (c *Companion) heardEntry(from netip.AddrPort, h digest.Hello) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.entries[from] = entry{address: from, demand: h.Demand, fresh: h.Fresh, rules: h.Rules, heard: now}
	for _, w := range digest.Words(h.Rates) {
		c.words.Take(now, w)
	}
}

// learnEntries takes the entries that a planner has heard of, in case that this process
// takes its place.
func (c *Companion) learnEntries(now time.Time, list []rankport.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range list {
		c.entries[e.Address] = entry{address: e.Address, demand: e.Demand, fresh: e.Fresh, heard: now}
	}
}

const (
	// tellRates is how often entries are told the rates of targets in need.
	tellRates = time.Second
	// rateKept is how long a rate is told that no entry hears again. Who may send to a
	// target that takes next to nothing asks it twice in that time.
	rateKept = time.Minute
)

// ratesToTell are the rates of targets in need, when it is time to tell them.
func (c *Companion) ratesToTell(now time.Time) []digest.Rate {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.toldRates) < tellRates {
		return nil
	}
	c.toldRates = now
	c.rateTurn++
	return digest.Rates(c.words.Tell(now, rateKept, digest.MostRates, c.rateTurn))
}

// entriesHeard are the entries that made themselves known lately.
func (c *Companion) entriesHeard(now time.Time) []entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []entry
	for a, e := range c.entries {
		if now.Sub(e.heard) > digest.HelloLasts {
			delete(c.entries, a)
			continue
		}
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b entry) int { return a.address.Compare(b.address) })
	return list
}

// heardRate logs when an engine's reports begin to name a rate, name another, or cease to.
func (c *Companion) heardRate(at netip.AddrPort, s ratelimit.Said) {
	c.mu.Lock()
	defer c.mu.Unlock()
	was := c.rates[at]
	if s == was {
		return
	}
	delete(c.rates, at)
	if s.Kind != ratelimit.Nothing {
		c.rates[at] = s
	}
	c.log.Info().Str("event", "reportedRate").Stringer("address", at).Stringer("rate", s).Stringer("before", was).Msg("")
}

func (c *Companion) servePeers(ctx context.Context) error {
	mux := http.NewServeMux()
	rankport.Handler{Look: c.look, Order: c.order}.Register(mux)
	l, err := net.Listen("tcp4", c.settings.Listen.Peers.String())
	if err != nil {
		return err
	}
	return deployed.ServeHTTP(ctx, l, &http.Server{Handler: mux, ReadHeaderTimeout: peerTimeout, IdleTimeout: time.Minute})
}

// peerTimeout bounds what another process of the system may take for its headers.
const peerTimeout = 5 * time.Second

// look answers a planner.
func (c *Companion) look(ctx context.Context, l rankport.Look) rankport.Seen {
	report, err := c.report(ctx)
	term, follows := c.follow(l.Asker, time.Now())
	seen := rankport.Seen{Term: term, Report: report}
	if err != nil {
		seen.Failed = err.Error()
	}
	if err != nil || !follows {
		return seen
	}
	c.learnEntries(time.Now(), l.Entries)
	if l.Counts {
		seen.Mark, seen.Counts = c.added(ctx, l.Since)
	}
	if l.Lists {
		seen.Lists, err = c.engines.Lists(ctx, c.settings.Target.Address)
		if err != nil {
			seen.Failed = err.Error()
		}
	}
	return seen
}

// report reads the engine's state, and with it the group that it is in.
func (c *Companion) report(ctx context.Context) (changeover.Report, error) {
	r, err := c.engines.Report(ctx, c.settings.Target.Address)
	if err == nil {
		c.joins(time.Now(), r.Group)
	}
	return r, err
}

// added returns what the rank has counted since a mark, and the new mark.
func (c *Companion) added(ctx context.Context, since uint64) (uint64, rankport.Counts) {
	now, err := c.engines.Counts(ctx, c.settings.Target.Address)
	if err != nil {
		// The planner goes on with the counts of the other ranks.
		c.log.Warn().Str("event", "countsNotRead").Err(err).Msg("")
		return 0, rankport.Counts{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	before, known := c.counts, since != 0 && since == c.mark
	c.mark++
	c.counts = now
	if !known || !now.Continues(before) {
		return c.mark, rankport.Counts{}
	}
	added := make([]uint64, len(now.Counts))
	for i, n := range now.Counts {
		added[i] = n - before.Counts[i]
	}
	return c.mark, rankport.NewCounts(added)
}
