package sidecar

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oklog/run"
	"github.com/phuslu/log"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/program/documents"
	"wagtailshelf.example/wagtailshelf/internal/program/rank"
	"wagtailshelf.example/wagtailshelf/internal/traffic/book"
	"wagtailshelf.example/wagtailshelf/internal/traffic/workspace"
	"wagtailshelf.example/wagtailshelf/internal/wire/credential"
	"wagtailshelf.example/wagtailshelf/internal/wire/engine"
	"wagtailshelf.example/wagtailshelf/internal/wire/frame"
	"wagtailshelf.example/wagtailshelf/internal/wire/peer"
	"wagtailshelf.example/wagtailshelf/internal/wire/platform"
)

// settleBound is how long a drained sidecar waits for entries to end their streams.
const settleBound = 5 * time.Second

// leaveGrace is how long a sidecar that drains stays at least, so that the word
// that it is leaving reaches the entries: it is sent at once, and twenty
// milliseconds are a long way between data centres.
const leaveGrace = time.Second

// Config sets up a [Sidecar].
type Config struct {
	Identity   host.Identity
	Listen     netip.AddrPort // for peers
	Target     netip.AddrPort
	Model      bool // the target is a model engine, not a plain service
	Keys       *credential.Store
	Log        *log.Logger
	Metrics    *metrics.Set
	Admission  workspace.Config
	DrainBound time.Duration // longest wait for requests in flight

	// Platform has the documents. Without it the sidecar takes none and serves as it
	// was set up; for tests of other parts.
	Platform *platform.Client
}

// Sidecar is a running sidecar.
type Sidecar struct {
	cfg      Config
	peers    *peer.Config
	listener *peer.Listener
	target   *engine.Client
	desk     *desk

	known *documents.Documents // nil without Config.Platform
	group *rank.Member         // nil without a platform, or before a plain service
	calls sync.WaitGroup

	leaving    atomic.Bool
	leavingNow chan struct{} // makes the report duty look at once
	sequence   uint64        // of reports; owned by the report duty

	mu         sync.Mutex
	conns      map[*peer.Conn]bool
	lastReport frame.Report // zero before the first
	reportedAt time.Time
}

// New opens the sidecar's socket. Run serves it.
func New(cfg Config) (*Sidecar, error) {
	s := &Sidecar{
		cfg:        cfg,
		target:     engine.New(engine.Config{Target: cfg.Target}),
		leavingNow: make(chan struct{}, 1),
		conns:      make(map[*peer.Conn]bool),
	}
	s.peers = &peer.Config{
		Identity:  cfg.Identity,
		ClientTLS: cfg.Keys.Client,
		ServerTLS: cfg.Keys.Server(),
		OnControl: s.onControl,
	}
	listener, err := peer.Listen(s.peers, cfg.Listen)
	if err != nil {
		return nil, err
	}
	s.listener = listener
	s.peers.Identity.Address = listener.Addr()
	bounds := book.DefaultConfig(cfg.Identity.Incarnation)
	bounds.Recovers = cfg.Model
	s.desk = newDesk(cfg.Log, newCounts(cfg.Metrics), bounds, cfg.Admission)
	if cfg.Platform != nil {
		s.known = s.newDocuments()
		s.group = s.newGroup()
		s.desk.ready = s.known.Learnt
	}
	return s, nil
}

// PeerConfig returns what the sidecar's connections to other processes share.
func (s *Sidecar) PeerConfig() *peer.Config { return s.peers }

// Addr returns the address for peers.
func (s *Sidecar) Addr() netip.AddrPort { return s.listener.Addr() }

// Run serves until ctx ends or a duty fails. Drain first where requests in
// flight have to end well.
func (s *Sidecar) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	s.desk.run = func(j job) { s.startCall(ctx, j) }
	s.desk.goOn = func(j job) { s.startRecovery(ctx, j) }
	var g run.Group
	s.duty(ctx, &g, s.desk.serve)
	s.duty(ctx, &g, s.report)
	if s.known != nil {
		s.duty(ctx, &g, s.known.Run)
	}
	if s.group != nil {
		s.duty(ctx, &g, s.group.Run)
	}
	if s.cfg.Model {
		s.duty(ctx, &g, s.observe)
	}
	s.duty(ctx, &g, func(ctx context.Context) error { return s.listener.Serve(ctx, s.serveConn) })
	g.Add(func() error {
		<-ctx.Done()
		return context.Cause(ctx)
	}, func(error) {
		stop()
		s.listener.Close()
	})
	err := g.Run()
	s.calls.Wait()
	s.target.Close()
	return err
}

// duty adds a duty that ends when its context does.
func (s *Sidecar) duty(ctx context.Context, g *run.Group, serve func(context.Context) error) {
	ctx, stop := context.WithCancel(ctx)
	g.Add(func() error { return serve(ctx) }, func(error) { stop() })
}

// Drain refuses new work at once, tells the entries, and returns when nothing
// is in flight any more, or ctx or the bound ends.
func (s *Sidecar) Drain(ctx context.Context) error {
	s.leave(ctx)
	told := time.NewTimer(leaveGrace)
	defer told.Stop()
	bound := time.NewTimer(s.cfg.DrainBound)
	defer bound.Stop()
	select {
	case <-s.desk.drained:
		return s.settle(ctx, told.C)
	case <-bound.C:
		return context.DeadlineExceeded
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// settle waits until the entries have ended their streams, which they do when
// they have read the last frame. A process that ends as soon as its targets are
// idle takes the ends of its last answers with it: their callers would be told
// unknown after the last byte. An entry that is gone never ends its streams, so
// the wait is bounded.
//
// A process with nothing in flight stays until the entries have been told, too,
// and refuses what they still send: a call that reaches a process which is gone
// gets no proof that it did not run.
func (s *Sidecar) settle(ctx context.Context, told <-chan time.Time) error {
	bound := time.NewTimer(settleBound)
	defer bound.Stop()
	select {
	case <-s.desk.settled:
	case <-bound.C:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	select {
	case <-told:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Leaving reports whether the sidecar refuses new work.
func (s *Sidecar) Leaving() bool { return s.leaving.Load() }
