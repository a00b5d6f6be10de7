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
	"wagtailshelf.example/wagtailshelf/internal/program/task"
	"wagtailshelf.example/wagtailshelf/internal/traffic/book"
	"wagtailshelf.example/wagtailshelf/internal/traffic/workspace"
	"wagtailshelf.example/wagtailshelf/internal/wire/address"
	"wagtailshelf.example/wagtailshelf/internal/wire/credential"
	"wagtailshelf.example/wagtailshelf/internal/wire/engine"
	"wagtailshelf.example/wagtailshelf/internal/wire/frame"
	"wagtailshelf.example/wagtailshelf/internal/wire/peer"
	"wagtailshelf.example/wagtailshelf/internal/wire/platform"
	"wagtailshelf.example/wagtailshelf/internal/wire/witness"
)

// settleTimeout is the longest time that a drained sidecar waits for entries to close
// their streams.
const settleTimeout = 5 * time.Second

// leaveGrace is the shortest time that a draining sidecar keeps running, so that the
// report that it is leaving reaches the entries. The report is sent at once, and 20 ms
// is a long way between data centres.
const leaveGrace = time.Second

// bookShare is the part of the process's memory that the bodies and answers of the book may have. They take up to
// twice their size.
const bookShare = 0.15

// Config configures a [Sidecar].
type Config struct {
	Identity   host.Identity
	Listen     netip.AddrPort // for peers
	Target     netip.AddrPort
	Model      bool // the target is a model engine, not a plain service
	Keys       *credential.Store
	Log        *log.Logger
	Metrics    *metrics.Set
	Admission  workspace.Config
	DrainBound time.Duration // longest wait of Drain for requests in flight
	Memory     int64         // of the process, in bytes; 0 if it is not known

	// Platform serves the documents. Without it the sidecar reads no documents and uses
	// only this configuration; for tests of other parts.
	Platform *platform.Client
}

// Sidecar is a running sidecar.
type Sidecar struct {
	cfg      Config
	peers    *peer.Config
	listener *peer.Listener
	target   *engine.Client
	desk     *desk
	// witnesses tell whether the target still runs when an answer without a length ends.
	witnesses *witness.Set

	documents *documents.Documents // nil without Config.Platform
	group     *rank.Member         // nil without a platform, or if the target is a plain service
	calls     sync.WaitGroup

	leaving   atomic.Bool
	reportNow chan struct{} // makes report run at once
	sequence  uint64        // number of the last report; owned by report

	mu         sync.Mutex
	conns      map[*peer.Conn]bool
	lastReport frame.Report // zero before the first
	reportedAt time.Time
}

// New opens the sidecar's socket. While its address is taken, it waits until opening ends. Run serves it.
func New(opening context.Context, cfg Config) (*Sidecar, error) {
	s := &Sidecar{
		cfg:       cfg,
		target:    engine.New(engine.Config{Target: cfg.Target}),
		witnesses: newWitnesses(cfg.Log),
		reportNow: make(chan struct{}, 1),
		conns:     make(map[*peer.Conn]bool),
	}
	s.peers = &peer.Config{
		Identity:  cfg.Identity,
		ClientTLS: cfg.Keys.Client,
		ServerTLS: cfg.Keys.Server(),
		OnControl: s.onControl,
	}
	socket := address.Socket{Name: "peers", Address: cfg.Listen, Log: cfg.Log}
	listener, err := address.Open(opening, socket, func() (*peer.Listener, error) { return peer.Listen(s.peers, cfg.Listen) })
	if err != nil {
		return nil, err
	}
	s.listener = listener
	s.peers.Identity.Address = listener.Addr()
	bounds := book.DefaultConfig(cfg.Identity.Incarnation)
	bounds.Recovers = cfg.Model
	if cfg.Memory > 0 {
		bounds.MaxBytes = min(bounds.MaxBytes, int(bookShare*float64(cfg.Memory)))
	}
	s.desk = newDesk(cfg.Log, newCounts(cfg.Metrics), bounds, cfg.Admission)
	if cfg.Platform != nil {
		s.documents = s.newDocuments()
		s.group = s.newGroup()
		s.desk.ready = s.documents.Loaded
	}
	return s, nil
}

// PeerConfig returns what the sidecar's connections to other processes share.
func (s *Sidecar) PeerConfig() *peer.Config { return s.peers }

// Addr returns the address for peers.
func (s *Sidecar) Addr() netip.AddrPort { return s.listener.Addr() }

// Run serves until ctx ends or one of its goroutines fails. Call Drain first if
// requests in flight have to complete.
func (s *Sidecar) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	s.desk.startCall = func(j job) { s.startCall(ctx, j) }
	s.desk.startRecovery = func(j job) { s.startRecovery(ctx, j) }
	var g run.Group
	s.addActor(ctx, &g, s.desk.serve)
	tasks := task.Group{Log: s.cfg.Log, Metrics: s.cfg.Metrics}
	addTask := func(name string, serve func(context.Context) error) {
		s.addActor(ctx, &g, func(ctx context.Context) error { return tasks.Keep(ctx, name, serve) })
	}
	addTask("report", s.report)
	if s.documents != nil {
		addTask("documents", s.documents.Run)
	}
	if s.group != nil {
		s.addActor(ctx, &g, s.group.Run)
	}
	if s.cfg.Model {
		addTask("observe", s.observe)
	}
	s.addActor(ctx, &g, func(ctx context.Context) error { return s.listener.Serve(ctx, s.serveConn) })
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
	s.witnesses.Close()
	return err
}

// addActor adds a function to the group. It must return when its context ends.
func (s *Sidecar) addActor(ctx context.Context, g *run.Group, serve func(context.Context) error) {
	ctx, stop := context.WithCancel(ctx)
	g.Add(func() error { return serve(ctx) }, func(error) { stop() })
}

// Drain refuses new requests at once, reports this to the entries, and returns when
// no request is in flight any more, when ctx ends, or after the drain bound.
func (s *Sidecar) Drain(ctx context.Context) error {
	s.leave(ctx)
	noticeSent := time.NewTimer(leaveGrace)
	defer noticeSent.Stop()
	bound := time.NewTimer(s.cfg.DrainBound)
	defer bound.Stop()
	select {
	case <-s.desk.drained:
		return s.settle(ctx, noticeSent.C)
	case <-bound.C:
		return context.DeadlineExceeded
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// settle waits until the entries have closed their streams, which they do when
// they have read the last frame. If the process ended as soon as its target is
// idle, the ends of the last answers would be lost, and their callers would get the
// outcome unknown after the last byte. An entry that is gone never closes its
// streams, so the wait is bounded.
//
// A process without requests in flight also keeps running until the entries know
// that it is leaving, and refuses the requests that they still send: a request that
// reaches a process after its end gets no proof that it did not run.
func (s *Sidecar) settle(ctx context.Context, noticeSent <-chan time.Time) error {
	bound := time.NewTimer(settleTimeout)
	defer bound.Stop()
	select {
	case <-s.desk.settled:
	case <-bound.C:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	select {
	case <-noticeSent:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Leaving reports whether the sidecar is leaving and refuses new requests.
func (s *Sidecar) Leaving() bool { return s.leaving.Load() }
