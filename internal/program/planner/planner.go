// Package planner runs the planning of one expert group in a process that runs next
// to one of the group's ranks. It answers the questions of the process that plans,
// and on some ranks it seeks the lease to plan itself. Package
// internal/expert/planner makes the decisions.
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
	// Candidates is the number of ranks of a group, from rank 0 on, that seek the
	// group's lease. Each candidate reads the lease every second or two, so more
	// would only cost platform calls; with three, one is left when two hosts are
	// replaced.
	Candidates = 3

	inboxSize    = 1024 // messages of the group's ranks that can wait to be handled
	questionSize = 4    // questions that can wait for the engine's counts
	replySize    = 16   // replies of the platform that can wait to be handled
)

// Config configures a [Planner].
type Config struct {
	Identity host.Identity
	Service  string
	Group    string
	Rank     uint16 // of this host, until a document assigns the ranks
	Platform *platform.Client
	Engine   *engine.Client
	Log      *log.Logger
	Metrics  *metrics.Set

	// Send sends a message to a host of the group, which may be this one. It must
	// not block; the message may be lost.
	Send func(to host.Name, m frame.Control)

	// Planning configures the controller, for example with shorter times in tests. Its
	// Service, Group and Self are ignored.
	Planning planner.Config
}

// delivery is a received message with its sender.
type delivery struct {
	from host.Name
	m    frame.Control
}

// Planner runs the planning of one group in one process.
type Planner struct {
	cfg        Config
	controller *planner.Controller
	rank       atomic.Int32 // of this host in the active document, or -1
	inbox      chan delivery
	questions  chan delivery
	replies    chan object.Reply
	settings   chan planner.Event
	states     chan chan State
	counts     *counts
	calls      sync.WaitGroup // platform calls under way
}

// New returns a planner that does nothing before [Planner.Run].
func New(cfg Config) *Planner {
	planning := cfg.Planning
	planning.Service, planning.Group, planning.Self = cfg.Service, cfg.Group, cfg.Identity
	p := &Planner{
		cfg:        cfg,
		controller: planner.New(planning, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		inbox:      make(chan delivery, inboxSize),
		questions:  make(chan delivery, questionSize),
		replies:    make(chan object.Reply, replySize),
		settings:   make(chan planner.Event, 1),
		states:     make(chan chan State),
		counts:     newCounts(cfg.Metrics, cfg.Service, cfg.Group),
	}
	p.rank.Store(int32(cfg.Rank))
	return p
}

// Deliver queues a message of the topics "plan" and "group". It does not block: when the
// queue is full, the message is dropped and counted, as if it had been lost.
func (p *Planner) Deliver(from host.Name, m frame.Control) {
	select {
	case p.inbox <- delivery{from, m}:
	default:
		p.counts.dropped.Inc()
	}
}

// Install activates a document. If it is called again before Run has read the
// settings, only the last document takes effect.
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

// rankIn returns the rank that a document assigns to this host, or -1 if it assigns
// the group's ranks to other hosts only. A document that assigns none leaves the rank
// unchanged.
func (p *Planner) rankIn(d *document.Document) int32 {
	assigned := false
	for _, t := range d.Targets {
		if t.Group != p.cfg.Group {
			continue
		}
		if t.Host == p.cfg.Identity.Name {
			return int32(t.Rank)
		}
		assigned = true
	}
	if assigned {
		return -1
	}
	return p.rank.Load()
}

// Run plans and answers questions until ctx ends.
func (p *Planner) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var g run.Group
	for _, serve := range []func(context.Context) error{p.runController, p.answer} {
		ctx, stop := context.WithCancel(ctx)
		g.Add(func() error { return serve(ctx) }, func(error) { stop() })
	}
	err := g.Run()
	stop()
	p.calls.Wait()
	return err
}

// runController is the only goroutine that uses the controller.
func (p *Planner) runController(ctx context.Context) error {
	p.seekOrResign(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(p.untilTick())
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
			p.seekOrResign(ctx)
		case reply := <-p.states:
			reply <- p.state()
		}
	}
}

// seekOrResign seeks the lease if this host has one of the first ranks, and resigns
// otherwise.
func (p *Planner) seekOrResign(ctx context.Context) {
	kind := planner.Resign
	if r := p.rank.Load(); r >= 0 && r < Candidates {
		kind = planner.Seek
	}
	p.handle(ctx, planner.Event{Kind: kind})
}

// untilTick returns the time until the controller's next tick.
func (p *Planner) untilTick() time.Duration {
	const idle = time.Minute
	at := p.controller.Deadline()
	if at.IsZero() {
		return idle
	}
	return max(0, time.Until(at))
}

// resign releases the lease, so that the next holder need not wait for its expiry.
func (p *Planner) resign(ctx context.Context) {
	const patience = time.Second
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), patience)
	defer stop()
	for _, a := range p.controller.Handle(time.Now(), planner.Event{Kind: planner.Resign}) {
		if a.Kind == planner.Call {
			p.cfg.Platform.Do(ctx, a.Call)
		}
	}
}

// receive handles a message by its topic.
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

// receiveSwitch handles a message of a map switch.
func (p *Planner) receiveSwitch(ctx context.Context, d delivery) {
	m, err := group.Decode(d.m.Payload)
	if err != nil {
		p.counts.invalid.Inc()
		return
	}
	p.handle(ctx, planner.Event{Kind: planner.SwitchReceived, From: d.from, Switch: m})
}

// handle passes an event to the controller and carries out its actions.
func (p *Planner) handle(ctx context.Context, ev planner.Event) {
	for _, a := range p.controller.Handle(time.Now(), ev) {
		p.apply(ctx, a)
	}
}

// apply carries out an action of the controller.
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
		p.counts.switchEnded(a)
		p.cfg.Log.Info().Str("service", p.cfg.Service).Str("group", p.cfg.Group).
			Str("outcome", a.Vote.String()).Str("reason", string(a.Reason)).
			Int("loads", a.Proposal.Loads).Msg("switch to a planned map ended")
	case planner.Violate:
		p.counts.violated.Inc()
		p.cfg.Log.Error().Str("service", p.cfg.Service).Str("group", p.cfg.Group).
			Str("evidence", a.Text).Msg("invariant of planning does not hold")
	}
}

// call makes one platform call and passes its reply on, unless the planner stops
// first. Run waits for the end of all calls.
func (p *Planner) call(ctx context.Context, c object.Call) {
	defer p.calls.Done()
	reply := p.cfg.Platform.Do(ctx, c)
	select {
	case p.replies <- reply:
	case <-ctx.Done():
	}
}

// send sends an encoded message, or counts the error of its encoding.
func (p *Planner) send(to host.Name, topic frame.Topic, payload []byte, err error) {
	if err != nil {
		p.counts.invalid.Inc()
		return
	}
	p.cfg.Send(to, frame.Control{Topic: topic, Payload: payload})
}

// answer answers the planning process's questions with the engine's counts. It has a
// goroutine of its own, so that reading the counts doesn't delay the controller.
func (p *Planner) answer(ctx context.Context) error {
	var reporter *planner.Reporter
	rank := int32(-1)
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case d := <-p.questions:
			if assigned := p.rank.Load(); assigned != rank {
				rank = assigned
				reporter = planner.NewReporter(p.cfg.Group, uint16(assigned))
			}
			if rank >= 0 {
				p.answerOne(ctx, reporter, d)
			}
		}
	}
}

// answerOne answers one question. If the engine's counts can't be read, it sends no
// answer, and the planning process uses the answers of the other ranks.
func (p *Planner) answerOne(ctx context.Context, r *planner.Reporter, d delivery) {
	q, err := planner.Decode(d.m.Payload)
	if err != nil {
		return
	}
	c, err := p.cfg.Engine.Counts(ctx)
	if err != nil {
		p.counts.unanswered.Inc()
		return
	}
	m := r.Answer(d.from, q, snapshot(c))
	if m == nil {
		return
	}
	payload, err := m.Encode()
	p.send(d.from, frame.TopicPlan, payload, err)
}

// snapshot converts the engine's counts.
func snapshot(c engine.Counts) planner.Snapshot {
	s := planner.Snapshot{Steps: c.Steps, Busy: time.Duration(c.Micros) * time.Microsecond}
	for _, layer := range c.Experts {
		s.Counts = append(s.Counts, layer...)
	}
	return s
}
