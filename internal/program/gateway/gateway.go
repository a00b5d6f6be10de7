// Package gateway is the entry on the users' platform: it meets callers, routes
// their requests by the rules in the platform's store, and forwards them to
// targets.
package gateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oklog/run"
	"github.com/phuslu/log"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/program/crashes"
	"wagtailshelf.example/wagtailshelf/internal/program/deployed"
	"wagtailshelf.example/wagtailshelf/internal/traffic/admission"
	"wagtailshelf.example/wagtailshelf/internal/traffic/forward"
	"wagtailshelf.example/wagtailshelf/internal/traffic/quarantine"
	"wagtailshelf.example/wagtailshelf/internal/wire/intake"
	"wagtailshelf.example/wagtailshelf/internal/wire/upstream"
	"wagtailshelf.example/wagtailshelf/platform"
)

const (
	// tickInterval of duties that look for what is due: targets to be asked again,
	// targets that stay missing, idle connections.
	tickInterval = 50 * time.Millisecond
	// sweepInterval of idle connections, which are kept for seconds.
	sweepInterval = time.Second
	// headerTimeout bounds how long a caller may take for its headers until rules
	// are known that say so.
	headerTimeout = 5 * time.Second
	// headerBytes bounds what is read of a request's headers at all; the rules have
	// a tighter bound.
	headerBytes = 64 << 10
	// readyTrust is how old the rules may be while the entry asks for callers. Past
	// that it can't serve those with keys for much longer.
	readyTrust = 0.8
)

// Gateway is the entry's state.
type Gateway struct {
	settings deployed.Settings // as they were at the start; bounds may change later
	begun    time.Time         // when this process started
	bounds   atomic.Pointer[deployed.Bounds]
	log      *log.Logger
	metrics  *metrics.Set
	store    *platform.Store
	roster   *roster.Roster
	missing  *missing
	left     *left
	rules    atomic.Pointer[knownRules]
	targets  atomic.Bool // a list of targets was read
	draining atomic.Bool
	planners planners
	hellos   uint64 // that were sent; of the goroutine that sends them
	forward  *forward.Forwarder
	pool     *upstream.Pool
	admit    *admission.Controller
	breaks   chan forward.Break // connections that broke, until it is known why
	crashes  *crashes.Keeper
	bad      *deployed.Malformed
	intake   *intake.Check

	connections callerConnections
}

// New returns an entry that does not run yet.
func New(s deployed.Settings, l *log.Logger, m *metrics.Set) *Gateway {
	g := &Gateway{
		settings: s,
		begun:    time.Now(),
		log:      l,
		metrics:  m,
		store:    platform.NewStore(s.Store),
		roster:   roster.New(),
		missing:  newMissing(),
		left:     newLeft(),
		pool:     upstream.NewPool(),
		admit:    admission.New(),
		breaks:   make(chan forward.Break, breakRing),
		bad:      deployed.NewMalformed(l, m),
	}
	took := m.NewHistogram("wagtailshelf_intake_check_seconds")
	g.intake = &intake.Check{
		Address: s.Listen.Callers, Turn: g.admit.Await, Believes: g.believesIntake,
		Took: func(d time.Duration, _ error) { took.Update(d.Seconds()) },
	}
	g.bounds.Store(&s.Bounds)
	dialled := m.NewCounter("wagtailshelf_target_connections_total")
	m.NewGauge("wagtailshelf_caller_connections", func() float64 { return float64(g.connections.open.Load()) })
	m.NewGauge("wagtailshelf_caller_connections_accepted", func() float64 { return float64(g.connections.accepted.Load()) })
	g.pool.Dialled = dialled.Inc
	g.pool.MostIdle = g.idleConnections
	g.admit.Targets = g.serving
	g.admit.RulesFor = g.limits
	g.admit.Believes = g.believes
	g.admit.BelievesRate = g.believesRate
	g.admit.BelievesNotice = g.believesNotice
	g.crashes = crashes.NewKeeper(quarantine.New(string(s.Name)), l)
	g.crashes.Quarantine.Believes = g.believesRequest
	g.crashes.Quarantine.Turn = g.trialTurn
	g.keepCrashes()
	g.store.Called = deployed.CountStoreCalls(m)
	g.store.Malformed = g.bad.Note
	g.store.Eras.Changed = deployed.TellEras(l, m)
	g.forward = &forward.Forwarder{
		Rules:     g.currentRules,
		KeyTrust:  func() time.Duration { return g.bounds.Load().Revoke - keyMargin },
		RuleTrust: func() time.Duration { return time.Duration(ruleTrust * float64(g.bounds.Load().Revoke)) },
		Admission: g.admit,
		Pool:      g.pool,
		Budget: &forward.Budget{Started: time.Now(), Limits: func() forward.Limits {
			b := g.bounds.Load()
			return forward.Limits{Ratio: b.RepeatRatio, Window: b.RepeatWindow, Fixed: b.RepeatSlack / g.sharers(time.Now())}
		}},
		Now:       time.Now,
		Draining:  &g.draining,
		Gone:      g.heardGone,
		Elsewhere: func() bool { return g.planners.elsewhere(time.Now()) },
		Ended:     g.ended,
		Broke:     g.heardBreak,

		Quarantine: g.crashes.Quarantine,
	}
	return g
}

// apply takes changed settings. Addresses stay as they are until the next start.
func (g *Gateway) apply(s deployed.Settings) {
	g.bounds.Store(&s.Bounds)
}

// ruleTrust is the part of the revocation bound for which rules prove that a route or
// a key does not exist. Two watches may pass between two proofs that nothing
// changed; past that the entry is out of touch.
const ruleTrust = 0.75

// keyMargin is taken off the time for which rules prove that a key holds: a request
// is under way to its target for some milliseconds.
const keyMargin = 200 * time.Millisecond

// Run serves until the context ends, then lets the requests in flight end.
func (g *Gateway) Run(ctx context.Context, r *deployed.Reloader) error {
	var group run.Group
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	duty := func(serve func(context.Context) error) {
		ctx, cancel := context.WithCancel(ctx)
		group.Add(func() error { return serve(ctx) }, func(error) { cancel() })
	}
	r.Apply = g.apply
	duty(r.Run)
	duty(g.followRules)
	duty(g.followTargets)
	duty(g.keepTime)
	duty(g.hearDigests)
	duty(g.followBreaks)
	duty(g.followCrashes)
	duty(g.crashes.Tell)
	duty(g.serveReadiness)
	duty(func(ctx context.Context) error {
		return deployed.ServeMetrics(ctx, g.settings.Listen.Metrics, g.metrics)
	})
	duty(g.serveCallers)
	g.log.Info().Str("event", "started").Str("role", "entry").Msg("")
	err := group.Run()
	g.log.Info().Str("event", "stopped").Err(err).Msg("")
	return err
}

func (g *Gateway) keepTime(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	swept := time.Now()
	var p pulse
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			g.settleTargets(now)
			g.admit.Tick(now)
			g.noteTurn(&p, time.Now())
			if now.Sub(swept) >= sweepInterval {
				swept = now
				g.pool.Sweep(now)
				g.crashes.Quarantine.Sweep(now)
				g.admit.Sweep(now, func(id string) bool { _, found := g.roster.Get(id); return found })
			}
		}
	}
}

// ready tells whether what the entry knows serves callers.
func (g *Gateway) ready() bool {
	if g.draining.Load() || !g.targets.Load() {
		return false
	}
	r := g.rules.Load()
	if r == nil {
		return false
	}
	return g.provenAge(time.Now(), r) < g.freshAge()
}

// freshAge is the age up to which rules serve all callers for a while yet.
func (g *Gateway) freshAge() time.Duration {
	return time.Duration(readyTrust * float64(g.bounds.Load().Revoke))
}

// readiness answers the balancer.
func (g *Gateway) readiness() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, r *http.Request) {
		// Whoever asks may leave; what the check finds holds all the same.
		if !g.ready() || !g.intake.Works(context.WithoutCancel(r.Context())) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

func (g *Gateway) serveReadiness(ctx context.Context) error {
	l, err := net.Listen("tcp4", g.settings.Listen.Readiness.String())
	if err != nil {
		return err
	}
	return deployed.ServeHTTP(ctx, l, &http.Server{Handler: g.readiness()})
}
