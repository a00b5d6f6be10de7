package fleet_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/program/fleet"
	"wagtailshelf.example/wagtailshelf/internal/record/acceptance"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
	standin "wagtailshelf.example/wagtailshelf/internal/standin/platform"
	"wagtailshelf.example/wagtailshelf/internal/wire/credential"
	"wagtailshelf.example/wagtailshelf/internal/wire/frame"
	"wagtailshelf.example/wagtailshelf/internal/wire/peer"
	"wagtailshelf.example/wagtailshelf/internal/wire/platform"
)

const waitBound = 30 * time.Second

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// process is one process with nothing but its part in the fleet.
type process struct {
	fleet   *fleet.Fleet
	addr    netip.AddrPort
	metrics *metrics.Set
	number  atomic.Uint64
	stop    context.CancelFunc
	done    chan error
}

// deployment is some processes on loopback with a stand-in platform.
type deployment struct {
	t         *testing.T
	authority *credential.Authority
	url       string
	processes []*process
	log       *log.Logger
	socket    func(net.PacketConn) net.PacketConn
}

func newDeployment(t *testing.T) *deployment {
	authority, err := credential.NewAuthority(time.Now())
	require.NoError(t, err)
	server := httptest.NewServer(standin.New(standin.Config{}))
	t.Cleanup(server.Close)
	return &deployment{
		t: t, authority: authority, url: server.URL,
		log: &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: io.Discard}},
	}
}

func (d *deployment) start(i int) *process {
	role := host.Sidecar
	if i < 3 {
		role = host.Entry
	}
	id := host.Identity{
		Name: host.Name(fmt.Sprintf("%s-%d", role, i)), Role: role,
		DataCentre: host.DataCentre(fmt.Sprintf("dc-%d", i%2)), Incarnation: host.Incarnation(len(d.processes) + 1),
	}
	keys := d.keys(id.Name, id.Role)
	p := &process{metrics: metrics.NewSet(), done: make(chan error, 2)}
	cfg := &peer.Config{
		Identity: id, ClientTLS: keys.Client, ServerTLS: keys.Server(),
		OnControl: func(c *peer.Conn, m frame.Control) { p.fleet.OnControl(c, m) },
		Socket:    d.socket,
	}
	listener, err := peer.Listen(cfg, loopback)
	require.NoError(d.t, err)
	cfg.Identity.Address = listener.Addr()
	p.addr = listener.Addr()
	client := platform.New(platform.Config{URL: d.url})
	d.t.Cleanup(client.Close)
	p.fleet = fleet.New(fleet.Config{
		Peers: cfg, Seeds: d.seeds(), Platform: client, Log: d.log, Metrics: p.metrics,
		InForce: func(doc acceptance.Document) { p.number.Store(uint64(doc.Number)) },
	})
	ctx, stop := context.WithCancel(context.Background())
	p.stop = func() {
		stop()
		listener.Close()
	}
	go func() { p.done <- p.fleet.Run(ctx) }()
	go func() {
		p.done <- listener.Serve(ctx, func(ctx context.Context, c *peer.Conn) {
			select {
			case <-ctx.Done():
			case <-c.Closed():
			}
		})
	}()
	d.processes = append(d.processes, p)
	return p
}

func (d *deployment) seeds() []netip.AddrPort {
	var out []netip.AddrPort
	for _, p := range d.processes {
		out = append(out, p.addr)
	}
	return out[:min(len(out), 3)]
}

func (d *deployment) close() {
	for _, p := range d.processes {
		p.stop()
	}
	for _, p := range d.processes {
		<-p.done
		<-p.done
	}
}

// apply stores the example of the scheduling app with another limit.
func (d *deployment) apply(concurrency int) {
	text, err := os.ReadFile("../../../examples/agenda.yaml")
	require.NoError(d.t, err)
	value := strings.ReplaceAll(string(text), "concurrency: 64", fmt.Sprintf("concurrency: %d", concurrency))
	require.Contains(d.t, value, fmt.Sprintf("concurrency: %d", concurrency))
	d.put(value)
}

// put stores a document of the scheduling app.
func (d *deployment) put(value string) {
	client := platform.New(platform.Config{URL: d.url})
	defer client.Close()
	const key = object.Key("documents/agenda")
	now := client.Do(context.Background(), object.Call{Op: object.Get, Key: key, Cause: "test"})
	r := client.Do(context.Background(), object.Call{Op: object.Put, Key: key, Version: now.Object.Version, Value: []byte(value), Cause: "test"})
	require.Equal(d.t, object.Done, r.Status)
}

func (d *deployment) assertInForce(number uint64, skip ...*process) {
	d.t.Helper()
	ok := assert.Eventually(d.t, func() bool {
		for _, p := range d.processes {
			if len(skip) > 0 && p == skip[0] {
				continue
			}
			if p.number.Load() < number || !p.fleet.TakesWork() {
				return false
			}
		}
		return true
	}, waitBound, 20*time.Millisecond, "number %d is not in force everywhere", number)
	if !ok {
		d.logDumps()
	}
}

// logDumps shows what each process knows.
func (d *deployment) logDumps() {
	for _, p := range d.processes {
		ctx, stop := context.WithTimeout(context.Background(), time.Second)
		dump, err := p.fleet.Dump(ctx)
		stop()
		d.t.Logf("%s: %t %v %+v %+v members=%d %v", dump.Self.Name, p.fleet.TakesWork(), dump.Lease, dump.Documents, dump.Changes, len(dump.Members), err)
	}
}

func (d *deployment) holder() *process {
	for _, p := range d.processes {
		dump, err := p.fleet.Dump(context.Background())
		if err == nil && dump.Lease.Held {
			return p
		}
	}
	return nil
}

// The operators apply a document, and another one after the process that holds
// the lease was ended without a word: another process takes the duty up, and the
// second document comes in force on all that are left.
func TestDocumentsOverQUIC(t *testing.T) {
	d := newDeployment(t)
	t.Cleanup(d.close)
	for i := range 7 {
		d.start(i)
	}
	d.apply(40)
	d.assertInForce(1)
	holder := d.holder()
	require.NotNil(t, holder)
	holder.stop()
	d.apply(41)
	d.assertInForce(2, holder)
	for _, p := range d.processes {
		assert.Zero(t, p.metrics.GetOrCreateCounter(`wagtailshelf_violations_total{invariant="fleet"}`).Get())
	}
}
