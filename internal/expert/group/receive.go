package group

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// received handles a message. No message is answered before the engine's state has
// been read: an answer from a sidecar that has forgotten its votes could contradict
// them.
func (s *Switch) received(now time.Time, from host.Name, m Message) {
	if m.Check() != nil {
		return
	}
	if m.Kind == Announce {
		s.announced(now, m.Record)
		return
	}
	if s.phase == unformed || s.phase == reading || m.Group != s.record.Name {
		return
	}
	if m.Epoch != s.record.Epoch {
		s.otherEpoch(from, m)
		return
	}
	switch {
	case m.Kind == Report:
		s.receivedReport(now, from, m)
	case s.phase == unsure:
		s.receivedUnsure(now, from, m)
	case s.phase == settled:
		s.receivedSettled(now, from, m)
	}
}

// announced handles a record from a keeper. The keeper has written it to the
// platform first, so there is no other record of the same epoch.
func (s *Switch) announced(now time.Time, r *Record) {
	if r.Name == s.cfg.Group {
		s.formed(now, r)
	}
}

// otherEpoch informs a sender of an older epoch that the epoch is stale. A rank
// that is itself behind sends nothing until it has the newer record.
func (s *Switch) otherEpoch(from host.Name, m Message) {
	if m.Epoch < s.record.Epoch && m.Kind != Report && m.Kind != Outcome {
		s.send(from, Message{Kind: Report, Number: m.Number, Vote: Refused, Reason: StaleEpoch, Incarnation: s.cfg.Incarnation})
	}
}

func (s *Switch) receivedSettled(now time.Time, from host.Name, m Message) {
	switch m.Kind {
	case Ask:
		if m.Final {
			s.askedToEnd(now, m.Number)
		}
		s.report(from, m.Number, "")
	case Prepare:
		s.prepare(now, from, m)
	case Promise:
		s.promise(now, from, m)
	case Outcome:
		s.outcome(now, m)
		s.report(from, m.Number, "")
	}
}

// voteOn returns the rank's vote on a switch.
func (s *Switch) voteOn(n Number) Vote {
	switch {
	case n == 0:
		return Unseen
	case s.phase == unsure:
		return Unsure
	case n == s.activeNumber && (s.open == nil || s.open.stage != passed || s.open.number != n):
		return Finished
	case s.open != nil && s.open.number == n:
		return s.open.vote()
	case n <= s.floor:
		return Refused
	}
	return Unseen
}

// report sends the rank's vote on a switch, and the rank's state.
func (s *Switch) report(to host.Name, n Number, why Reason) {
	if to == "" {
		return
	}
	m := Message{
		Kind: Report, Number: n, Vote: s.voteOn(n), Reason: why, Incarnation: s.cfg.Incarnation,
		Next: s.next, ActiveNumber: s.activeNumber, Floor: max(s.floor, s.activeNumber), Fence: s.fence, Step: s.activeSince,
		NeedsMap: s.activeMap == nil,
	}
	if s.open != nil {
		m.Open, m.OpenVote = s.open.number, s.open.vote()
		m.Step = s.open.step
	}
	if s.phase == unsure {
		m.OpenVote = Unsure
	}
	s.send(to, m)
}

// askedToEnd refuses a switch for good unless this rank has promised it, because a
// rank that has promised can't go on without the outcome.
func (s *Switch) askedToEnd(now time.Time, n Number) {
	if s.open != nil && s.open.number == n {
		if s.open.undecided() {
			s.refuse(now, AskedToEnd)
		}
		return
	}
	if n != s.activeNumber {
		s.floor = max(s.floor, n)
	}
}

// refuse refuses the open switch for good and reports that to the planner.
func (s *Switch) refuse(now time.Time, why Reason) {
	o := s.open
	s.floor = max(s.floor, o.number)
	o.enter(now, cancelling)
	s.dropAt = now.Add(s.cfg.Keep)
	s.report(o.proposer, o.number, why)
}

func (s *Switch) prepare(now time.Time, from host.Name, m Message) {
	if s.voteOn(m.Number) != Unseen {
		s.report(from, m.Number, StaleNumber)
		return
	}
	s.learnFence(now, m.Number.Fence())
	next, why := s.proposed(m)
	if why != "" {
		s.floor = max(s.floor, m.Number)
		s.report(from, m.Number, why)
		return
	}
	if s.open != nil {
		if s.open.undecided() && s.open.number < m.Number {
			s.refuse(now, Superseded)
		}
		// This is not a refusal: the planner repeats the proposal, and the rank
		// accepts it once the open switch has ended here.
		s.report(from, m.Number, Busy)
		return
	}
	s.floor = max(s.floor, m.Number)
	s.open = &open{
		number:   m.Number,
		newMap:   next,
		proposer: from,
		load:     s.loadingOf(next, m.Rate, m.ExpertBytes),
		refuseAt: now.Add(m.Remaining),
	}
	s.open.enter(now, loadingWeights)
	if len(s.open.load.remaining) == 0 {
		s.open.enter(now, preparing)
	}
	s.report(from, m.Number, "")
}

// proposed returns the proposed map, or the reason why the rank refuses it.
func (s *Switch) proposed(m Message) (*expertmap.Map, Reason) {
	if m.Incarnation != s.cfg.Incarnation {
		// The proposal was made to an earlier incarnation of this sidecar, which
		// may have refused it. If this one promised, two ranks could see
		// different outcomes.
		return nil, OtherIncarnation
	}
	if m.Number.Fence() < s.fence {
		return nil, StaleNumber
	}
	next := m.Map
	if next == nil {
		if s.activeMap == nil || m.Base != s.activeNumber {
			return nil, BaseUnknown
		}
		applied, err := s.activeMap.Apply(m.Changes)
		if err != nil {
			return nil, MapInvalid
		}
		next = applied
	}
	if next.Shape() != s.record.Map.Shape() || next.Digest() != m.Digest || len(next.Problems()) > 0 {
		return nil, MapInvalid
	}
	return next, ""
}

func (s *Switch) promise(now time.Time, from host.Name, m Message) {
	o := s.open
	if o == nil || o.number != m.Number {
		if s.voteOn(m.Number) == Unseen {
			s.floor = max(s.floor, m.Number)
		}
		s.report(from, m.Number, NotPrepared)
		return
	}
	switch {
	case o.stage == loaded:
		o.step = m.Step
		o.refuseAt = now.Add(max(m.Remaining, s.cfg.Resend))
		o.enter(now, promising)
		if s.next > o.step {
			s.refuse(now, StepBegun)
		}
	case o.step != 0 && o.step != m.Step:
		// Promises for different steps must not lead to a commit.
		s.violate("promise of switch %d asked for at step %d, then %d", m.Number, o.step, m.Step)
	default:
		s.report(from, m.Number, "")
	}
}

// outcome handles the outcome of a switch from a rank or planner that knows it.
func (s *Switch) outcome(now time.Time, m Message) {
	o := s.open
	if o == nil || o.number != m.Number {
		if s.voteOn(m.Number) == Unseen && m.Vote == Refused {
			s.floor = max(s.floor, m.Number)
		}
		return
	}
	switch m.Vote {
	case Refused:
		s.refusedByOther(now)
	case Committed:
		s.commit(now, m.Step)
	case Finished:
		if o.stage == passed {
			s.finish(now)
		}
	}
}

func (s *Switch) refusedByOther(now time.Time) {
	o := s.open
	switch o.vote() {
	case Committed, Passed:
		s.violate("switch %d is refused by another rank and committed here", o.number)
	case Refused:
	default:
		s.floor = max(s.floor, o.number)
		o.enter(now, cancelling)
		s.dropAt = now.Add(s.cfg.Keep)
	}
}

func (s *Switch) commit(now time.Time, step uint64) {
	o := s.open
	switch o.vote() {
	case Promised:
		if step != 0 && step != o.step {
			s.violate("switch %d is committed at step %d and promised for %d", o.number, step, o.step)
			return
		}
		if o.newMap != nil && !s.holdsAll(o.newMap) {
			s.violate("switch %d is committed without its weights", o.number)
			return
		}
		o.enter(now, switching)
	case Committed, Passed:
	default:
		s.violate("switch %d is committed without this rank's promise (%v)", o.number, o.vote())
	}
}

func (s *Switch) holdsAll(m *expertmap.Map) bool {
	for _, p := range needs(m, s.rank) {
		if _, ok := s.held[p]; !ok {
			return false
		}
	}
	return true
}

// finish ends the switch on this rank: all ranks have begun the step, so no rank
// needs the old map's weights any more.
func (s *Switch) finish(now time.Time) {
	s.closeOpen(now)
}

// expire refuses a switch that the rank has not promised in time.
func (s *Switch) expire(now time.Time) {
	o := s.open
	if o != nil && o.stage <= promising && !now.Before(o.refuseAt) {
		s.refuse(now, LoadingTooLong)
	}
}
