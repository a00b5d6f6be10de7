package group

import (
	"fmt"
	"math/bits"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// tally counts the votes of the ranks on one switch.
type tally struct {
	votes   []Vote
	lives   []uint64 // the sidecar's incarnation in the last report
	next    []uint64
	reasons []Reason
	step    uint64 // as promised
}

func newTally(ranks int) *tally {
	return &tally{
		votes: make([]Vote, ranks), lives: make([]uint64, ranks),
		next: make([]uint64, ranks), reasons: make([]Reason, ranks),
	}
}

// add takes in a vote. It returns a text if the votes contradict each other.
func (t *tally) add(rank int, m Message) string {
	was := t.votes[rank]
	if late(was, m.Vote) {
		return "" // messages can overtake each other
	}
	t.votes[rank] = m.Vote
	t.lives[rank] = uint64(m.Incarnation)
	t.next[rank] = max(t.next[rank], m.Next)
	if m.Reason != "" {
		t.reasons[rank] = m.Reason
	}
	if m.Vote == Promised || m.Vote == Committed {
		if t.step != 0 && m.Step != t.step {
			return fmt.Sprintf("rank %d promised step %d of switch %d, another rank step %d", rank, m.Step, m.Number, t.step)
		}
		t.step = m.Step
	}
	if t.has(Refused) && t.hasCommitted() {
		return fmt.Sprintf("switch %d is committed and refused", m.Number)
	}
	return ""
}

// late tells whether a report was sent before one that has arrived.
func late(was, is Vote) bool {
	if was == Unsure || is == Unsure {
		return false
	}
	return is < was
}

func (t *tally) has(v Vote) bool {
	return t.count(v, v) > 0
}

// count returns the number of votes from one to another.
func (t *tally) count(from, to Vote) int {
	n := 0
	for _, v := range t.votes {
		if v >= from && v <= to {
			n++
		}
	}
	return n
}

func (t *tally) hasCommitted() bool {
	return t.count(Committed, Finished) > 0
}

// outcome returns Refused, Committed or, as long as the votes don't tell, Unseen.
func (t *tally) outcome() Vote {
	switch {
	case t.has(Refused):
		return Refused
	case t.hasCommitted(), t.count(Promised, Promised) == len(t.votes):
		return Committed
	}
	return Unseen
}

// undecidable tells whether every rank has spoken and the outcome hangs on a
// rank that can't tell what it had promised.
func (t *tally) undecidable() bool {
	return t.has(Unsure) && t.count(Promised, Promised)+t.count(Unsure, Unsure) == len(t.votes)
}

// finished tells whether all ranks have begun the step with the new map.
func (t *tally) finished() bool {
	return t.has(Finished) || t.count(Passed, Passed) == len(t.votes)
}

// reason returns the first reason for a refusal.
func (t *tally) reason() Reason {
	for rank, v := range t.votes {
		if v == Refused && t.reasons[rank] != "" {
			return t.reasons[rank]
		}
	}
	return ""
}

// turn returns when this rank begins to ask the others, if it hears nothing. The
// first turn belongs to one rank, the second to one more, then two, four: if the
// planner has died, one asker tells all, and if that one has died too, few ask.
func (s *Switch) turn(now time.Time) time.Time {
	n := len(s.record.Ranks)
	place := (s.rank + n - int(uint64(s.open.number)%uint64(n))) % n
	return now.Add(s.cfg.Wait + time.Duration(bits.Len(uint(place)))*s.cfg.Turn)
}

// collect asks the other ranks when the outcome, or the end, is overdue.
func (s *Switch) collect(now time.Time) {
	o := s.open
	if o == nil || !o.collects() {
		return
	}
	if o.askAt.IsZero() {
		o.askAt = s.turn(now)
	}
	if now.Before(o.askAt) {
		return
	}
	if o.asked.IsZero() {
		o.asked = now
		o.tally = newTally(len(s.record.Ranks))
	}
	o.askAt = now.Add(s.cfg.Resend)
	o.tally.add(s.rank, Message{Number: o.number, Vote: o.vote(), Step: o.step, Next: s.next})
	for rank, name := range s.record.Ranks {
		if rank != s.rank && !o.settledBy(o.tally.votes[rank]) {
			s.send(name, Message{Kind: Ask, Number: o.number, Final: o.stage == promised})
		}
	}
	s.conclude(now)
	if s.open == o && o.stage == promised && now.Sub(o.asked) >= s.cfg.DeadAfter {
		s.reform(now, "switch %d has no outcome: rank %d does not answer", o.number, o.tally.missing())
	}
}

// settledBy tells whether a vote needs no further question.
func (o *open) settledBy(v Vote) bool {
	if o.stage == promised {
		return v == Promised
	}
	return v == Passed
}

// missing returns the first rank that has not voted.
func (t *tally) missing() int {
	for rank, v := range t.votes {
		if v < Promised {
			return rank
		}
	}
	return -1
}

// reported takes in another rank's report.
func (s *Switch) reported(now time.Time, from host.Name, m Message) {
	rank := s.record.RankOf(from)
	if rank < 0 || rank == s.rank {
		return
	}
	if s.phase == unsure {
		s.heard(now, rank, m)
		return
	}
	o := s.open
	if o == nil || o.number != m.Number || o.asked.IsZero() || !o.collects() {
		return
	}
	if text := o.tally.add(rank, m); text != "" {
		s.violate("%s", text)
		return
	}
	s.conclude(now)
}

// conclude acts on the votes collected, and tells the others.
func (s *Switch) conclude(now time.Time) {
	o := s.open
	if o.stage == passed {
		if o.tally.finished() {
			s.announce(o, Finished)
			s.finish(now)
		}
		return
	}
	switch o.tally.outcome() {
	case Refused:
		s.announce(o, Refused)
		s.refusedByOther(now)
	case Committed:
		s.announce(o, Committed)
		s.commit(now, o.tally.step)
	case Unseen:
		if o.tally.undecidable() {
			s.reform(now, "switch %d: a restarted rank can't tell whether it had promised", o.number)
		}
	}
}

func (s *Switch) announce(o *open, v Vote) {
	for rank, name := range s.record.Ranks {
		if rank != s.rank {
			s.send(name, Message{Kind: Outcome, Number: o.number, Vote: v, Step: o.step})
		}
	}
}
