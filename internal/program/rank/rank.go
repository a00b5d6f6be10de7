// Package rank runs the work of a rank of an expert group in the sidecar of the rank's
// engine: the map switch, the guard through which all orders to the engine pass, and on
// some ranks the forming of new epochs. Packages internal/expert/group and
// internal/expert/order make the decisions.
//
// One goroutine owns this state and reads its events from a bounded ring. Orders, reads
// of the engine and platform calls are made by other goroutines, which put their results
// on the ring.
package rank

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oklog/run"
	"github.com/phuslu/log"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/expert/group"
	"wagtailshelf.example/wagtailshelf/internal/expert/order"
	"wagtailshelf.example/wagtailshelf/internal/expert/planner"
	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/fleet/lease"
	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
	"wagtailshelf.example/wagtailshelf/internal/wire/engine"
	"wagtailshelf.example/wagtailshelf/internal/wire/frame"
	"wagtailshelf.example/wagtailshelf/internal/wire/platform"
)

// Keepers is the number of a group's ranks, counted from the first one, that keep the
// group's record and form new epochs.
const Keepers = 3

const (
	ringSize      = 1024
	pollSwitching = 100 * time.Millisecond // between two reads of the engine during a map switch
	pollIdle      = time.Second            // the same at other times

	fenceRetry    = time.Second      // first wait between two attempts to learn the fence; it doubles
	fenceRetryMax = 30 * time.Second // longest wait
)

// Config configures a [Rank].
type Config struct {
	Identity host.Identity
	Service  string
	Group    string
	Platform *platform.Client
	Engine   *engine.Client
	Log      *log.Logger
	Metrics  *metrics.Set

	// Send sends a message to a host of the group, which may be this one: its rank
	// and its planner exchange the same messages as those of different hosts. It must
	// not block; the message may be lost.
	Send func(to host.Name, m frame.Control)

	// Landing is the time after which an order without a response can no longer take
	// effect, and Heartbeat is the interval of the liveness reports to the keepers. Zero
	// means the default.
	Landing   time.Duration
	Heartbeat time.Duration
}

// event is an input of the goroutine that owns the state. One of its fields is set, not
// counting ordersEnded.
type event struct {
	group       *group.Event
	guard       *order.Event
	former      *group.EpochFormerEvent
	setup       *setup
	state       chan<- State
	ordersEnded uint64 // for a read of the engine: number of orders that had ended before it began
}

// setup is a document's configuration of the group.
type setup struct {
	desired      *group.Record
	checksFences bool
	rate         int64
	expertBytes  int64
}

// Rank runs one rank of a group. It does nothing before a document assigns its host to
// the group.
type Rank struct {
	cfg    Config
	ring   chan event
	counts *counts
	calls  sync.WaitGroup

	group  *group.Switch
	guard  *order.Guard
	former *group.EpochFormer // nil on ranks that form no epochs
	setup  *setup

	switching   atomic.Bool   // a map switch is under way: read the engine often
	configured  chan struct{} // closed when there is a document
	ordersEnded atomic.Uint64 // number of orders that have ended
	fenceRead   atomic.Bool   // the fence was read from the engine
}

// New returns a rank that does nothing before [Rank.Run].
func New(cfg Config) *Rank {
	return &Rank{
		cfg:        cfg,
		ring:       make(chan event, ringSize),
		counts:     newCounts(cfg.Metrics, cfg.Service, cfg.Group),
		configured: make(chan struct{}),
	}
}

// Deliver handles a message on the group topic. It doesn't block: if the ring is full
// the message is dropped and counted, as if it had been lost.
func (r *Rank) Deliver(from host.Name, m frame.Control) {
	msg, err := group.Decode(m.Payload)
	if err != nil {
		r.counts.invalid.Inc()
		return
	}
	r.counts.received.Inc()
	r.counts.bytesReceived.Add(len(m.Payload))
	ev := event{group: &group.Event{Kind: group.Received, From: from, Message: msg}}
	if msg.Kind == group.Heartbeat || msg.Kind == group.EpochRequest {
		ev = event{former: &group.EpochFormerEvent{Kind: group.EpochFormerReceived, From: from, Message: msg}}
	}
	select {
	case r.ring <- ev:
	default:
		r.counts.dropped.Inc()
	}
}

// Install activates a document under the number that it was accepted with.
func (r *Rank) Install(ctx context.Context, number uint64, d *document.Document) {
	for _, g := range d.Groups {
		if g.Name != r.cfg.Group {
			continue
		}
		if s := r.readDocument(number, d, g); s != nil {
			r.put(ctx, event{setup: s})
		}
	}
}

// readDocument returns a document's configuration of this group; nil if this host has
// no rank in it.
func (r *Rank) readDocument(number uint64, d *document.Document, g document.Group) *setup {
	m, err := expertmap.Even(expertmap.Shape{Layers: g.Layers, Experts: g.Experts, Ranks: g.Ranks, Slots: g.SlotsPerRank})
	if err != nil {
		r.cfg.Log.Error().Err(err).Str("group", g.Name).Msg("cannot form the group of the document")
		return nil
	}
	s := &setup{
		desired:     &group.Record{Name: g.Name, Document: number, Ranks: make([]host.Name, g.Ranks), Map: m},
		rate:        max(1, int64(g.MaxBytesPerSecond)/int64(g.Ranks)),
		expertBytes: int64(g.ExpertBytes),
	}
	found := false
	for _, t := range d.Targets {
		if t.Group != g.Name || t.Rank < 0 || t.Rank >= g.Ranks {
			continue
		}
		s.desired.Ranks[t.Rank] = t.Host
		if t.Host == r.cfg.Identity.Name {
			found = true
			s.checksFences = t.ChecksFences
		}
	}
	if !found {
		return nil
	}
	return s
}

func (r *Rank) put(ctx context.Context, ev event) {
	select {
	case r.ring <- ev:
	case <-ctx.Done():
	}
}

// Run runs the rank until ctx ends.
func (r *Rank) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var g run.Group
	for _, actor := range []func(context.Context) error{r.decide, r.pollEngine, r.learnFence} {
		ctx, stop := context.WithCancel(ctx)
		g.Add(func() error { return actor(ctx) }, func(error) { stop() })
	}
	err := g.Run()
	stop()
	r.calls.Wait()
	return err
}

// decide handles events and ticks. Its goroutine owns the state of the rank.
func (r *Rank) decide(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case ev := <-r.ring:
			r.handle(ctx, ev)
		case <-timer.C:
			r.tick(ctx)
		}
		timer.Reset(r.wait())
	}
}

// wait returns the time until the next deadline of the map switch, the guard and the
// former.
func (r *Rank) wait() time.Duration {
	const idle = time.Minute
	if r.setup == nil {
		return idle
	}
	next := time.Now().Add(idle)
	deadlines := []time.Time{r.group.Deadline(), r.guard.Deadline()}
	if r.former != nil {
		deadlines = append(deadlines, r.former.Deadline())
	}
	for _, d := range deadlines {
		if !d.IsZero() && d.Before(next) {
			next = d
		}
	}
	return max(0, time.Until(next))
}

func (r *Rank) tick(ctx context.Context) {
	if r.setup == nil {
		return
	}
	r.toGuard(ctx, order.Event{Kind: order.Tick})
	r.toGroup(ctx, group.Event{Kind: group.Tick})
	r.toFormer(ctx, group.EpochFormerEvent{Kind: group.EpochFormerTick})
}

// handle handles an event. Before the first document it drops all but documents and
// reads of the state.
func (r *Rank) handle(ctx context.Context, ev event) {
	switch {
	case ev.setup != nil:
		r.configure(ctx, ev.setup)
	case ev.state != nil:
		ev.state <- r.state()
	case r.setup == nil:
	case ev.group != nil && ev.group.Kind == group.ReadBack && ev.ordersEnded != r.ordersEnded.Load():
		// The read began before an order took effect, so it shows an older state of
		// the engine: a rank that has joined would seem to have left its epoch.
	case ev.group != nil:
		r.toGroup(ctx, *ev.group)
	case ev.guard != nil:
		r.toGuard(ctx, *ev.guard)
	case ev.former != nil:
		r.toFormer(ctx, *ev.former)
	}
}

// configure applies a document, if it is newer than the current one. The first one
// creates the guard and the map switch.
func (r *Rank) configure(ctx context.Context, s *setup) {
	if r.setup != nil && s.desired.Document <= r.setup.desired.Document {
		return
	}
	first := r.setup == nil
	r.setup = s
	if first {
		r.create(s)
		close(r.configured)
	}
	keepers := s.desired.Ranks[:min(Keepers, len(s.desired.Ranks))]
	r.former = r.formerFor(keepers)
	r.toGroup(ctx, group.Event{Kind: group.KeepersChanged, Keepers: keepers})
	r.toFormer(ctx, group.EpochFormerEvent{Kind: group.EpochFormerDesired, Record: s.desired})
}

// create creates the guard and the map switch.
func (r *Rank) create(s *setup) {
	kind := order.Capabilities{ChecksFences: s.checksFences, ReadsBack: true} // an engine that cannot be read back reports this itself
	r.guard = order.NewGuard(order.Config{Engine: kind, MaxDelay: r.cfg.Landing})
	r.group = group.New(group.Config{
		Group:       r.cfg.Group,
		Self:        r.cfg.Identity.Name,
		Incarnation: r.cfg.Identity.Incarnation,
		Engine:      kind,
		Heartbeat:   r.cfg.Heartbeat,
		Rate:        s.rate,
		ExpertBytes: s.expertBytes,
	})
}

// formerFor returns the former of this host if it is one of the keepers, and nil
// otherwise.
func (r *Rank) formerFor(keepers []host.Name) *group.EpochFormer {
	for _, name := range keepers {
		if name != r.cfg.Identity.Name {
			continue
		}
		if r.former != nil {
			return r.former
		}
		return group.NewFormer(group.EpochFormerConfig{
			Record: planner.RecordKey(r.cfg.Service, r.cfg.Group),
			Lease:  planner.LeaseKey(r.cfg.Service, r.cfg.Group),
		})
	}
	return nil
}

// learnFence reads the current fence from the lease. Until the fence is known the guard
// sends no order. An engine that can be read back reports the fence too.
func (r *Rank) learnFence(ctx context.Context) error {
	if err := r.awaitDocument(ctx); err != nil {
		return err
	}
	wait := fenceRetry
	for {
		reply := r.cfg.Platform.Do(ctx, object.Call{Op: object.Get, Key: planner.LeaseKey(r.cfg.Service, r.cfg.Group), Cause: group.Cause})
		if f, ok := fenceOf(reply); ok {
			r.put(ctx, event{guard: &order.Event{Kind: order.Learn, Fence: f}})
			r.put(ctx, event{group: &group.Event{Kind: group.FenceRead, Fence: f}})
			<-ctx.Done()
			return context.Cause(ctx)
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		wait = min(2*wait, fenceRetryMax)
	}
}

// awaitDocument waits for the first document.
func (r *Rank) awaitDocument(ctx context.Context) error {
	select {
	case <-r.configured:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// fenceOf returns the fence in the platform's reply; false if there is none.
func fenceOf(r object.Reply) (lease.Fence, bool) {
	switch r.Status {
	case object.NotFound:
		return 0, true // nobody has planned for the group yet
	case object.Done:
		rec, err := lease.Decode(r.Object.Value)
		return rec.Fence, err == nil
	}
	return 0, false
}
