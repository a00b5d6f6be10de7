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
	"wagtailshelf.example/wagtailshelf/internal/record/object"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
	"wagtailshelf.example/wagtailshelf/internal/traffic/target"
	"wagtailshelf.example/wagtailshelf/internal/wire/caller"
	"wagtailshelf.example/wagtailshelf/internal/wire/credential"
	"wagtailshelf.example/wagtailshelf/internal/wire/intake"
	"wagtailshelf.example/wagtailshelf/internal/wire/peer"
	"wagtailshelf.example/wagtailshelf/internal/wire/platform"
)

const (
	headerTimeout  = 10 * time.Second // wait for a caller's header
	idleTimeout    = 2 * time.Minute  // of a caller's connection between requests
	maxHeaderBytes = 32 << 10
)

// Config sets up an [Entry].
type Config struct {
	Identity   host.Identity
	Callers    netip.AddrPort // to listen on for callers
	Peers      netip.AddrPort // to listen on for other processes of the system
	Platform   *platform.Client
	Keys       *credential.Store
	Log        *log.Logger
	Metrics    *metrics.Set
	DrainDelay time.Duration                       // the balancer's delay in noticing that the entry is not ready
	DrainBound time.Duration                       // longest wait for requests in flight
	Socket     func(net.PacketConn) net.PacketConn // wraps the UDP sockets to sidecars; nil for none
}

// Entry is a running entry.
type Entry struct {
	cfg     Config
	log     *log.Logger
	counts  *counts
	peers   *peer.Config
	pool    *peer.Pool
	fleet   *peer.Listener // for other processes; requests do not come by it
	known   *documents.Documents
	socket  net.Listener
	server  *http.Server
	intake  *intake.Check
	ctx     context.Context // of the duties and the requests
	stop    context.CancelFunc
	inForce atomic.Pointer[inForce]

	draining atomic.Bool
	inFlight sync.WaitGroup
	duties   sync.WaitGroup

	mu       sync.Mutex
	services map[string]*caller.Service
	notes    map[string]note // on the services, for operators
	routers  map[string]*router
	hosts    map[host.Name]listedHost // by the platform's list
	claims   map[string]*claimDesk
	entries  map[host.Name]target.Member  // that registered, this one included once it did
	records  map[host.Name]object.Version // of their registrations

	crashes *crashes.Keeper
}

// New opens the entry's sockets. Run serves them.
func New(cfg Config) (*Entry, error) {
	ctx, stop := context.WithCancel(context.Background())
	e := &Entry{
		cfg:      cfg,
		log:      cfg.Log,
		counts:   newCounts(cfg.Metrics),
		ctx:      ctx,
		stop:     stop,
		services: make(map[string]*caller.Service),
		notes:    make(map[string]note),
		routers:  make(map[string]*router),
		hosts:    make(map[host.Name]listedHost),
		claims:   make(map[string]*claimDesk),
		entries:  make(map[host.Name]target.Member),
		records:  make(map[host.Name]object.Version),
	}
	e.peers = &peer.Config{
		Identity:  cfg.Identity,
		ClientTLS: cfg.Keys.Client,
		ServerTLS: cfg.Keys.Server(),
		OnReport:  e.onReport,
		Socket:    cfg.Socket,
	}
	e.pool = peer.NewPool(e.peers)
	if err := e.listen(); err != nil {
		stop()
		return nil, err
	}
	e.keepCrashes()
	e.known = documents.New(documents.Config{
		Platform: cfg.Platform, Log: cfg.Log, Metrics: cfg.Metrics, InForce: e.take,
	})
	e.intake = e.newIntake()
	e.server = e.newServer()
	return e, nil
}

// listen opens both sockets or none.
func (e *Entry) listen() error {
	fleet, err := peer.Listen(e.peers, e.cfg.Peers)
	if err != nil {
		return err
	}
	socket, err := net.Listen("tcp", e.cfg.Callers.String())
	if err != nil {
		fleet.Close()
		return err
	}
	e.fleet, e.socket = fleet, socket
	e.peers.Identity.Address = fleet.Addr()
	return nil
}

// PeerConfig returns what the entry's connections to other processes share.
func (e *Entry) PeerConfig() *peer.Config { return e.peers }

// PeersAddr returns the address for other processes of the system.
func (e *Entry) PeersAddr() netip.AddrPort { return e.fleet.Addr() }

func (e *Entry) newServer() *http.Server {
	front := &caller.Front{
		Find:  e.find,
		Ready: e.Ready,
		NewID: func() request.ID { return request.NewID(e.newRand()) },
		Serve: e.serve,
	}
	handler := echo.New()
	front.Mount(handler)
	return &http.Server{
		Handler:           e.intake.Before(handler),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// newIntake returns the check that callers' requests get on here.
func (e *Entry) newIntake() *intake.Check {
	took := e.cfg.Metrics.NewHistogram("wagtailshelf_intake_check_seconds")
	return &intake.Check{
		Address: e.Addr(),
		Turn:    func() { e.routerOf("") }, // each request asks for its router
		Took:    func(d time.Duration, _ error) { took.Update(d.Seconds()) },
		Believes: func(works bool, d time.Duration, err error) {
			e.cfg.Log.Warn().Str("event", "intake").Bool("works", works).Dur("took", d).Err(err).Msg("")
		},
	}
}

// newRand returns a random source for one owner.
func (e *Entry) newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// Addr returns the address for callers.
func (e *Entry) Addr() netip.AddrPort {
	return e.socket.Addr().(*net.TCPAddr).AddrPort()
}

// Ready reports whether the entry takes new work: it has learnt what is in
// force. Before that it would answer a caller of a service that it has not
// learnt of yet with "unknown service". While it drains it goes on taking work,
// see Drain.
//
// An entry that can't reach the platform any more goes on with what it knows: all of
// them would otherwise turn their callers away whenever the platform is out.
func (e *Entry) Ready() bool { return e.known.Learnt() }

// Serves reports whether the balancer should send callers here: the entry is ready, does not
// leave, and gets on with callers' requests.
func (e *Entry) Serves(ctx context.Context) bool {
	return e.Ready() && !e.Draining() && e.intake.Works(ctx)
}

// Draining reports whether the entry is leaving, so that the balancer should
// send nothing more.
func (e *Entry) Draining() bool { return e.draining.Load() }

// Run serves until ctx ends or a duty fails. Drain first where requests in
// flight have to end well.
func (e *Entry) Run(ctx context.Context) error {
	defer e.stop()
	var g run.Group
	for _, follow := range []func(context.Context) error{
		e.known.Run, e.followHosts, e.followEntries, e.followCrashes, e.crashes.Tell,
	} {
		watch, stop := context.WithCancel(ctx)
		g.Add(func() error { return follow(watch) }, func(error) { stop() })
	}
	fleet, stopFleet := context.WithCancel(ctx)
	g.Add(func() error { return e.fleet.Serve(fleet, serveFleetConn) }, func(error) {
		stopFleet()
		e.fleet.Close()
	})
	serve, stopServe := context.WithCancel(ctx)
	g.Add(func() error { return e.serveCallers(serve) }, func(error) {
		_ = e.server.Close() // callers still there are cut; Drain comes first
		stopServe()
	})
	err := g.Run()
	e.stop()
	e.pool.Close()
	e.duties.Wait()
	return err
}

// serveFleetConn keeps a connection of another process open. All that comes by it
// are control messages, which the connection hands on by itself.
func serveFleetConn(ctx context.Context, c *peer.Conn) {
	select {
	case <-ctx.Done():
	case <-c.Closed():
	}
}

// serveCallers serves until ctx ends. Drain makes the server return early, while
// requests are still in flight: ending the other duties then would cut them off.
func (e *Entry) serveCallers(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- e.server.Serve(e.socket) }()
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

// Drain fails the entry's readiness, goes on serving while the balancer still
// sends callers here, and returns when nothing is in flight any more, or ctx or
// the bound ends.
func (e *Entry) Drain(ctx context.Context) error {
	e.draining.Store(true)
	select {
	case <-time.After(e.cfg.DrainDelay):
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, e.cfg.DrainBound)
	defer cancel()
	return e.server.Shutdown(ctx)
}
