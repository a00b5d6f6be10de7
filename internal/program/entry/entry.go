package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"
	"github.com/oklog/run"
	"github.com/phuslu/log"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/program/crashes"
	"wagtailshelf.example/wagtailshelf/internal/program/documents"
	"wagtailshelf.example/wagtailshelf/internal/program/task"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
	"wagtailshelf.example/wagtailshelf/internal/traffic/target"
	"wagtailshelf.example/wagtailshelf/internal/wire/address"
	"wagtailshelf.example/wagtailshelf/internal/wire/caller"
	"wagtailshelf.example/wagtailshelf/internal/wire/credential"
	"wagtailshelf.example/wagtailshelf/internal/wire/ingress"
	"wagtailshelf.example/wagtailshelf/internal/wire/intake"
	"wagtailshelf.example/wagtailshelf/internal/wire/peer"
	"wagtailshelf.example/wagtailshelf/internal/wire/platform"
	"wagtailshelf.example/wagtailshelf/internal/wire/reset"
	"wagtailshelf.example/wagtailshelf/internal/wire/space"
)

const (
	maxHeaderBytes = 32 << 10
	// bodyShare is the part of the process's memory that bodies of requests may take up as they are read.
	bodyShare = 0.2
	// textShare is the part that texts of documents may take up as operators send them.
	textShare = 0.05
)

// Config sets up an [Entry].
type Config struct {
	Identity     host.Identity
	Callers      netip.AddrPort // listen address for callers
	Peers        netip.AddrPort // listen address for other processes of the system
	Platform     *platform.Client
	Keys         *credential.Store
	Log          *log.Logger
	Metrics      *metrics.Set
	DrainDelay   time.Duration                       // how long the balancer in front may take to notice that the entry is not ready
	DrainTimeout time.Duration                       // longest wait for requests in flight while draining
	Resources    ingress.Resources                   // of the process; what is 0 is what the process knows by itself
	Socket       func(net.PacketConn) net.PacketConn // wraps the UDP sockets to sidecars; nil to leave them as they are
}

// Entry is one entry process.
type Entry struct {
	cfg            Config
	log            *log.Logger
	counts         *counts
	peers          *peer.Config
	pool           *peer.Pool
	peerListener   *peer.Listener // for control messages of other processes; it carries no requests
	docs           *documents.Documents
	callerListener net.Listener
	server         *ingress.Server
	intake         *intake.Check
	ctx            context.Context // ends the background goroutines and the requests
	stop           context.CancelFunc
	active         atomic.Pointer[activeServices]

	draining   atomic.Bool
	inFlight   sync.WaitGroup
	background sync.WaitGroup

	mu             sync.Mutex
	services       map[string]*caller.Service
	statuses       map[string]serviceStatus // by service, for operators
	routers        map[string]*router
	hosts          map[host.Name]hostRecord // as the platform lists them
	claimManagers  map[string]*claimManager
	entries        map[host.Name]target.Member  // the registered entries, including this one once it is registered
	recordVersions map[host.Name]object.Version // versions of the entries' registrations

	crashes *crashes.Keeper
}

// New opens the entry's sockets. While their addresses are taken, it waits until opening ends. [Entry.Run] serves them.
func New(opening context.Context, cfg Config) (*Entry, error) {
	ctx, stop := context.WithCancel(context.Background())
	e := &Entry{
		cfg:            cfg,
		log:            cfg.Log,
		counts:         newCounts(cfg.Metrics),
		ctx:            ctx,
		stop:           stop,
		services:       make(map[string]*caller.Service),
		statuses:       make(map[string]serviceStatus),
		routers:        make(map[string]*router),
		hosts:          make(map[host.Name]hostRecord),
		claimManagers:  make(map[string]*claimManager),
		entries:        make(map[host.Name]target.Member),
		recordVersions: make(map[host.Name]object.Version),
	}
	e.peers = &peer.Config{
		Identity:  cfg.Identity,
		ClientTLS: cfg.Keys.Client,
		ServerTLS: cfg.Keys.Server(),
		OnReport:  e.onReport,
		Socket:    cfg.Socket,
	}
	e.pool = peer.NewPool(e.peers)
	if err := e.listen(opening); err != nil {
		stop()
		return nil, err
	}
	e.initCrashes()
	e.docs = documents.New(documents.Config{
		Platform: cfg.Platform, Log: cfg.Log, Metrics: cfg.Metrics, OnActive: e.installDocument,
	})
	e.intake = e.newIntake()
	e.server = e.newServer()
	return e, nil
}

// listen opens both sockets, or neither if one fails.
func (e *Entry) listen(ctx context.Context) error {
	s := address.Socket{Name: "peers", Address: e.cfg.Peers, Log: e.cfg.Log}
	peerListener, err := address.Open(ctx, s, func() (*peer.Listener, error) { return peer.Listen(e.peers, e.cfg.Peers) })
	if err != nil {
		return err
	}
	s = address.Socket{Name: "callers", Address: e.cfg.Callers, Log: e.cfg.Log}
	callerListener, err := address.Open(ctx, s, func() (net.Listener, error) { return ingress.Listen(e.cfg.Callers) })
	if err != nil {
		peerListener.Close()
		return err
	}
	e.peerListener, e.callerListener = peerListener, callerListener
	e.peers.Identity.Address = peerListener.Addr()
	return nil
}

// PeerConfig returns the common configuration of the entry's connections to other processes.
func (e *Entry) PeerConfig() *peer.Config { return e.peers }

// PeersAddr returns the address for other processes of the system.
func (e *Entry) PeersAddr() netip.AddrPort { return e.peerListener.Addr() }

func (e *Entry) newServer() *ingress.Server {
	has := e.cfg.Resources.Fill()
	bodies := &space.Budget{Total: int64(bodyShare * float64(has.Memory))}
	e.cfg.Metrics.NewGauge("wagtailshelf_body_bytes", func() float64 { return float64(bodies.Used()) })
	front := &caller.Front{
		Space: bodies,
		Find:  e.find,
		Ready: e.Ready,
		NewID: func() request.ID { return request.NewID(e.newRand()) },
		Serve: e.serve,
	}
	handler := echo.New()
	front.Mount(handler)
	s := &http.Server{Handler: reset.Wrap(e.intake.Wrap(handler)), MaxHeaderBytes: maxHeaderBytes, ConnContext: reset.ConnContext}
	server := ingress.NewServer("callers", has.Limits(ingress.Callers), s, e.cfg.Metrics)
	server.OnPressure = func(p ingress.Pressure) { p.Log(e.cfg.Log, "callers") }
	return server
}

// newIntake returns the check that this entry makes progress with callers' requests.
func (e *Entry) newIntake() *intake.Check {
	checkTime := e.cfg.Metrics.NewHistogram("wagtailshelf_intake_check_seconds")
	return &intake.Check{
		Address:  e.Addr(),
		WaitTurn: func() { e.routerOf("") }, // as each request does to find its router
		OnCheck:  func(d time.Duration, _ error) { checkTime.Update(d.Seconds()) },
		OnChange: func(works bool, d time.Duration, err error) {
			e.cfg.Log.Warn().Str("event", "intake").Bool("works", works).Dur("took", d).Err(err).Msg("")
		},
	}
}

// newRand returns a random source for the use of one goroutine.
func (e *Entry) newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// Addr returns the address for callers.
func (e *Entry) Addr() netip.AddrPort {
	return e.callerListener.Addr().(*net.TCPAddr).AddrPort()
}

// Ready reports whether the entry accepts new requests, which it does once it has read
// the active documents. Before that it would respond "unknown service" to callers of a
// service whose document it has not read yet. It stays ready while it drains, see
// [Entry.Drain].
//
// An entry that can no longer reach the platform continues with the documents that it
// has. Otherwise all entries would refuse their callers whenever the platform is out.
func (e *Entry) Ready() bool { return e.docs.Loaded() }

// Serves reports whether the balancer should send callers here: the entry is ready, is not
// draining, and makes progress with callers' requests.
func (e *Entry) Serves(ctx context.Context) bool {
	return e.Ready() && !e.Draining() && e.intake.Works(ctx)
}

// Draining reports whether the entry is shutting down, so that the balancer should send
// no more callers here.
func (e *Entry) Draining() bool { return e.draining.Load() }

// Run serves until ctx ends or one of the entry's goroutines fails. Call [Entry.Drain]
// first if requests in flight should be completed.
func (e *Entry) Run(ctx context.Context) error {
	defer e.stop()
	var g run.Group
	tasks := task.Group{Log: e.cfg.Log, Metrics: e.cfg.Metrics}
	for name, follow := range map[string]func(context.Context) error{
		"documents": e.docs.Run, "hosts": e.followHosts, "entries": e.followEntries, "crashes": e.followCrashes, "crashRecord": e.crashes.Run,
	} {
		followCtx, stop := context.WithCancel(ctx)
		g.Add(func() error { return tasks.Keep(followCtx, name, follow) }, func(error) { stop() })
	}
	peerCtx, stopPeers := context.WithCancel(ctx)
	g.Add(func() error { return e.peerListener.Serve(peerCtx, servePeerConn) }, func(error) {
		stopPeers()
		e.peerListener.Close()
	})
	callerCtx, stopCallers := context.WithCancel(ctx)
	g.Add(func() error { return e.serveCallers(callerCtx) }, func(error) {
		_ = e.server.Close() // cuts the connections of remaining callers; Drain waits for them
		stopCallers()
	})
	err := g.Run()
	e.stop()
	e.pool.Close()
	e.background.Wait()
	return err
}

// servePeerConn keeps a connection of another process open. It carries only control
// messages, which the connection passes on without further help.
func servePeerConn(ctx context.Context, c *peer.Conn) {
	select {
	case <-ctx.Done():
	case <-c.Closed():
	}
}

// serveCallers serves until ctx ends. Drain makes the server return early, while
// requests are still in flight. If serveCallers returned then too, Run would end and
// cut these requests off.
func (e *Entry) serveCallers(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- e.server.Serve(e.callerListener) }()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case err := <-failed:
		if !errors.Is(err, http.ErrServerClosed) {
			return err
		}
	}
	<-ctx.Done()
	return context.Cause(ctx)
}

// Drain makes the entry report that it is not ready, continues to serve while the
// balancer still sends callers here, and returns when no request is in flight any more,
// when ctx ends, or after Config.DrainTimeout.
func (e *Entry) Drain(ctx context.Context) error {
	e.draining.Store(true)
	select {
	case <-time.After(e.cfg.DrainDelay):
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, e.cfg.DrainTimeout)
	defer cancel()
	return e.server.Shutdown(ctx)
}
