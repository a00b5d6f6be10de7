package group

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// queryPatience is the time in which all ranks have to report that they are free.
// The ranks know nothing of the proposal until then.
const queryPatience = 10 * time.Second

// proposalPhase is the progress of a proposal.
type proposalPhase uint8

const (
	idle             proposalPhase = iota
	querying                       // queries the ranks' incarnations and whether they are free
	awaitingLoads                  // waits until all ranks have loaded
	awaitingPromises               // waits until all ranks have promised
	sendingOutcome                 // sends the outcome until all ranks have voted Passed, or Refused
	sendingFinished                // sends the ranks that all have voted Passed
)

// Proposer leads one switch at a time for a planner. If it stops at any point, the
// ranks end the switch without it. It is not safe for concurrent use.
type Proposer struct {
	resend time.Duration

	phase       proposalPhase
	proposal    Proposal
	number      Number
	numbersUsed uint32 // how many numbers have been used under this fence
	tally       *tally
	freeRanks   []bool    // in querying: which ranks have no open switch
	needMap     []bool    // which ranks need the complete map
	prepares    []Message // the proposal to each rank
	switchStep  uint64    // the first step with the new map
	outcome     Vote
	phaseSince  time.Time // when the phase began
	phaseUntil  time.Time // when the phase times out
	sendAt      time.Time // when to send the phase's messages next
	sendCount   int       // how many times the phase's messages have been sent
	highest     Number    // highest number that any rank has reported

	out []Action
}

// NewProposer returns a proposer that repeats unanswered messages at the interval
// resend, or [DefaultResend] if it isn't positive.
func NewProposer(resend time.Duration) *Proposer {
	if resend <= 0 {
		resend = DefaultResend
	}
	return &Proposer{resend: resend}
}

// Busy reports whether a proposal is in progress.
func (p *Proposer) Busy() bool { return p.phase != idle }

// Number returns the number of the last proposal.
func (p *Proposer) Number() Number { return p.number }

// Deadline returns when the next [Tick] is due. The zero time means never.
func (p *Proposer) Deadline() time.Time {
	if p.phase == idle {
		return time.Time{}
	}
	return p.sendAt
}

// Handle processes one event and returns the actions to carry out.
func (p *Proposer) Handle(now time.Time, ev Event) []Action {
	p.out = nil
	switch ev.Kind {
	case Start:
		p.start(now, ev.Proposal)
	case Received:
		p.received(now, ev.From, ev.Message)
	}
	if p.phase != idle && !now.Before(p.sendAt) {
		p.repeat(now)
	}
	return p.out
}

func (p *Proposer) start(now time.Time, proposal *Proposal) {
	if p.Busy() || proposal == nil {
		return
	}
	if proposal.Fence != p.proposal.Fence {
		p.numbersUsed = 0
	}
	p.proposal = proposal.withDefaults()
	n := len(p.proposal.Record.Ranks)
	p.tally = newTally(n)
	p.freeRanks = make([]bool, n)
	p.needMap = make([]bool, n)
	p.number = 0
	p.highest = 0
	p.outcome = Unseen
	p.phaseUntil = now.Add(min(p.proposal.Patience, queryPatience))
	p.enter(now, querying)
}

func (p *Proposer) enter(now time.Time, phase proposalPhase) {
	p.phase = phase
	p.phaseSince = now
	p.sendAt = now
	p.sendCount = 0
}

// repeat sends the messages that ranks have not answered, and ends a phase that
// has timed out.
func (p *Proposer) repeat(now time.Time) {
	p.sendAt = now.Add(p.resend)
	p.sendCount++
	if !now.Before(p.phaseUntil) {
		p.expire(now)
	}
	for rank, name := range p.proposal.Record.Ranks {
		if m, ok := p.due(rank, now); ok {
			p.send(name, m)
		}
	}
}

// due returns the message that a rank has to be sent again, if any.
func (p *Proposer) due(rank int, now time.Time) (Message, bool) {
	v := p.tally.votes[rank]
	switch p.phase {
	case querying:
		return Message{Kind: Ask}, !p.freeRanks[rank]
	case awaitingLoads:
		if v >= Loading {
			// A rank reports unasked when it has loaded; the query replaces a lost report.
			return Message{Kind: Ask, Number: p.number}, v < Loaded && p.sendCount%resendsPerLoadQuery == 0
		}
		m := p.prepares[rank]
		m.Remaining = max(p.phaseUntil.Sub(now), 0)
		return m, true
	case awaitingPromises:
		if p.expired(now) {
			return Message{Kind: Ask, Number: p.number, Final: true}, v < Promised || v == Unsure
		}
		return p.promiseMessage(now), v < Promised
	case sendingOutcome:
		if p.outcome == Refused {
			return Message{Kind: Outcome, Number: p.number, Vote: Refused}, v < Refused || v == Unsure
		}
		if v == Committed {
			// A rank reports unasked when its engine has begun the step.
			return Message{Kind: Ask, Number: p.number}, now.Sub(p.phaseSince) > 2*p.proposal.Lead+p.resend
		}
		return p.committedMessage(), v < Committed || v == Unsure
	case sendingFinished:
		return Message{Kind: Outcome, Number: p.number, Vote: Finished}, v != Finished
	}
	return Message{}, false
}

func (p *Proposer) expired(now time.Time) bool {
	return !now.Before(p.phaseUntil)
}

// expire ends a phase that has taken too long. A switch that some rank may have
// promised is not given up: the ranks are queried until its outcome is known, or
// until the group forms again.
func (p *Proposer) expire(now time.Time) {
	switch p.phase {
	case querying:
		p.end(Refused, Busy)
	case awaitingLoads:
		p.decide(now, Refused, LoadingTooLong)
	case sendingOutcome:
		// Ranks that have not received the outcome ask the others for it.
		p.phase = idle
	case sendingFinished:
		p.phase = idle
	}
}

func (p *Proposer) received(now time.Time, from host.Name, m Message) {
	if p.phase == idle || m.Kind != Report || m.Check() != nil || m.Group != p.proposal.Record.Name {
		return
	}
	rank := p.proposal.Record.RankOf(from)
	if rank < 0 {
		return
	}
	if m.Epoch > p.proposal.Record.Epoch {
		// The group has formed again, so this epoch's switch has no effect any more.
		if p.outcome == Unseen {
			p.end(Refused, StaleEpoch)
		}
		p.phase = idle
		return
	}
	if m.Epoch < p.proposal.Record.Epoch {
		return
	}
	if p.phase == querying {
		p.learnState(now, rank, m)
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

// learnState records the state of a rank before the proposal has a number.
func (p *Proposer) learnState(now time.Time, rank int, m Message) {
	if m.Number != 0 {
		return
	}
	p.highest = max(p.highest, m.Floor, m.Open)
	p.tally.incarnations[rank] = uint64(m.Incarnation)
	p.needMap[rank] = m.NeedsMap
	p.freeRanks[rank] = m.Open == 0 && m.OpenVote != Unsure
	if m.Fence > p.proposal.Fence {
		p.end(Refused, StaleNumber)
		return
	}
	if p.freeRanks[rank] && m.ActiveNumber != p.proposal.Base {
		p.end(Refused, BaseUnknown)
		return
	}
	for _, free := range p.freeRanks {
		if !free {
			return
		}
	}
	p.propose(now)
}

// propose chooses a number above all that the ranks have seen, and begins to ask
// the ranks to load.
func (p *Proposer) propose(now time.Time) {
	p.numbersUsed++
	if p.highest.Fence() == p.proposal.Fence {
		p.numbersUsed = max(p.numbersUsed, uint32(p.highest-NumberOf(p.proposal.Fence, 0))+1)
	}
	p.number = NumberOf(p.proposal.Fence, p.numbersUsed)
	prepares, err := p.prepareMessages()
	if err != nil {
		p.end(Refused, MapInvalid)
		return
	}
	p.prepares = prepares
	p.phaseUntil = now.Add(p.proposal.Patience)
	p.enter(now, awaitingLoads)
}

// prepareMessages returns the proposal to each rank. The store's rate is shared in
// proportion to what the ranks have to load, so that they finish together.
func (p *Proposer) prepareMessages() ([]Message, error) {
	diff, err := expertmap.Diff(p.proposal.BaseMap, p.proposal.Map)
	if err != nil {
		return nil, err
	}
	changes, err := expertmap.SlotChanges(p.proposal.BaseMap, p.proposal.Map)
	if err != nil {
		return nil, err
	}
	loads := diff.LoadsPerRank(len(p.proposal.Record.Ranks))
	digest := p.proposal.Map.Digest()
	list := make([]Message, len(loads))
	for rank, n := range loads {
		m := Message{
			Kind: Prepare, Number: p.number, Base: p.proposal.Base, Digest: digest, ExpertBytes: p.proposal.ExpertBytes,
			Incarnation: host.Incarnation(p.tally.incarnations[rank]),
			Rate:        max(1, int64(float64(p.proposal.StoreRate)*float64(max(n, 1))/float64(max(len(diff.Loads), 1)))),
			Changes:     changes,
		}
		if p.needMap[rank] || len(changes) > MaxChanges {
			m.Changes, m.Map = nil, p.proposal.Map
		}
		list[rank] = m
	}
	return list, nil
}

// progress enters the next phase when the votes allow it.
func (p *Proposer) progress(now time.Time) {
	if p.phase == awaitingLoads || p.phase == awaitingPromises {
		if v := p.tally.outcome(); v != Unseen {
			p.decide(now, v, p.tally.reason())
			return
		}
	}
	n := len(p.tally.votes)
	switch p.phase {
	case awaitingLoads:
		if p.tally.count(Loaded, Loaded) == n {
			p.askPromises(now)
		}
	case sendingOutcome:
		if p.outcome == Refused && p.tally.count(Refused, Refused) == n {
			p.phase = idle
		}
		if p.outcome == Committed && p.tally.finished() {
			p.phaseUntil = now.Add(p.proposal.Patience)
			p.enter(now, sendingFinished)
		}
	case sendingFinished:
		if p.tally.count(Finished, Finished) == n {
			p.phase = idle
		}
	}
}

// askPromises chooses the switch step, far enough ahead that all ranks know the
// outcome before the engines reach it.
func (p *Proposer) askPromises(now time.Time) {
	var next uint64
	for _, n := range p.tally.next {
		next = max(next, n)
	}
	p.switchStep = next + uint64(p.proposal.Lead/p.proposal.StepTime) + 1
	p.phaseUntil = now.Add(p.proposal.Lead)
	p.enter(now, awaitingPromises)
}

func (p *Proposer) promiseMessage(now time.Time) Message {
	return Message{Kind: Promise, Number: p.number, Step: p.switchStep, Remaining: max(p.phaseUntil.Sub(now), 0)}
}

func (p *Proposer) committedMessage() Message {
	return Message{Kind: Outcome, Number: p.number, Vote: Committed, Step: p.switchStep}
}

// decide records the outcome that follows from the votes, or refuses a switch that
// no rank can have promised.
func (p *Proposer) decide(now time.Time, v Vote, why Reason) {
	p.outcome = v
	p.phaseUntil = now.Add(p.proposal.Patience)
	p.out = append(p.out, Action{Kind: Ended, Vote: v, Reason: why, Record: Record{
		Name: p.proposal.Record.Name, Epoch: p.proposal.Record.Epoch, Fence: p.proposal.Fence,
		Number: p.number, Ranks: p.proposal.Record.Ranks, Map: p.proposal.Map,
	}})
	p.enter(now, sendingOutcome)
}

// end ends a proposal that no rank has received.
func (p *Proposer) end(v Vote, why Reason) {
	p.phase = idle
	p.out = append(p.out, Action{Kind: Ended, Vote: v, Reason: why})
}

func (p *Proposer) send(to host.Name, m Message) {
	m.Group = p.proposal.Record.Name
	m.Epoch = p.proposal.Record.Epoch
	p.out = append(p.out, Action{Kind: Send, To: to, Message: m})
}
