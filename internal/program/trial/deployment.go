package trial

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/program/entry"
	"wagtailshelf.example/wagtailshelf/internal/program/sidecar"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
	"wagtailshelf.example/wagtailshelf/internal/standin/engine"
	standinplatform "wagtailshelf.example/wagtailshelf/internal/standin/platform"
	"wagtailshelf.example/wagtailshelf/internal/standin/service"
	"wagtailshelf.example/wagtailshelf/internal/wire/credential"
	"wagtailshelf.example/wagtailshelf/internal/wire/platform"
)

// loopback is an address whose port the system chooses.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// drainBound is longer than the longest deadline of the trial's documents.
const drainBound = 30 * time.Second

// Deployment is a running set of processes with a stand-in platform.
type Deployment struct {
	Platform *standinplatform.Platform
	Entries  []*Entry
	Targets  []*Target

	ctx              context.Context
	stop             context.CancelFunc
	authority        *credential.Authority
	logger           *log.Logger
	platform         *httpServer
	lastIncarnation  uint64 // the last incarnation number given out
	processes        []*process
	credentialStores []*credential.Store
	documents        map[string]string // text of the stored document by service
	metricSets       []*metrics.Set
}

// Entry is a running entry.
type Entry struct {
	*entry.Entry
	Name    host.Name
	process *process
}

// Target is a stand-in target with its sidecar. One of Engine and Service is nil.
type Target struct {
	Name       string
	Host       host.Name
	DataCentre host.DataCentre
	Engine     *engine.Engine
	Service    *service.Service
	Sidecar    *sidecar.Sidecar

	server      *httpServer
	process     *process
	sidecarDown bool // the sidecar was killed or has ended, and was not restarted
}

// process is a program of the deployment; it runs in goroutines of this process.
type process struct {
	stop context.CancelFunc
	done chan error
}

// kill stops the process at once, as a host failure would, and waits for its end.
func (p *process) kill() {
	p.stop()
	<-p.done
}

// NewDeployment starts a deployment that has only a platform. Logs go to w.
func NewDeployment(w io.Writer) (*Deployment, error) {
	authority, err := credential.NewAuthority(time.Now())
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	d := &Deployment{
		Platform:  standinplatform.New(standinplatform.Config{}),
		ctx:       ctx,
		stop:      stop,
		authority: authority,
		documents: make(map[string]string),
		logger:    &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: w}},
	}
	d.platform, err = serveHTTP(d.Platform)
	if err != nil {
		stop()
		return nil, err
	}
	return d, nil
}

// Close ends everything that the deployment started.
func (d *Deployment) Close() {
	for _, p := range d.processes {
		p.stop()
	}
	for _, p := range d.processes {
		<-p.done
	}
	d.stop()
	for _, t := range d.Targets {
		t.server.close()
		if t.Engine != nil {
			t.Engine.Close()
		}
	}
	d.platform.close()
}

// AddEngine starts a model engine and its sidecar.
func (d *Deployment) AddEngine(name string, dataCentre host.DataCentre) (*Target, error) {
	e := engine.New(engine.Config{})
	t := &Target{Name: name, DataCentre: dataCentre, Engine: e}
	if err := d.addTarget(t, e); err != nil {
		e.Close()
		return nil, err
	}
	return t, nil
}

// AddService starts a target of a plain service and its sidecar. Several
// targets can share one service, as they would share a database.
func (d *Deployment) AddService(name string, dataCentre host.DataCentre, s *service.Service) (*Target, error) {
	t := &Target{Name: name, DataCentre: dataCentre, Service: s}
	if err := d.addTarget(t, s); err != nil {
		return nil, err
	}
	return t, nil
}

func (d *Deployment) addTarget(t *Target, h http.Handler) error {
	server, err := serveHTTP(h)
	if err != nil {
		return err
	}
	t.Host = host.Name(fmt.Sprintf("%s-%s", t.DataCentre, t.Name))
	t.server = server
	if err := d.startSidecar(t, loopback); err != nil {
		server.close()
		return err
	}
	d.Targets = append(d.Targets, t)
	return nil
}

func (d *Deployment) startSidecar(t *Target, listen netip.AddrPort) error {
	keys, err := d.issueCredentials(t.Host, host.Sidecar)
	if err != nil {
		return err
	}
	cfg := sidecar.Config{
		Identity:   d.identity(t.Host, host.Sidecar, t.DataCentre),
		Listen:     listen,
		Target:     t.server.addr(),
		Model:      t.Engine != nil,
		Keys:       keys,
		Log:        d.loggerOf(t.Host),
		Metrics:    d.newMetricSet(),
		DrainBound: drainBound,
		Platform:   d.Client(),
	}
	s, err := openSidecar(cfg)
	if err != nil {
		return err
	}
	t.Sidecar, t.sidecarDown = s, false
	t.process = d.startProcess(s.Run)
	return nil
}

// KillSidecar stops the sidecar of a target at once.
func (d *Deployment) KillSidecar(t *Target) {
	t.process.kill()
	t.sidecarDown = true
}

// RestartSidecar starts a new incarnation of a killed sidecar at the same address.
func (d *Deployment) RestartSidecar(t *Target) error {
	return d.startSidecar(t, t.Sidecar.Addr())
}

// AddEntry starts an entry. socket may wrap its UDP sockets.
func (d *Deployment) AddEntry(name host.Name, dataCentre host.DataCentre, socket func(net.PacketConn) net.PacketConn) (*Entry, error) {
	keys, err := d.issueCredentials(name, host.Entry)
	if err != nil {
		return nil, err
	}
	e, err := entry.New(context.Background(), entry.Config{
		Identity:     d.identity(name, host.Entry, dataCentre),
		Callers:      loopback,
		Peers:        loopback,
		Platform:     d.Client(),
		Keys:         keys,
		Log:          d.loggerOf(name),
		Metrics:      d.newMetricSet(),
		DrainTimeout: drainBound,
		Socket:       socket,
	})
	if err != nil {
		return nil, err
	}
	started := &Entry{Entry: e, Name: name, process: d.startProcess(e.Run)}
	d.Entries = append(d.Entries, started)
	return started, nil
}

// loggerOf returns a logger that writes the process's host to each line.
func (d *Deployment) loggerOf(name host.Name) *log.Logger {
	own := *d.logger
	own.Context = log.NewContext(nil).Str("host", string(name)).Value()
	return &own
}

// Client returns a client of the deployment's platform.
func (d *Deployment) Client() *platform.Client {
	return platform.New(platform.Config{URL: "http://" + d.platform.addr().String()})
}

// Put stores the text of a service's document, whatever version is stored.
func (d *Deployment) Put(ctx context.Context, service, text string) error {
	client := d.Client()
	defer client.Close()
	key := object.Key("documents/" + service)
	current := client.Do(ctx, object.Call{Op: object.Get, Key: key, Cause: "trial"})
	reply := client.Do(ctx, object.Call{
		Op: object.Put, Key: key, Version: current.Object.Version, Value: []byte(text), Cause: "trial",
	})
	if reply.Status != object.Done {
		return fmt.Errorf("document %s was not stored: status %d: %w", service, reply.Status, reply.Err)
	}
	d.documents[service] = text
	return nil
}

func (d *Deployment) identity(name host.Name, role host.Role, dataCentre host.DataCentre) host.Identity {
	d.lastIncarnation++
	return host.Identity{Name: name, Role: role, DataCentre: dataCentre, Incarnation: host.Incarnation(d.lastIncarnation)}
}

func (d *Deployment) startProcess(run func(context.Context) error) *process {
	ctx, stop := context.WithCancel(d.ctx)
	p := &process{stop: stop, done: make(chan error, 1)}
	go func() {
		p.done <- run(ctx)
		close(p.done)
	}()
	d.processes = append(d.processes, p)
	return p
}

// httpServer is the HTTP server of a stand-in.
type httpServer struct {
	mu       sync.Mutex
	listener net.Listener
	server   *http.Server
	done     chan error
	crashed  bool // and not restarted yet
	closed   bool
}

func serveHTTP(h http.Handler) (*httpServer, error) {
	listener, err := net.Listen("tcp", loopback.String())
	if err != nil {
		return nil, err
	}
	s := &httpServer{done: make(chan error, 1)}
	s.serve(listener, h)
	return s, nil
}

func (s *httpServer) serve(l net.Listener, h http.Handler) {
	server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	s.listener, s.server = l, server
	go func() { s.done <- server.Serve(l) }()
}

func (s *httpServer) addr() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

func (s *httpServer) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.crashed {
		return
	}
	_ = s.server.Close() // calls still in flight don't matter any more
	<-s.done
}

// TargetAddr returns the address of the stand-in itself, which bypasses its sidecar.
func (t *Target) TargetAddr() netip.AddrPort { return t.server.addr() }
