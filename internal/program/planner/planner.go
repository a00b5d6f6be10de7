// Package planner runs the planning of one expert group in a process beside one
// of its ranks: it answers the questions of whoever plans, and on some ranks
// seeks the lease to plan itself. The decisions are those of package
// internal/expert/planner.
package planner

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oklog/run"
	"github.com/phuslu/log"

	"wagtailshelf.example/wagtailshelf/internal/expert/group"
	"wagtailshelf.example/wagtailshelf/internal/expert/plan"
	"wagtailshelf.example/wagtailshelf/internal/expert/planner"
	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
	"wagtailshelf.example/wagtailshelf/internal/wire/engine"
	"wagtailshelf.example/wagtailshelf/internal/wire/frame"
	"wagtailshelf.example/wagtailshelf/internal/wire/platform"
)

const (
	// Seekers is how many of a group's ranks, from the first on, seek its lease.
	// Each seeker reads the lease every second or two, so more would only cost
	// calls of the platform; three leave one when two hosts are replaced.
	Seekers = 3

	inboxSize    = 1024 // messages of the group's ranks that wait to be handled
	questionSize = 4    // questions that wait for the engine's counts
	replySize    = 16   // ended calls of the platform
)

// Config sets up a [Planner].
type Config struct {
	Identity host.Identity
	Service  string
	Group    string
	Rank     uint16 // of this host, until a document names its ranks
	Platform *platform.Client
	Engine   *engine.Client
	Log      *log.Logger
	Metrics  *metrics.Set

	// Send sends a message to a host of the group, which may be this one. It must
	// not block; the message may be lost.
	Send func(to host.Name, m frame.Control)

	// Duty changes the times of the planning; tests shorten them.
	Duty planner.Config
}

// delivery is a message that arrived.
type delivery struct {
	from host.Name
	m    frame.Control
}

// Planner is the planning of one group in one process.
type Planner struct {
	cfg       Config
	duty      *planner.Controller
	rank      atomic.Int32 // of this host in the document in force, or -1
	inbox     chan delivery
	questions chan delivery
	replies   chan object.Reply
	settings  chan planner.Event
	states    chan chan State
	counts    *counts
	calls     sync.WaitGroup // of the platform
}

// New returns a planner that does nothing before [Planner.Run].
func New(cfg Config) *Planner {
	duty := cfg.Duty
	duty.Service, duty.Group, duty.Self = cfg.Service, cfg.Group, cfg.Identity
	p := &Planner{
		cfg:       cfg,
		duty:      planner.New(duty, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		inbox:     make(chan delivery, inboxSize),
		questions: make(chan delivery, questionSize),
		replies:   make(chan object.Reply, replySize),
		settings:  make(chan planner.Event, 1),
		states:    make(chan chan State),
		counts:    newCounts(cfg.Metrics, cfg.Service, cfg.Group),
	}
	p.rank.Store(int32(cfg.Rank))
	return p
}

// Deliver hands over a message of the topics plan and group. It doesn't block: a
// message that finds no room is dropped and counted, as if it had been lost.
func (p *Planner) Deliver(from host.Name, m frame.Control) {
	select {
	case p.inbox <- delivery{from, m}:
	default:
		p.counts.dropped.Inc()
	}
}

// Install puts a document in force. Only the last one before Run looks counts.
func (p *Planner) Install(d *document.Document) {
	p.rank.Store(p.rankIn(d))
	for _, g := range d.Groups {
		if g.Name != p.cfg.Group {
			continue
		}
		ev := planner.Event{
			Kind:        planner.Settings,
			Weights:     plan.Weights{Skew: g.SkewWeight, Moves: g.MoveWeight},
			StoreRate:   int64(g.MaxBytesPerSecond),
			ExpertBytes: int64(g.ExpertBytes),
		}
		select {
		case <-p.settings:
		default:
		}
		p.settings <- ev
	}
}

// rankIn is the rank that a document gives this host, or -1 if it gives the ranks
// to others.
func (p *Planner) rankIn(d *document.Document) int32 {
	named := false
	for _, t := range d.Targets {
		if t.Group != p.cfg.Group {
			continue
		}
		if t.Host == p.cfg.Identity.Name {
			return int32(t.Rank)
		}
		named = true
	}
	if named {
		return -1
	}
	return p.rank.Load()
}

// Run plans and answers until ctx ends.
func (p *Planner) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var g run.Group
	for _, duty := range []func(context.Context) error{p.plan, p.answer} {
		ctx, stop := context.WithCancel(ctx)
		g.Add(func() error { return duty(ctx) }, func(error) { stop() })
	}
	err := g.Run()
	stop()
	p.calls.Wait()
	return err
}

// plan is the duty that owns the deciding state.
func (p *Planner) plan(ctx context.Context) error {
	p.seek(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(p.wait())
		select {
		case <-ctx.Done():
			p.resign(ctx)
			return context.Cause(ctx)
		case <-timer.C:
			p.handle(ctx, planner.Event{Kind: planner.Tick})
		case d := <-p.inbox:
			p.receive(ctx, d)
		case r := <-p.replies:
			p.handle(ctx, planner.Event{Kind: planner.CallDone, Reply: r})
		case ev := <-p.settings:
			p.handle(ctx, ev)
			p.seek(ctx)
		case c := <-p.states:
			c <- p.state()
		}
	}
}

// seek seeks the lease on the first ranks, and gives it up elsewhere.
func (p *Planner) seek(ctx context.Context) {
	kind := planner.Resign
	if r := p.rank.Load(); r >= 0 && r < Seekers {
		kind = planner.Seek
	}
	p.handle(ctx, planner.Event{Kind: kind})
}

// wait is the time to the duty's next tick.
func (p *Planner) wait() time.Duration {
	const idle = time.Minute
	at := p.duty.Deadline()
	if at.IsZero() {
		return idle
	}
	return max(0, time.Until(at))
}

// resign frees the lease, so that the next holder need not wait for its end.
func (p *Planner) resign(ctx context.Context) {
	const patience = time.Second
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), patience)
	defer stop()
	for _, a := range p.duty.Handle(time.Now(), planner.Event{Kind: planner.Resign}) {
		if a.Kind == planner.Call {
			p.cfg.Platform.Do(ctx, a.Call)
		}
	}
}

// receive sorts a message that arrived.
func (p *Planner) receive(ctx context.Context, d delivery) {
	if d.m.Topic == frame.TopicGroup {
		p.receiveSwitch(ctx, d)
		return
	}
	m, err := planner.Decode(d.m.Payload)
	if err != nil {
		p.counts.invalid.Inc()
		return
	}
	if m.Answer != nil {
		p.handle(ctx, planner.Event{Kind: planner.AnswerReceived, From: d.from, Message: m})
		return
	}
	select {
	case p.questions <- d:
	default:
		p.counts.dropped.Inc()
	}
}

func (p *Planner) receiveSwitch(ctx context.Context, d delivery) {
	m, err := group.Decode(d.m.Payload)
	if err != nil {
		p.counts.invalid.Inc()
		return
	}
	p.handle(ctx, planner.Event{Kind: planner.SwitchReceived, From: d.from, Switch: m})
}

// handle hands an event to the duty and carries out what it wants.
func (p *Planner) handle(ctx context.Context, ev planner.Event) {
	for _, a := range p.duty.Handle(time.Now(), ev) {
		p.apply(ctx, a)
	}
}

func (p *Planner) apply(ctx context.Context, a planner.Action) {
	switch a.Kind {
	case planner.Call:
		p.calls.Add(1)
		go p.call(ctx, a.Call)
	case planner.SendSwitch:
		payload, err := a.Switch.Encode()
		p.send(a.To, frame.TopicGroup, payload, err)
	case planner.SendQuestion:
		payload, err := a.Message.Encode()
		p.send(a.To, frame.TopicPlan, payload, err)
	case planner.Planned:
		p.counts.planned(a.Proposal)
		p.cfg.Log.Info().Str("service", p.cfg.Service).Str("group", p.cfg.Group).
			Str("reason", string(a.Proposal.Reason)).Msg(a.Proposal.String())
	case planner.SwitchEnded:
		p.counts.ended(a)
		p.cfg.Log.Info().Str("service", p.cfg.Service).Str("group", p.cfg.Group).
			Str("outcome", a.Vote.String()).Str("reason", string(a.Reason)).
			Int("loads", a.Proposal.Loads).Msg("switch to a planned map ended")
	case planner.Violate:
		p.counts.violated.Inc()
		p.cfg.Log.Error().Str("service", p.cfg.Service).Str("group", p.cfg.Group).
			Str("evidence", a.Text).Msg("invariant of planning does not hold")
	}
}

// call makes one call of the platform. The reply finds its reader while the
// planner runs; Run awaits the end of all calls.
func (p *Planner) call(ctx context.Context, c object.Call) {
	defer p.calls.Done()
	reply := p.cfg.Platform.Do(ctx, c)
	select {
	case p.replies <- reply:
	case <-ctx.Done():
	}
}

func (p *Planner) send(to host.Name, topic frame.Topic, payload []byte, err error) {
	if err != nil {
		p.counts.invalid.Inc()
		return
	}
	p.cfg.Send(to, frame.Control{Topic: topic, Payload: payload})
}

// answer is the duty that reads the engine's counts for whoever plans.
func (p *Planner) answer(ctx context.Context) error {
	var reporter *planner.Reporter
	rank := int32(-1)
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case d := <-p.questions:
			if now := p.rank.Load(); now != rank {
				rank = now
				reporter = planner.NewReporter(p.cfg.Group, uint16(now))
			}
			if rank >= 0 {
				p.answerOne(ctx, reporter, d)
			}
		}
	}
}

// answerOne leaves a question unanswered if the engine does not say what it did:
// the planner goes by the other ranks then.
func (p *Planner) answerOne(ctx context.Context, r *planner.Reporter, d delivery) {
	q, err := planner.Decode(d.m.Payload)
	if err != nil {
		return
	}
	c, err := p.cfg.Engine.Counts(ctx)
	if err != nil {
		p.counts.silent.Inc()
		return
	}
	m := r.Answer(d.from, q, snapshot(c))
	if m == nil {
		return
	}
	payload, err := m.Encode()
	p.send(d.from, frame.TopicPlan, payload, err)
}

func snapshot(c engine.Counts) planner.Snapshot {
	s := planner.Snapshot{Steps: c.Steps, Busy: time.Duration(c.Micros) * time.Microsecond}
	for _, layer := range c.Experts {
		s.Counts = append(s.Counts, layer...)
	}
	return s
}
