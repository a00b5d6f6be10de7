package rank

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/expert/group"
	"wagtailshelf.example/wagtailshelf/internal/expert/planner"
	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/fleet/lease"
	"wagtailshelf.example/wagtailshelf/internal/record/document"
	standinengine "wagtailshelf.example/wagtailshelf/internal/standin/engine"
	standinplatform "wagtailshelf.example/wagtailshelf/internal/standin/platform"
	"wagtailshelf.example/wagtailshelf/internal/wire/credential"
	"wagtailshelf.example/wagtailshelf/internal/wire/engine"
	"wagtailshelf.example/wagtailshelf/internal/wire/frame"
	"wagtailshelf.example/wagtailshelf/internal/wire/peer"
	"wagtailshelf.example/wagtailshelf/internal/wire/platform"
)

const ranks = 4

var (
	shape    = expertmap.Shape{Layers: 2, Experts: 16, Ranks: ranks, Slots: 5}
	loopback = netip.MustParseAddrPort("127.0.0.1:0")
)

// process is one incarnation of a host's process: its member and its listener.
type process struct {
	*Member
	listener *peer.Listener
	stop     func()
}

// deployment is a group of stand-in engines, a process for each, and the stand-in
// platform. The processes communicate over QUIC.
type deployment struct {
	t            *testing.T
	url          string // of the platform
	platform     *standinplatform.Platform
	mu           sync.Mutex
	sockets      []*lossySocket // sockets that connections were dialled from
	authority    *credential.Authority
	engines      *standinengine.Group
	targets      []string // URLs of the engines
	hosts        [ranks]host.Name
	incarnations [ranks]host.Incarnation
	processes    [ranks]*process
	document     *document.Document
	logged       *logBuffer
}

// logBuffer holds what the processes log, with the rank in each line.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write appends a line.
func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

// printIfFailed prints the lines of a test that has failed.
func (b *logBuffer) printIfFailed(t *testing.T) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.Failed() {
		t.Logf("logs:\n%s", b.text.String())
	}
}

func (d *deployment) logger(rank int) *log.Logger {
	return &log.Logger{
		Level: log.DebugLevel, TimeFormat: "15:04:05.000",
		Context: log.NewContext(nil).Int("rank", rank).Value(), Writer: &log.IOWriter{Writer: d.logged},
	}
}

func name(rank int) host.Name { return host.Name(fmt.Sprintf("rank-%d", rank)) }

func serve(t *testing.T, h http.Handler) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.URL
}

func deploy(t *testing.T, cfg standinengine.Config) *deployment {
	m, err := expertmap.Even(shape)
	require.NoError(t, err)
	cfg.Step, cfg.Map = time.Millisecond, m
	d := &deployment{t: t, engines: standinengine.NewGroup(cfg, ranks), logged: new(logBuffer)}
	t.Cleanup(func() { d.logged.printIfFailed(t) })
	t.Cleanup(d.engines.Close)
	d.platform = standinplatform.New(standinplatform.Config{})
	d.url = serve(t, d.platform)
	d.authority, err = credential.NewAuthority(time.Now())
	require.NoError(t, err)
	d.document = &document.Document{Service: "s", Groups: []document.Group{{
		Name: "g", Ranks: ranks, Layers: shape.Layers, Experts: shape.Experts, SlotsPerRank: shape.Slots,
		SkewWeight: 3, MoveWeight: 1, MaxBytesPerSecond: 1e9, ExpertBytes: 1e6,
	}}}
	for r := range ranks {
		d.targets = append(d.targets, serve(t, d.engines.Rank(r)))
		d.hosts[r] = name(r)
		d.start(r, loopback)
		address := d.processes[r].listener.Addr()
		d.document.Targets = append(d.document.Targets, document.Target{Host: name(r), Address: address, Group: "g", Rank: r, ChecksFences: true})
	}
	for _, p := range d.processes {
		p.Install(t.Context(), 1, d.document)
	}
	t.Cleanup(func() {
		for _, p := range d.processes {
			p.stop()
		}
	})
	return d
}

// restart stops the process of a rank and starts its next incarnation.
func (d *deployment) restart(rank int) {
	address := d.processes[rank].listener.Addr()
	d.processes[rank].stop()
	d.start(rank, address)
	d.processes[rank].Install(d.t.Context(), 1, d.document)
}

// listen opens a socket. If no port is given it chooses a free one below the range of
// ephemeral ports: a restarted process needs its port again, and another socket could
// have been given an ephemeral port meanwhile.
func listen(cfg *peer.Config, address netip.AddrPort) (*peer.Listener, error) {
	if address.Port() != 0 {
		return peer.Listen(cfg, address)
	}
	for range 200 {
		port := uint16(20000 + rand.IntN(12000))
		l, err := peer.Listen(cfg, netip.AddrPortFrom(address.Addr(), port))
		if err == nil {
			return l, nil
		}
	}
	return peer.Listen(cfg, address)
}

// start starts a new incarnation of a rank's process.
func (d *deployment) start(rank int, address netip.AddrPort) {
	d.incarnations[rank]++
	name := d.hosts[rank]
	material, err := d.authority.Issue(time.Now(), credential.Identity{Name: name, Role: host.Sidecar}, credential.ShortLifetime)
	require.NoError(d.t, err)
	keys, err := credential.NewStore(material, time.Now)
	require.NoError(d.t, err)
	p := &process{}
	peers := &peer.Config{
		Identity:  host.Identity{Name: name, Role: host.Sidecar, Incarnation: d.incarnations[rank]},
		ClientTLS: keys.Client,
		ServerTLS: keys.Server(),
		OnControl: func(from *peer.Conn, c frame.Control) { p.OnControl(from, c) },
	}
	client := platform.New(platform.Config{URL: d.url})
	orders := engine.New(engine.Config{Target: netip.MustParseAddrPort(strings.TrimPrefix(d.targets[rank], "http://"))})
	p.Member = NewMember(MemberConfig{
		Peers: peers, Platform: client, Engine: orders, Log: d.logger(rank), Metrics: metrics.NewSet(),
		Landing: 50 * time.Millisecond, Heartbeat: 200 * time.Millisecond,
		Planning: planner.Config{
			Lease:  lease.Config{Length: 600 * time.Millisecond},
			Window: 100 * time.Millisecond, Wait: 30 * time.Millisecond, Period: 300 * time.Millisecond,
		},
	})
	p.listener, err = listen(peers, address)
	require.NoError(d.t, err)
	peers.Identity.Address = p.listener.Addr()
	peers.Socket = d.socket // for the connections that it dials
	p.run(func() {
		client.Close()
		orders.Close()
	})
	d.processes[rank] = p
}

func (p *process) run(closeClients func()) {
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	go func() { ended <- p.Run(ctx) }()
	go func() {
		ended <- p.listener.Serve(ctx, func(ctx context.Context, c *peer.Conn) {
			select {
			case <-c.Closed():
			case <-ctx.Done():
			}
		})
	}()
	p.stop = sync.OnceFunc(func() {
		stop()
		p.listener.Close()
		<-ended
		<-ended
		closeClients()
	})
}

// lossySocket is a socket that can lose all packets, as when a middlebox has lost the
// state of its connection.
type lossySocket struct {
	net.PacketConn
	lossy atomic.Bool
}

func (h *lossySocket) WriteTo(b []byte, to net.Addr) (int, error) {
	if h.lossy.Load() {
		return len(b), nil
	}
	return h.PacketConn.WriteTo(b, to)
}

func (d *deployment) socket(c net.PacketConn) net.PacketConn {
	h := &lossySocket{PacketConn: c}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sockets = append(d.sockets, h)
	return h
}

// silenceConnections makes all existing connections silent for good; new ones work.
func (d *deployment) silenceConnections() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range d.sockets {
		h.lossy.Store(true)
	}
}

// generateLoad keeps all ranks busy while the test runs.
func (d *deployment) generateLoad() {
	for _, url := range d.targets {
		ctx := d.t.Context()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for i := 0; ctx.Err() == nil; i++ {
				body := strings.NewReader(fmt.Sprintf(`{"prompt":"p%d","maxTokens":50,"stream":false}`, i))
				req, _ := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/draft", body)
				if resp, err := http.DefaultClient.Do(req); err == nil {
					_ = resp.Body.Close() // the content of the response doesn't matter
				}
			}
		}()
		d.t.Cleanup(func() { <-ended })
	}
}

// setHotRank makes half of the tokens go to the experts that start on one rank.
func (d *deployment) setHotRank(rank int) {
	shares := make([][]float64, shape.Layers)
	for l := range shares {
		shares[l] = make([]float64, shape.Experts)
		for e := range shares[l] {
			shares[l][e] = 0.5 / 12
			if e%ranks == rank {
				shares[l][e] = 0.5 / 4
			}
		}
	}
	d.engines.SetPopularity(shares)
}

// settled reports whether all ranks are settled in this epoch or a later one, with an
// active map above a number.
func (d *deployment) settled(epoch uint64, above group.Number) bool {
	for _, p := range d.processes {
		s, err := p.State(d.t.Context())
		require.NoError(d.t, err)
		require.Zero(d.t, s.Rank.Violations)
		v := s.Rank.Rank
		if v == nil || v.Phase != "settled" || v.Epoch < epoch || v.ActiveNumber <= above {
			return false
		}
	}
	return true
}

func (d *deployment) eventually(f func() bool, what string) {
	d.t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return
		}
	}
	for r, p := range d.processes {
		s, _ := p.State(d.t.Context())
		d.t.Logf("%+v, engine %+v", s.Rank.Rank, d.engines.Rank(r).State().Epoch)
	}
	require.Fail(d.t, what)
}

func (d *deployment) assertOneMap() {
	d.t.Helper()
	require.Zero(d.t, d.engines.MixedSteps(), "a step ran with two maps")
}

func TestGroupRuns(t *testing.T) {
	// A document assigns hosts to a group. They form it, and the planner of one of
	// them switches it to a better map. Then a sidecar restarts while its engine
	// keeps running, and an engine dies and restarts without state. Each time the
	// group must settle on one map, and no step may run with two. The engine dies
	// only in tests with engines that can be read back: a stand-in that cannot
	// accepts orders of an epoch that it isn't in, so its sidecar would not notice
	// that it died.
	for what, cfg := range map[string]standinengine.Config{
		"reads back": {}, "can't tell": {NoReadBack: true}, "ignores fences": {IgnoreFence: true},
	} {
		t.Run(what, func(t *testing.T) {
			d := deploy(t, cfg)
			d.generateLoad()
			d.eventually(func() bool { return d.settled(1, 0) }, "the group does not form")
			d.setHotRank(0)
			d.eventually(func() bool { return d.settled(1, 1) }, "no better map becomes active")
			d.assertOneMap()

			d.restart(3)
			d.eventually(func() bool { return d.settled(1, 1) }, "the restarted rank does not settle")
			d.assertOneMap()
			if !cfg.NoReadBack {
				d.engineDies(1)
			}
		})
	}
}

func TestRestartDuringOutage(t *testing.T) {
	// A sidecar restarts during an outage of the platform. It gets the group's record
	// from a keeper, and reads the latest orders and their fence back from its
	// engine. The group makes steps all the time.
	d := deploy(t, standinengine.Config{})
	d.generateLoad()
	d.eventually(func() bool { return d.settled(1, 0) }, "the group does not form")
	d.platform.SetFaults(standinplatform.Faults{Outage: true})
	d.restart(3)
	d.eventually(func() bool { return d.settled(1, 0) }, "the restarted rank does not settle")
	before := d.engines.Step()
	d.eventually(func() bool { return d.engines.Step() > before+100 }, "the group makes no steps")
	s, err := d.processes[3].State(t.Context())
	require.NoError(t, err)
	require.True(t, s.Rank.FenceKnown)
	d.assertOneMap()
}

func TestSilentConnections(t *testing.T) {
	// All connections between the hosts go silent for good; new ones work. The
	// planner must open new connections to the ranks, and switch them to the next map.
	d := deploy(t, standinengine.Config{})
	d.generateLoad()
	d.setHotRank(0)
	d.eventually(func() bool { return d.settled(1, 1) }, "no better map becomes active")
	d.silenceConnections()
	s, err := d.processes[0].State(t.Context())
	require.NoError(t, err)
	d.setHotRank(1)
	d.eventually(func() bool { return d.settled(1, s.Rank.Rank.ActiveNumber) }, "no next map becomes active")
	d.assertOneMap()
}

func TestHostLeavesGroup(t *testing.T) {
	// A newer document assigns a rank to another host. The old host leaves the group,
	// and the group forms again with the new one.
	d := deploy(t, standinengine.Config{})
	d.eventually(func() bool { return d.settled(1, 0) }, "the group does not form")
	old := d.processes[3]
	next := *d.document
	next.Targets = slices.Clone(d.document.Targets)
	next.Targets[3].Host = "spare"
	d.hosts[3] = "spare"
	d.start(3, loopback)
	next.Targets[3].Address = d.processes[3].listener.Addr()
	t.Cleanup(old.stop)
	for _, p := range append(d.processes[:], old) {
		p.Install(t.Context(), 2, &next)
	}
	d.eventually(func() bool { return d.settled(2, 0) }, "the group does not form again")
	s, err := old.State(t.Context())
	require.NoError(t, err)
	require.Nil(t, s, "the old host is still in the group")
}

// engineDies restarts an engine without its state, and its sidecar, and waits until the
// group has formed again and makes steps.
func (d *deployment) engineDies(rank int) {
	epoch := d.engines.Rank(rank).State().Epoch
	d.engines.Rank(rank).SetFaults(standinengine.Faults{Dead: true})
	d.engines.Rank(rank).SetFaults(standinengine.Faults{})
	d.restart(rank)
	d.eventually(func() bool { return d.settled(epoch+1, 0) }, "the group does not form again")
	before := d.engines.Step()
	d.eventually(func() bool { return d.engines.Step() > before+100 }, "the group makes no steps")
	d.assertOneMap()
}

func TestBadMessages(t *testing.T) {
	// Messages that cannot be decoded, and messages beyond the size of the ring, are
	// only counted.
	r := New(Config{Metrics: metrics.NewSet()})
	r.Deliver("rank-1", frame.Control{Payload: []byte{0xff}})
	good := group.Message{Kind: group.Ask, Group: "g"}
	payload, err := good.Encode()
	require.NoError(t, err)
	for range ringSize + 5 {
		r.Deliver("rank-1", frame.Control{Payload: payload})
	}
	require.EqualValues(t, 1, r.counts.invalid.Get())
	require.EqualValues(t, 5, r.counts.dropped.Get())
}
