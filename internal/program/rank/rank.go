// Package rank runs a rank's part in its expert group in the process beside the
// rank's engine: the switch between maps, the guard in front of the engine, and on
// some ranks the forming of new epochs. The decisions are those of packages
// internal/expert/group and internal/expert/order.
//
// One goroutine owns the decisions and reads its events from a bounded ring.
// Orders, reads of the engine and calls of the platform are made by goroutines
// that each end with one event on the ring.
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

// Keepers is how many of a group's ranks, from the first on, form new epochs.
const Keepers = 3

const (
	ringSize = 1024
	pollOpen = 100 * time.Millisecond // between two reads of the engine during a switch
	pollIdle = time.Second            // and otherwise

	fenceRetry     = time.Second // between two tries to learn the fence
	fenceRetryMost = 30 * time.Second
)

// Config sets up a [Rank].
type Config struct {
	Identity host.Identity
	Service  string
	Group    string
	Platform *platform.Client
	Engine   *engine.Client
	Log      *log.Logger
	Metrics  *metrics.Set

	// Send sends a message to a host of the group, which may be this one: its rank
	// and its planner talk to each other as to those of other hosts. It must not
	// block; the message may be lost.
	Send func(to host.Name, m frame.Control)

	// Landing and Heartbeat change times; zero takes the defaults.
	Landing   time.Duration
	Heartbeat time.Duration
}

// event is what the owner of the decisions takes in. One of its parts is set.
type event struct {
	group  *group.Event
	guard  *order.Event
	former *group.FormerEvent
	setup  *setup
	state  chan<- State
	orders uint64 // for a read of the engine: orders ended before it began
}

// setup is what a document says of the group.
type setup struct {
	desired      *group.Record
	checksFences bool
	rate         int64
	expertBytes  int64
}

// Rank is a rank's part in one group. It does nothing before a document puts its
// host into the group.
type Rank struct {
	cfg    Config
	ring   chan event
	counts *counts
	calls  sync.WaitGroup

	group  *group.Switch
	guard  *order.Guard
	former *group.Former // nil on ranks that form no epochs
	setup  *setup

	open   atomic.Bool   // a switch is under way: read the engine often
	ready  chan struct{} // closed when there is a document
	orders atomic.Uint64 // ended
	fenced atomic.Bool   // the fence is known
}

// New returns a part that does nothing before [Rank.Run].
func New(cfg Config) *Rank {
	return &Rank{
		cfg:    cfg,
		ring:   make(chan event, ringSize),
		counts: newCounts(cfg.Metrics, cfg.Service, cfg.Group),
		ready:  make(chan struct{}),
	}
}

// Deliver hands over a message of the group's topic. It doesn't block: a message
// that finds no room is dropped and counted, as if it had been lost.
func (r *Rank) Deliver(from host.Name, m frame.Control) {
	msg, err := group.Decode(m.Payload)
	if err != nil {
		r.counts.invalid.Inc()
		return
	}
	r.counts.received.Inc()
	r.counts.bytesReceived.Add(len(m.Payload))
	ev := event{group: &group.Event{Kind: group.Received, From: from, Message: msg}}
	if msg.Kind == group.Alive || msg.Kind == group.Renew {
		ev = event{former: &group.FormerEvent{Kind: group.FormerReceived, From: from, Message: msg}}
	}
	select {
	case r.ring <- ev:
	default:
		r.counts.dropped.Inc()
	}
}

// Install puts a document in force, under the number that it was accepted with.
func (r *Rank) Install(ctx context.Context, number uint64, d *document.Document) {
	for _, g := range d.Groups {
		if g.Name != r.cfg.Group {
			continue
		}
		if s := r.read(number, d, g); s != nil {
			r.put(ctx, event{setup: s})
		}
	}
}

// read takes from a document what concerns this group; nil if this host has no
// rank in it.
func (r *Rank) read(number uint64, d *document.Document, g document.Group) *setup {
	m, err := expertmap.Even(expertmap.Shape{Layers: g.Layers, Experts: g.Experts, Ranks: g.Ranks, Slots: g.SlotsPerRank})
	if err != nil {
		r.cfg.Log.Error().Err(err).Str("group", g.Name).Msg("the document's group can't be formed")
		return nil
	}
	s := &setup{
		desired:     &group.Record{Name: g.Name, Document: number, Ranks: make([]host.Name, g.Ranks), Map: m},
		rate:        max(1, int64(g.MaxBytesPerSecond)/int64(g.Ranks)),
		expertBytes: int64(g.ExpertBytes),
	}
	here := false
	for _, t := range d.Targets {
		if t.Group != g.Name || t.Rank < 0 || t.Rank >= g.Ranks {
			continue
		}
		s.desired.Ranks[t.Rank] = t.Host
		if t.Host == r.cfg.Identity.Name {
			here = true
			s.checksFences = t.ChecksFences
		}
	}
	if !here {
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

// Run takes part until ctx ends.
func (r *Rank) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var g run.Group
	for _, duty := range []func(context.Context) error{r.decide, r.poll, r.learn} {
		ctx, stop := context.WithCancel(ctx)
		g.Add(func() error { return duty(ctx) }, func(error) { stop() })
	}
	err := g.Run()
	stop()
	r.calls.Wait()
	return err
}

// decide owns the decisions.
func (r *Rank) decide(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case ev := <-r.ring:
			r.take(ctx, ev)
		case <-timer.C:
			r.tick(ctx)
		}
		timer.Reset(r.wait())
	}
}

// wait is the time to the next tick of any part.
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
	r.toFormer(ctx, group.FormerEvent{Kind: group.FormerTick})
}

func (r *Rank) take(ctx context.Context, ev event) {
	switch {
	case ev.setup != nil:
		r.configure(ctx, ev.setup)
	case ev.state != nil:
		ev.state <- r.state()
	case r.setup == nil:
	case ev.group != nil && ev.group.Kind == group.ReadBack && ev.orders != r.orders.Load():
		// The read began before an order took effect. It would show the engine as
		// it was, and a rank that has joined would seem to have left its epoch.
	case ev.group != nil:
		r.toGroup(ctx, *ev.group)
	case ev.guard != nil:
		r.toGuard(ctx, *ev.guard)
	case ev.former != nil:
		r.toFormer(ctx, *ev.former)
	}
}

// configure takes in a document. The first one makes the parts.
func (r *Rank) configure(ctx context.Context, s *setup) {
	if r.setup != nil && s.desired.Document <= r.setup.desired.Document {
		return
	}
	first := r.setup == nil
	r.setup = s
	if first {
		r.make(s)
		close(r.ready)
	}
	keepers := s.desired.Ranks[:min(Keepers, len(s.desired.Ranks))]
	r.former = r.formerFor(keepers)
	r.toGroup(ctx, group.Event{Kind: group.Kept, Keepers: keepers})
	r.toFormer(ctx, group.FormerEvent{Kind: group.FormerDesired, Record: s.desired})
}

func (r *Rank) make(s *setup) {
	kind := order.Engine{ChecksFences: s.checksFences, ReadsBack: true} // an engine that can't tell says so
	r.guard = order.NewGuard(order.Config{Engine: kind, Landing: r.cfg.Landing})
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

// formerFor returns the former of this host, if it is one of the keepers.
func (r *Rank) formerFor(keepers []host.Name) *group.Former {
	for _, name := range keepers {
		if name != r.cfg.Identity.Name {
			continue
		}
		if r.former != nil {
			return r.former
		}
		return group.NewFormer(group.FormerConfig{
			Record: planner.RecordKey(r.cfg.Service, r.cfg.Group),
			Lease:  planner.LeaseKey(r.cfg.Service, r.cfg.Group),
		})
	}
	return nil
}

// learn is the duty that learns the current fence from the lease. Before that the
// guard gives no order. An engine that can be read back tells it as well.
func (r *Rank) learn(ctx context.Context) error {
	if err := r.awaitDocument(ctx); err != nil {
		return err
	}
	wait := fenceRetry
	for {
		reply := r.cfg.Platform.Do(ctx, object.Call{Op: object.Get, Key: planner.LeaseKey(r.cfg.Service, r.cfg.Group), Cause: group.Cause})
		if f, ok := fenceOf(reply); ok {
			r.put(ctx, event{guard: &order.Event{Kind: order.Learn, Fence: f}})
			r.put(ctx, event{group: &group.Event{Kind: group.Fenced, Fence: f}})
			<-ctx.Done()
			return context.Cause(ctx)
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		wait = min(2*wait, fenceRetryMost)
	}
}

func (r *Rank) awaitDocument(ctx context.Context) error {
	select {
	case <-r.ready:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

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
