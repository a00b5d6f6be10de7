// Package gateway implements the entry on the users' platform: it accepts callers'
// requests, routes them by the configuration in the platform's store, and forwards
// them to targets.
package gateway

import (
	"context"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/program/crashes"
	"wagtailshelf.example/wagtailshelf/internal/program/deployed"
	"wagtailshelf.example/wagtailshelf/internal/traffic/admission"
	"wagtailshelf.example/wagtailshelf/internal/traffic/forward"
	"wagtailshelf.example/wagtailshelf/internal/traffic/quarantine"
	"wagtailshelf.example/wagtailshelf/internal/wire/ingress"
	"wagtailshelf.example/wagtailshelf/internal/wire/intake"
	"wagtailshelf.example/wagtailshelf/internal/wire/space"
	"wagtailshelf.example/wagtailshelf/internal/wire/upstream"
	"wagtailshelf.example/wagtailshelf/internal/wire/witness"
	"wagtailshelf.example/wagtailshelf/platform"
)

const (
	// tickInterval is the interval of the periodic work: retrying targets, removing
	// targets that stay missing, closing idle connections.
	tickInterval = 50 * time.Millisecond
	// sweepInterval is how often expired idle connections are closed; they are kept for
	// seconds.
	sweepInterval = time.Second
	// headerBytes bounds the size of a request's headers that the server reads before the
	// configuration, which has a tighter bound, is known.
	headerBytes = 64 << 10
	// readyAgeShare is the part of the revocation bound up to which the configuration may
	// age while the entry is ready. Past that it can't serve callers with keys for much
	// longer.
	readyAgeShare = 0.8
	// bodyShare is the part of the process's memory that bodies of requests and responses may take
	// up. The memory limit that the runtime aims at is more than twice that, which leaves room for
	// buffers that were outgrown.
	bodyShare = 0.3
	megabyte  = 1e6
)

// Gateway is the entry's state.
type Gateway struct {
	settings      deployed.Settings // as read at the start; bounds may change later
	startedAt     time.Time         // when this process started
	bounds        atomic.Pointer[deployed.Bounds]
	log           *log.Logger
	metrics       *metrics.Set
	store         *platform.Store
	roster        *roster.Roster
	missing       *missing
	departed      *departed
	config        atomic.Pointer[knownConfig]
	targetsListed atomic.Bool               // whether a list of targets was read
	askedAt       atomic.Pointer[time.Time] // when planners were first asked for the other entries' configuration version; nil before
	drain         *forward.Drain
	planners      planners
	heartbeats    uint64 // number of heartbeat rounds; used only by the goroutine that sends them
	forward       *forward.Forwarder
	pool          *upstream.Pool
	witnesses     *witness.Set
	admit         *admission.Controller
	failures      chan forward.ConnectionFailure // connection failures whose cause is not known yet
	crashes       *crashes.Keeper
	malformed     *deployed.Malformed
	intake        *intake.Check
	repeats       repeatLog

	connections callerConnections
}

// New returns an entry that is not running yet.
func New(s deployed.Settings, l *log.Logger, m *metrics.Set) *Gateway {
	g := &Gateway{
		settings:  s,
		startedAt: time.Now(),
		log:       l,
		metrics:   m,
		store:     platform.NewStore(s.Store),
		roster:    roster.New(),
		missing:   newMissing(),
		departed:  newDeparted(),
		drain:     forward.NewDrain(),
		pool:      upstream.NewPool(),
		witnesses: witness.New(),
		admit:     admission.New(),
		failures:  make(chan forward.ConnectionFailure, failureRing),
		malformed: deployed.NewMalformed(l, m),
	}
	bodies := &space.Budget{Total: int64(bodyShare * s.Memory * megabyte)}
	m.NewGauge("wagtailshelf_body_bytes", func() float64 { return float64(bodies.Used()) })
	took := m.NewHistogram("wagtailshelf_intake_check_seconds")
	g.intake = &intake.Check{
		Address: s.Listen.Callers, WaitTurn: g.admit.Await, OnChange: g.logIntake,
		OnCheck: func(d time.Duration, _ error) { took.Update(d.Seconds()) },
	}
	g.bounds.Store(&s.Bounds)
	dialled := m.NewCounter("wagtailshelf_target_connections_total")
	m.NewGauge("wagtailshelf_caller_connections", func() float64 { return float64(g.connections.open.Load()) })
	m.NewGauge("wagtailshelf_caller_connections_accepted", func() float64 { return float64(g.connections.accepted.Load()) })
	g.pool.OnDial = dialled.Inc
	g.pool.MaxIdle = g.idleConnections
	g.setUpWitnesses(dialled)
	g.roster.OnRegained = g.targetRegained
	g.admit.Targets = g.serving
	g.admit.RulesFor = g.limits
	g.admit.OnGroupChange = g.logGroupState
	g.admit.OnRateChange = g.logRate
	g.admit.OnNoticeChange = g.applyNotice
	g.crashes = crashes.NewKeeper(quarantine.New(string(s.Name)), l)
	g.crashes.Quarantine.OnChange = g.logQuarantine
	g.crashes.Quarantine.OnProbe = func(p quarantine.Probe) { crashes.LogProbe(g.log, p) }
	g.crashes.Quarantine.Turn = g.probeTurn
	m.NewGauge("wagtailshelf_quarantined", func() float64 { return float64(g.crashes.Quarantine.Quarantined()) })
	g.setUpCrashStore()
	g.store.OnCall = deployed.StoreCallCounter(m)
	g.store.OnMalformed = g.malformed.Report
	g.store.Eras.Changed = deployed.LogEras(l, m)
	g.forward = &forward.Forwarder{
		Configuration: g.currentConfig,
		KeyMaxAge:     func() time.Duration { return g.bounds.Load().Revoke - keyMargin },
		UnknownMaxAge: func() time.Duration { return time.Duration(configTrust * float64(g.bounds.Load().Revoke)) },
		Admission:     g.admit,
		Pool:          g.pool,
		Witnesses:     g.witnesses,
		Space:         bodies,
		Budget: &forward.Budget{Started: time.Now(), OnDecision: g.noteRepeat, Limits: func() forward.Limits {
			b := g.bounds.Load()
			return forward.Limits{Ratio: b.RepeatRatio, Window: b.RepeatWindow, Fixed: b.RepeatSlack / g.sharingEntries(time.Now())}
		}},
		Now:                 time.Now,
		Drain:               g.drain,
		OnMisdirected:       g.targetReplaced,
		OtherEntriesFresh:   func() bool { return g.planners.otherEntriesFresh(time.Now()) },
		OnEnd:               g.requestEnded,
		OnConnectionFailure: g.connectionFailed,

		Quarantine: g.crashes.Quarantine,
	}
	return g
}

// apply applies changed settings. Addresses change only at the next start.
func (g *Gateway) apply(s deployed.Settings) {
	g.bounds.Store(&s.Bounds)
}

// configTrust is the part of the revocation bound for which the configuration proves that
// a route or a key does not exist. Two watches may pass between two proofs that nothing
// changed; past that the entry has lost touch with the store.
const configTrust = 0.75

// keyMargin is subtracted from the time for which the configuration proves that a key is
// valid, because a request takes some milliseconds to reach its target.
const keyMargin = 200 * time.Millisecond

// Run serves until the context ends, then waits for the requests in flight to end. All other tasks
// run until then: the requests in flight are still sent to targets, which may leave meanwhile.
func (g *Gateway) Run(ctx context.Context, r *deployed.Reloader) error {
	r.Apply = g.apply
	tasks := deployed.NewTasks(g.log, g.metrics)
	lasting := context.WithoutCancel(ctx)
	tasks.Add(lasting, "reload", r.Run)
	tasks.Add(lasting, "config", g.followConfig)
	tasks.Add(lasting, "targets", g.followTargets)
	tasks.Add(lasting, "ticks", g.runTicks)
	tasks.Add(lasting, "planners", g.exchangeWithPlanners)
	tasks.Add(lasting, "failures", g.followFailures)
	tasks.Add(lasting, "crashes", g.followCrashes)
	tasks.Add(lasting, "crashRecord", g.crashes.Run)
	tasks.Add(lasting, "readiness", g.serveReadiness)
	tasks.Add(lasting, "metrics", func(ctx context.Context) error {
		return deployed.ServeMetrics(ctx, g.settings, g.log, g.metrics)
	})
	tasks.Add(ctx, "callers", g.serveCallers)
	defer g.witnesses.Close()
	return tasks.Run(ctx, host.Entry)
}

func (g *Gateway) runTicks(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	lastSweep := time.Now()
	var lag tickLag
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			g.resolveHeldTargets(now)
			g.admit.Tick(now)
			g.noteTick(&lag, time.Now())
			if now.Sub(lastSweep) >= sweepInterval {
				lastSweep = now
				g.pool.Sweep(now)
				g.crashes.Quarantine.Sweep(now)
				g.admit.Sweep(now, func(id string) bool { _, found := g.roster.Get(id); return found })
			}
		}
	}
}

// ready reports whether the entry's configuration and targets are good enough to serve callers, and
// it knows which requests crash targets.
func (g *Gateway) ready() bool {
	if g.drain.Begun() || !g.targetsListed.Load() || !g.crashes.Loaded() {
		return false
	}
	r := g.config.Load()
	if r == nil {
		return false
	}
	return g.provenAge(time.Now(), r) < g.maxFreshAge()
}

// maxFreshAge returns the age up to which the configuration can serve all callers for some
// time to come.
func (g *Gateway) maxFreshAge() time.Duration {
	return time.Duration(readyAgeShare * float64(g.bounds.Load().Revoke))
}

// readiness returns the handler of the balancer's readiness checks.
func (g *Gateway) readiness() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, r *http.Request) {
		// A client that disconnects must not make the check fail: its result is logged as the
		// state of the entry.
		if !g.ready() || !g.intake.Works(context.WithoutCancel(r.Context())) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

func (g *Gateway) serveReadiness(ctx context.Context) error {
	return g.listener("readiness", g.settings.Listen.Readiness, ingress.Operator).Serve(ctx, g.readiness())
}

// listener returns one of the entry's listeners.
func (g *Gateway) listener(name string, at netip.AddrPort, k ingress.Kind) deployed.Listener {
	return deployed.Listener{Name: name, Address: at, Limits: g.settings.Resources().Limits(k), Log: g.log, Metrics: g.metrics}
}
