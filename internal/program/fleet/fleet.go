package fleet

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oklog/run"
	"github.com/phuslu/log"

	"wagtailshelf.example/wagtailshelf/internal/fleet/lease"
	"wagtailshelf.example/wagtailshelf/internal/fleet/member"
	"wagtailshelf.example/wagtailshelf/internal/record/acceptance"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
	"wagtailshelf.example/wagtailshelf/internal/record/register"
	"wagtailshelf.example/wagtailshelf/internal/wire/frame"
	"wagtailshelf.example/wagtailshelf/internal/wire/peer"
	"wagtailshelf.example/wagtailshelf/internal/wire/platform"
)

const (
	inboxSize  = 4096
	maxCalls   = 64 // platform calls on their way
	watchPause = time.Second
	departTime = 50 * time.Millisecond // for the last messages to leave
)

// watchCause is the cause of the read that follows a watch that failed.
const watchCause object.Cause = "documentsAfterWatch"

// Config sets up a [Fleet].
type Config struct {
	Peers    *peer.Config // with the identity of this process, its address included
	Seeds    []netip.AddrPort
	Platform *platform.Client
	Log      *log.Logger
	Metrics  *metrics.Set

	// InForce is called with each document that comes in force, one at a time
	// and with rising numbers of a service. It must not block for long.
	InForce func(d acceptance.Document)

	// Learned is called with each fact of another duty that is new here, and
	// Changed with each member that is new or has changed. They must not block.
	Learned func(f member.Fact)
	Changed func(r member.Record)

	// Superseded is called if a later life of this host's process exists.
	Superseded func()

	// Member and Lease change times; zero takes the defaults.
	Member member.Config
	Lease  lease.Config
}

// event is what the owner of the decisions takes in.
type event struct {
	acceptance acceptance.Event
	reply      object.Reply // for the register, if register is set
	register   bool
	ask        chan<- acceptance.Dump
}

// Fleet is a process's part in the fleet.
type Fleet struct {
	cfg      Config
	process  *acceptance.Process
	register *register.Register
	links    *links
	counts   *counts
	inbox    chan event
	calls    chan struct{} // bounds the platform calls on their way
	watch    chan bool
	waits    waits // of the owner of the decisions
	start    time.Time
	until    atomic.Int64 // nanoseconds after start up to which new work may be taken
}

// New returns a part that does nothing before [Fleet.Run].
func New(cfg Config) *Fleet {
	now := time.Now()
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	f := &Fleet{
		cfg:      cfg,
		register: register.New(cfg.Peers.Identity.Name, rng),
		inbox:    make(chan event, inboxSize),
		calls:    make(chan struct{}, maxCalls),
		watch:    make(chan bool, 16),
		waits:    make(waits),
		start:    now,
	}
	f.counts = newCounts(cfg.Metrics, f)
	f.links = newLinks(cfg.Peers, f.counts)
	cfg.Member.Self = cfg.Peers.Identity
	cfg.Member.Seeds = cfg.Seeds
	f.process = acceptance.NewProcess(now, acceptance.Config{
		Member:  cfg.Member,
		Lease:   cfg.Lease,
		Check:   f.register.Check,
		Desired: register.Desired,
	}, rng)
	return f
}

// TakesWork tells whether this process may take new work now. A process that was
// paused, or that lost contact, may have missed what the others put in force.
func (f *Fleet) TakesWork() bool {
	return int64(time.Since(f.start)) < f.until.Load()
}

// OnControl takes in a message of another process; those of other duties are
// left alone. It does not block.
func (f *Fleet) OnControl(from *peer.Conn, m frame.Control) {
	if m.Topic != frame.TopicMembers {
		return
	}
	e, err := acceptance.DecodeEnvelope(m.Payload)
	if err != nil || senderOf(e) != from.Peer().Name {
		f.counts.malformed.Inc()
		return
	}
	f.links.heard(from)
	f.counts.received.Inc()
	f.counts.bytesReceived.Add(len(m.Payload))
	f.put(event{acceptance: acceptance.Event{Kind: acceptance.Received, Envelope: e}})
}

// put hands an event to the owner of the decisions, or drops it.
func (f *Fleet) put(ev event) {
	select {
	case f.inbox <- ev:
	default:
		f.counts.dropped.Inc()
	}
}

// Publish spreads facts of another duty to all members.
func (f *Fleet) Publish(facts ...member.Fact) {
	f.put(event{acceptance: acceptance.Event{Kind: acceptance.Publish, Facts: facts}})
}

// Applied tells the holder of the lease that a document was applied.
func (f *Fleet) Applied(service string, version object.Version) {
	f.Publish(acceptance.DesiredFact(service, uint64(version)))
}

// Listed takes in the platform's list of hosts.
func (f *Fleet) Listed(hosts []member.Listing) {
	f.put(event{acceptance: acceptance.Event{Kind: acceptance.Listed, Hosts: hosts}})
}

// Leave tells the others that this process takes no new work any more.
func (f *Fleet) Leave() {
	f.put(event{acceptance: acceptance.Event{Kind: acceptance.Leave}})
}

// Dump returns the state of the part for operators.
func (f *Fleet) Dump(ctx context.Context) (acceptance.Dump, error) {
	answer := make(chan acceptance.Dump, 1)
	select {
	case f.inbox <- event{ask: answer}:
	case <-ctx.Done():
		return acceptance.Dump{}, context.Cause(ctx)
	}
	select {
	case d := <-answer:
		return d, nil
	case <-ctx.Done():
		return acceptance.Dump{}, context.Cause(ctx)
	}
}

// Run serves until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	var g run.Group
	f.duty(ctx, &g, f.decide)
	f.duty(ctx, &g, f.follow)
	f.duty(ctx, &g, f.links.tidy)
	err := g.Run()
	time.Sleep(departTime)
	f.links.close()
	return err
}

func (f *Fleet) duty(ctx context.Context, g *run.Group, serve func(context.Context) error) {
	ctx, stop := context.WithCancel(ctx)
	g.Add(func() error { return serve(ctx) }, func(error) { stop() })
}

// decide owns the decisions.
func (f *Fleet) decide(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	if f.cfg.Changed != nil {
		f.cfg.Changed(f.process.Members().Self())
	}
	for {
		select {
		case <-ctx.Done():
			f.depart(ctx)
			return context.Cause(ctx)
		case ev := <-f.inbox:
			f.take(ctx, ev)
		case <-timer.C:
			f.handle(ctx, acceptance.Event{Kind: acceptance.Tick})
			f.toRegister(ctx, register.Event{Kind: register.Tick})
		}
		timer.Reset(max(time.Until(f.deadline()), 0))
	}
}

func (f *Fleet) deadline() time.Time {
	next := f.process.Deadline()
	if at := f.register.Deadline(); !at.IsZero() && at.Before(next) {
		return at
	}
	return next
}

func (f *Fleet) take(ctx context.Context, ev event) {
	switch {
	case ev.ask != nil:
		ev.ask <- f.process.Dump(time.Now())
	case ev.register:
		f.toRegister(ctx, register.Event{Kind: register.Answered, Reply: ev.reply})
	default:
		f.handle(ctx, ev.acceptance)
	}
}

// depart tells the others that this process ends. It is the last that they hear;
// if it is lost, they find out by themselves.
func (f *Fleet) depart(ctx context.Context) {
	f.handle(ctx, acceptance.Event{Kind: acceptance.Depart})
	f.until.Store(0)
}

func (f *Fleet) handle(ctx context.Context, ev acceptance.Event) {
	begin := time.Now()
	actions := f.process.Handle(begin, ev)
	until := int64(f.process.WorkUntil().Sub(f.start))
	if until < f.until.Load() {
		f.until.Store(until)
	}
	for i := range actions {
		f.perform(ctx, &actions[i])
	}
	// Only now are the documents in place that the permission rests on. Given
	// before, it let a process that had just started answer its first callers
	// with "unknown service".
	f.until.Store(until)
	if changes := f.process.Changes(); len(changes) > 0 {
		f.toRegister(ctx, register.Event{Kind: register.Moved, Changes: changes})
	}
	f.counts.busy.Add(time.Since(begin).Seconds())
}

func (f *Fleet) perform(ctx context.Context, a *acceptance.Action) {
	switch a.Kind {
	case acceptance.Send:
		f.send(ctx, a)
		return
	case acceptance.Call:
		f.call(ctx, a.Call, false)
		return
	case acceptance.Watch:
		f.tellWatch(a.On)
		return
	case acceptance.Violate:
		f.counts.violation()
		f.cfg.Log.Error().Str("violation", a.Violation).Msg("an invariant does not hold")
		return
	case acceptance.InForce:
		f.inForce(a)
	case acceptance.Learned:
		if f.cfg.Learned != nil {
			f.cfg.Learned(a.Fact)
		}
	case acceptance.Changed:
		if f.cfg.Changed != nil {
			f.cfg.Changed(a.Record)
		}
	case acceptance.Superseded:
		f.superseded()
	}
	f.logAction(a)
	f.toRegister(ctx, register.Event{Kind: register.Acted, Action: *a})
}

func (f *Fleet) inForce(a *acceptance.Action) {
	f.counts.inForce.Inc()
	if f.cfg.InForce != nil {
		f.cfg.InForce(a.Document)
	}
}

func (f *Fleet) superseded() {
	f.cfg.Log.Error().Msg("a later life of this process exists")
	if f.cfg.Superseded != nil {
		f.cfg.Superseded()
	}
}

func (f *Fleet) toRegister(ctx context.Context, ev register.Event) {
	for _, a := range f.register.Handle(time.Now(), ev) {
		switch a.Kind {
		case register.Call:
			f.call(ctx, a.Call, true)
		case register.Violate:
			f.counts.violation()
			f.cfg.Log.Error().Str("service", a.Service).Err(a.Err).Msg("an invariant does not hold")
		}
	}
}
