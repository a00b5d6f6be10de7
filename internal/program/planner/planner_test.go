package planner

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
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
	"wagtailshelf.example/wagtailshelf/internal/wire/engine"
	"wagtailshelf.example/wagtailshelf/internal/wire/frame"
	"wagtailshelf.example/wagtailshelf/internal/wire/platform"
)

var shape = expertmap.Shape{Layers: 2, Experts: 16, Ranks: 4, Slots: 5}

// deployment is a group of stand-in engines with a planner for each, the stand-in
// platform, and links between the planners that lose no message.
type deployment struct {
	t        *testing.T
	platform *standinplatform.Platform
	engines  *standinengine.Group
	planners map[host.Name]*Planner
	stops    map[host.Name]func()

	mu     sync.Mutex
	active group.Number // number of the active map
}

func deploy(t *testing.T) *deployment {
	m, err := expertmap.Even(shape)
	require.NoError(t, err)
	d := &deployment{
		t:        t,
		platform: standinplatform.New(standinplatform.Config{}),
		engines:  standinengine.NewGroup(standinengine.Config{Step: time.Millisecond, Map: m}, shape.Ranks),
		planners: make(map[host.Name]*Planner),
		stops:    make(map[host.Name]func()),
		active:   1,
	}
	t.Cleanup(d.engines.Close)
	record := group.Record{Name: "g", Epoch: 1, Number: 1, Map: m}
	for r := range shape.Ranks {
		record.Ranks = append(record.Ranks, host.Name(fmt.Sprintf("rank-%d", r)))
		record.Incarnations = append(record.Incarnations, 1)
	}
	value, err := record.Encode()
	require.NoError(t, err)
	d.platform.Put(planner.RecordKey("s", "g"), value)
	url := serve(t, d.platform)
	for r, name := range record.Ranks {
		d.add(name, r, url)
	}
	return d
}

func serve(t *testing.T, h http.Handler) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.URL
}

func (d *deployment) add(name host.Name, rank int, url string) {
	target := netip.MustParseAddrPort(strings.TrimPrefix(serve(d.t, d.engines.Rank(rank)), "http://"))
	client := platform.New(platform.Config{URL: url})
	d.t.Cleanup(client.Close)
	reader := engine.New(engine.Config{Target: target})
	d.t.Cleanup(reader.Close)
	d.planners[name] = New(Config{
		Identity: host.Identity{Name: name, Incarnation: 1},
		Service:  "s",
		Group:    "g",
		Rank:     uint16(rank),
		Platform: client,
		Engine:   reader,
		Log:      &log.Logger{Level: log.PanicLevel},
		Metrics:  metrics.NewSet(),
		Send:     func(to host.Name, m frame.Control) { d.send(name, to, m) },
		Planning: planner.Config{
			Lease:  lease.Config{Length: 600 * time.Millisecond},
			Window: 40 * time.Millisecond,
			Wait:   15 * time.Millisecond,
			Period: 80 * time.Millisecond,
		},
	})
}

func (d *deployment) start() {
	for name, p := range d.planners {
		p.Install(&document.Document{Groups: []document.Group{{
			Name: "g", SkewWeight: 3, MoveWeight: 1, MaxBytesPerSecond: 1e9, ExpertBytes: 1e6,
		}}})
		ctx, stop := context.WithCancel(d.t.Context())
		ended := make(chan error, 1)
		go func() { ended <- p.Run(ctx) }()
		d.stops[name] = sync.OnceFunc(func() {
			stop()
			<-ended
		})
		d.t.Cleanup(d.stops[name])
	}
}

func (d *deployment) send(from, to host.Name, m frame.Control) {
	if m.Topic == frame.TopicGroup {
		d.acceptSwitch(from, to, m)
		return
	}
	d.planners[to].Deliver(from, m)
}

// acceptSwitch replies as a rank that agrees to every map switch.
func (d *deployment) acceptSwitch(planner, rank host.Name, m frame.Control) {
	q, err := group.Decode(m.Payload)
	require.NoError(d.t, err)
	d.mu.Lock()
	defer d.mu.Unlock()
	votes := map[group.MessageKind]group.Vote{group.Prepare: group.Loaded, group.Promise: group.Promised, group.Outcome: q.Vote}
	a := group.Message{
		Kind: group.Report, Group: q.Group, Epoch: q.Epoch, Number: q.Number, Incarnation: 1,
		ActiveNumber: d.active, Step: q.Step, Vote: votes[q.Kind], Floor: d.active,
	}
	if q.Kind == group.Outcome && q.Vote == group.Committed {
		a.Vote = group.Passed
	}
	if q.Kind == group.Outcome && q.Vote == group.Finished {
		d.active = q.Number
	}
	payload, err := a.Encode()
	require.NoError(d.t, err)
	d.planners[planner].Deliver(rank, frame.Control{Topic: frame.TopicGroup, Payload: payload})
}

// sendRequests keeps all ranks busy while the test runs.
func (d *deployment) sendRequests() {
	for r := range shape.Ranks {
		url := serve(d.t, d.engines.Rank(r))
		ctx := d.t.Context()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for i := 0; ctx.Err() == nil; i++ {
				body := strings.NewReader(fmt.Sprintf(`{"prompt":"p%d","maxTokens":200,"stream":false}`, i))
				req, _ := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/draft", body)
				if resp, err := http.DefaultClient.Do(req); err == nil {
					_ = resp.Body.Close() // the response itself doesn't matter
				}
			}
		}()
		d.t.Cleanup(func() { <-ended })
	}
}

// skewedShares gives the experts of rank 0 half of the tokens.
func skewedShares() [][]float64 {
	shares := make([][]float64, shape.Layers)
	for l := range shares {
		shares[l] = make([]float64, shape.Experts)
		for e := range shares[l] {
			shares[l][e] = 0.5 / 12
			if e%shape.Ranks == 0 {
				shares[l][e] = 0.5 / 4
			}
		}
	}
	return shares
}

// Half of a group's tokens go to the experts of one rank. One of the planners must get
// the lease, estimate the demand from the engines' counts, lead the group to a better
// map and write it to the record; when the holder stops, another planner must go on.
func TestGroupIsRebalanced(t *testing.T) {
	d := deploy(t)
	d.engines.SetPopularity(skewedShares())
	d.sendRequests()
	d.start()
	holder := host.Name("")
	d.eventually(func() bool {
		for name := range d.planners {
			if s := d.state(name); s.Holds && s.Status.Map > 1 && s.Status.Skew < 1.2 {
				holder = name
			}
		}
		return holder != ""
	})
	d.eventually(func() bool { return d.record().Number > 1 })
	d.stops[holder]()
	d.eventually(func() bool {
		for name := range d.planners {
			if name == holder {
				continue
			}
			if s := d.state(name); s.Holds && s.Status.Map == d.record().Number {
				return true
			}
		}
		return false
	})
}

func (d *deployment) eventually(f func() bool) {
	d.t.Helper()
	require.Eventually(d.t, f, 20*time.Second, 20*time.Millisecond)
}

func (d *deployment) state(name host.Name) State {
	s, err := d.planners[name].State(d.t.Context())
	require.NoError(d.t, err)
	require.Zero(d.t, d.planners[name].counts.violated.Get())
	return s
}

func (d *deployment) record() *group.Record {
	o, ok := d.platform.Get(planner.RecordKey("s", "g"))
	require.True(d.t, ok)
	r, err := group.DecodeRecord(o.Value)
	require.NoError(d.t, err)
	return r
}

// Messages that can't be decoded, and messages that exceed the size of the inbox, must
// have no effect except that they are counted.
func TestBadMessages(t *testing.T) {
	d := deploy(t)
	p := d.planners["rank-0"]
	for range inboxSize + 5 {
		p.Deliver("rank-1", frame.Control{Topic: frame.TopicPlan, Payload: []byte{0xff}})
	}
	require.EqualValues(t, 5, p.counts.dropped.Get())
	d.start()
	d.eventually(func() bool { return p.counts.invalid.Get() == inboxSize })
	p.Deliver("rank-1", frame.Control{Topic: frame.TopicGroup, Payload: []byte{0xa0}})
	d.eventually(func() bool { return p.counts.invalid.Get() == inboxSize+1 })
}
