package group

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// askingPatience bounds the time in which all ranks have to say that they are
// free. Nothing has been asked of them by then.
const askingPatience = 10 * time.Second

// step is how far a proposal has come.
type step uint8

const (
	none     step = iota
	asking        // learns the ranks' lives and whether they are free
	loads         // waits until all have loaded
	promises      // waits until all have promised
	spreads       // spreads the outcome until all have passed, or refused
	closes        // spreads that all have passed
)

// Proposer leads one switch after the other for a planner. If it stops at any
// point, the ranks end the switch without it. It is not safe for use by several
// goroutines.
type Proposer struct {
	resend time.Duration

	at       step
	p        Proposal
	number   Number
	count    uint32 // numbers used under this fence
	tally    *tally
	free     []bool // asking: which ranks are free
	whole    []bool // which ranks need the whole map
	prepares []Message
	target   uint64 // the step to switch at
	outcome  Vote
	since    time.Time // start of the step
	until    time.Time
	sendAt   time.Time
	tries    int // times that a step's messages have been sent
	floor    Number

	out []Action
}

// NewProposer returns a proposer that repeats what isn't answered.
func NewProposer(resend time.Duration) *Proposer {
	if resend <= 0 {
		resend = DefaultResend
	}
	return &Proposer{resend: resend}
}

// Busy tells whether a proposal is under way.
func (p *Proposer) Busy() bool { return p.at != none }

// Number returns the number of the last proposal.
func (p *Proposer) Number() Number { return p.number }

// Deadline returns when the next [Tick] is due. The zero time means never.
func (p *Proposer) Deadline() time.Time {
	if p.at == none {
		return time.Time{}
	}
	return p.sendAt
}

// Handle takes in one event and returns what is to be done.
func (p *Proposer) Handle(now time.Time, ev Event) []Action {
	p.out = nil
	switch ev.Kind {
	case Start:
		p.start(now, ev.Proposal)
	case Received:
		p.received(now, ev.From, ev.Message)
	}
	if p.at != none && !now.Before(p.sendAt) {
		p.repeat(now)
	}
	return p.out
}

func (p *Proposer) start(now time.Time, proposal *Proposal) {
	if p.Busy() || proposal == nil {
		return
	}
	if proposal.Fence != p.p.Fence {
		p.count = 0
	}
	p.p = proposal.withDefaults()
	n := len(p.p.Record.Ranks)
	p.tally = newTally(n)
	p.free = make([]bool, n)
	p.whole = make([]bool, n)
	p.number = 0
	p.floor = 0
	p.outcome = Unseen
	p.until = now.Add(min(p.p.Patience, askingPatience))
	p.enter(now, asking)
}

func (p *Proposer) enter(now time.Time, at step) {
	p.at = at
	p.since = now
	p.sendAt = now
	p.tries = 0
}

// repeat sends what some ranks have not answered, and gives up in time.
func (p *Proposer) repeat(now time.Time) {
	p.sendAt = now.Add(p.resend)
	p.tries++
	if !now.Before(p.until) {
		p.expire(now)
	}
	for rank, name := range p.p.Record.Ranks {
		if m, ok := p.due(rank, now); ok {
			p.send(name, m)
		}
	}
}

// due returns what a rank has to be told again.
func (p *Proposer) due(rank int, now time.Time) (Message, bool) {
	v := p.tally.votes[rank]
	switch p.at {
	case asking:
		return Message{Kind: Ask}, !p.free[rank]
	case loads:
		if v >= Loading {
			// It reports by itself when it has loaded; only lost reports are asked for.
			return Message{Kind: Ask, Number: p.number}, v < Loaded && p.tries%loadingAsks == 0
		}
		m := p.prepares[rank]
		m.Remaining = max(p.until.Sub(now), 0)
		return m, true
	case promises:
		if p.expired(now) {
			return Message{Kind: Ask, Number: p.number, Final: true}, v < Promised || v == Unsure
		}
		return p.promise(now), v < Promised
	case spreads:
		if p.outcome == Refused {
			return Message{Kind: Outcome, Number: p.number, Vote: Refused}, v < Refused || v == Unsure
		}
		if v == Committed {
			// It reports by itself when its engine has begun the step.
			return Message{Kind: Ask, Number: p.number}, now.Sub(p.since) > 2*p.p.Lead+p.resend
		}
		return p.committed(), v < Committed || v == Unsure
	case closes:
		return Message{Kind: Outcome, Number: p.number, Vote: Finished}, v != Finished
	}
	return Message{}, false
}

func (p *Proposer) expired(now time.Time) bool {
	return !now.Before(p.until)
}

// expire gives up what has taken too long. A switch that some rank may have
// promised is not given up: it is asked for until its outcome is known, or until
// the group forms again.
func (p *Proposer) expire(now time.Time) {
	switch p.at {
	case asking:
		p.end(Refused, Busy)
	case loads:
		p.decide(now, Refused, LoadingTooLong)
	case spreads:
		// Who has not heard the outcome asks for it.
		p.at = none
	case closes:
		p.at = none
	}
}

func (p *Proposer) received(now time.Time, from host.Name, m Message) {
	if p.at == none || m.Kind != Report || m.Check() != nil || m.Group != p.p.Record.Name {
		return
	}
	rank := p.p.Record.RankOf(from)
	if rank < 0 {
		return
	}
	if m.Epoch > p.p.Record.Epoch {
		// The group has formed again; nothing of this epoch matters any more.
		if p.outcome == Unseen {
			p.end(Refused, StaleEpoch)
		}
		p.at = none
		return
	}
	if m.Epoch < p.p.Record.Epoch {
		return
	}
	if p.at == asking {
		p.learn(now, rank, m)
		return
	}
	if m.Number != p.number {
		return
	}
	if text := p.tally.add(rank, m); text != "" {
		p.out = append(p.out, Action{Kind: Violate, Text: text})
		return
	}
	p.progress(now)
}

// learn takes in how a rank stands before the proposal has a number.
func (p *Proposer) learn(now time.Time, rank int, m Message) {
	if m.Number != 0 {
		return
	}
	p.floor = max(p.floor, m.Floor, m.Open)
	p.tally.lives[rank] = uint64(m.Incarnation)
	p.whole[rank] = m.Whole
	p.free[rank] = m.Open == 0 && m.OpenAt != Unsure
	if m.Fence > p.p.Fence {
		p.end(Refused, StaleNumber)
		return
	}
	if p.free[rank] && m.InForce != p.p.Base {
		p.end(Refused, BaseUnknown)
		return
	}
	for _, free := range p.free {
		if !free {
			return
		}
	}
	p.propose(now)
}

// propose chooses a number above all that the ranks have seen, and asks them to
// load.
func (p *Proposer) propose(now time.Time) {
	p.count++
	if p.floor.Fence() == p.p.Fence {
		p.count = max(p.count, uint32(p.floor-NumberOf(p.p.Fence, 0))+1)
	}
	p.number = NumberOf(p.p.Fence, p.count)
	prepares, err := p.plan()
	if err != nil {
		p.end(Refused, MapInvalid)
		return
	}
	p.prepares = prepares
	p.until = now.Add(p.p.Patience)
	p.enter(now, loads)
}

// plan makes the message to each rank. The store's rate is shared in proportion
// to what the ranks have to load, so that they end together.
func (p *Proposer) plan() ([]Message, error) {
	diff, err := expertmap.Diff(p.p.BaseMap, p.p.Map)
	if err != nil {
		return nil, err
	}
	changes, err := expertmap.Changes(p.p.BaseMap, p.p.Map)
	if err != nil {
		return nil, err
	}
	moves := diff.Moves(len(p.p.Record.Ranks))
	digest := p.p.Map.Digest()
	list := make([]Message, len(moves))
	for rank, n := range moves {
		m := Message{
			Kind: Prepare, Number: p.number, Base: p.p.Base, Digest: digest, ExpertBytes: p.p.ExpertBytes,
			Incarnation: host.Incarnation(p.tally.lives[rank]),
			Rate:        max(1, int64(float64(p.p.StoreRate)*float64(max(n, 1))/float64(max(len(diff.Loads), 1)))),
			Changes:     changes,
		}
		if p.whole[rank] || len(changes) > MaxChanges {
			m.Changes, m.Map = nil, p.p.Map
		}
		list[rank] = m
	}
	return list, nil
}

// progress goes on when the votes allow.
func (p *Proposer) progress(now time.Time) {
	if p.at == loads || p.at == promises {
		if v := p.tally.outcome(); v != Unseen {
			p.decide(now, v, p.tally.reason())
			return
		}
	}
	n := len(p.tally.votes)
	switch p.at {
	case loads:
		if p.tally.count(Loaded, Loaded) == n {
			p.ask(now)
		}
	case spreads:
		if p.outcome == Refused && p.tally.count(Refused, Refused) == n {
			p.at = none
		}
		if p.outcome == Committed && p.tally.finished() {
			p.until = now.Add(p.p.Patience)
			p.enter(now, closes)
		}
	case closes:
		if p.tally.count(Finished, Finished) == n {
			p.at = none
		}
	}
}

// ask names the step, far enough ahead that the outcome is known everywhere
// before the engines come to it.
func (p *Proposer) ask(now time.Time) {
	var next uint64
	for _, n := range p.tally.next {
		next = max(next, n)
	}
	p.target = next + uint64(p.p.Lead/p.p.StepTime) + 1
	p.until = now.Add(p.p.Lead)
	p.enter(now, promises)
}

func (p *Proposer) promise(now time.Time) Message {
	return Message{Kind: Promise, Number: p.number, Step: p.target, Remaining: max(p.until.Sub(now), 0)}
}

func (p *Proposer) committed() Message {
	return Message{Kind: Outcome, Number: p.number, Vote: Committed, Step: p.target}
}

// decide takes note of the outcome, which the votes have settled, or refuses a
// switch that no rank can have promised.
func (p *Proposer) decide(now time.Time, v Vote, why Reason) {
	p.outcome = v
	p.until = now.Add(p.p.Patience)
	p.out = append(p.out, Action{Kind: Ended, Vote: v, Reason: why, Record: Record{
		Name: p.p.Record.Name, Epoch: p.p.Record.Epoch, Fence: p.p.Fence, Number: p.number, Ranks: p.p.Record.Ranks, Map: p.p.Map,
	}})
	p.enter(now, spreads)
}

// end ends a proposal that no rank knows of.
func (p *Proposer) end(v Vote, why Reason) {
	p.at = none
	p.out = append(p.out, Action{Kind: Ended, Vote: v, Reason: why})
}

func (p *Proposer) send(to host.Name, m Message) {
	m.Group = p.p.Record.Name
	m.Epoch = p.p.Record.Epoch
	p.out = append(p.out, Action{Kind: Send, To: to, Message: m})
}
