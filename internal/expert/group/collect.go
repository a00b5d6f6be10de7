package group

import (
	"fmt"
	"math/bits"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// tally collects the votes of the ranks on one switch.
type tally struct {
	votes        []Vote
	incarnations []uint64 // incarnation of the sidecar in its last report
	next         []uint64 // first step that each engine has not begun
	reasons      []Reason
	step         uint64 // the switch step that the ranks promised; 0 if none has
}

func newTally(ranks int) *tally {
	return &tally{
		votes: make([]Vote, ranks), incarnations: make([]uint64, ranks),
		next: make([]uint64, ranks), reasons: make([]Reason, ranks),
	}
}

// add records a vote. It returns a description of the contradiction if the votes
// contradict each other, else an empty string.
func (t *tally) add(rank int, m Message) string {
	previous := t.votes[rank]
	if outdated(previous, m.Vote) {
		return "" // messages can arrive out of order
	}
	t.votes[rank] = m.Vote
	t.incarnations[rank] = uint64(m.Incarnation)
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

// outdated reports whether a vote was sent before the one that is recorded.
func outdated(previous, vote Vote) bool {
	if previous == Unsure || vote == Unsure {
		return false
	}
	return vote < previous
}

func (t *tally) has(v Vote) bool {
	return t.count(v, v) > 0
}

// count returns the number of votes between from and to, both included.
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

// outcome returns Refused, Committed or, while the votes leave it open, Unseen.
func (t *tally) outcome() Vote {
	switch {
	case t.has(Refused):
		return Refused
	case t.hasCommitted(), t.count(Promised, Promised) == len(t.votes):
		return Committed
	}
	return Unseen
}

// undecidable reports whether every rank has voted and the outcome depends on a
// rank that can't find out whether it had promised.
func (t *tally) undecidable() bool {
	return t.has(Unsure) && t.count(Promised, Promised)+t.count(Unsure, Unsure) == len(t.votes)
}

// finished reports whether all ranks have begun the step with the new map.
func (t *tally) finished() bool {
	return t.has(Finished) || t.count(Passed, Passed) == len(t.votes)
}

// reason returns the reason of the first rank that refused with one.
func (t *tally) reason() Reason {
	for rank, v := range t.votes {
		if v == Refused && t.reasons[rank] != "" {
			return t.reasons[rank]
		}
	}
	return ""
}

// firstAskAt returns when this rank begins to ask the others if it receives no
// outcome. One rank asks in the first turn, one more joins in the second, then
// two, then four: if the planner has died, one asker informs all ranks, and if
// that one has died too, few others ask.
func (s *Switch) firstAskAt(now time.Time) time.Time {
	n := len(s.record.Ranks)
	index := (s.rank + n - int(uint64(s.open.number)%uint64(n))) % n
	return now.Add(s.cfg.Wait + time.Duration(bits.Len(uint(index)))*s.cfg.Turn)
}

// collect asks the other ranks for their votes when the outcome or the end of the
// switch is overdue.
func (s *Switch) collect(now time.Time) {
	o := s.open
	if o == nil || !o.needsOtherVotes() {
		return
	}
	if o.askAt.IsZero() {
		o.askAt = s.firstAskAt(now)
	}
	if now.Before(o.askAt) {
		return
	}
	if o.askingSince.IsZero() {
		o.askingSince = now
		o.tally = newTally(len(s.record.Ranks))
	}
	o.askAt = now.Add(s.cfg.Resend)
	o.tally.add(s.rank, Message{Number: o.number, Vote: o.vote(), Step: o.step, Next: s.next})
	for rank, name := range s.record.Ranks {
		if rank != s.rank && !o.satisfiedBy(o.tally.votes[rank]) {
			s.send(name, Message{Kind: Ask, Number: o.number, Final: o.stage == promised})
		}
	}
	s.conclude(now)
	if s.open == o && o.stage == promised && now.Sub(o.askingSince) >= s.cfg.ReformAfter {
		s.requestEpoch(now, "switch %d has no outcome: rank %d does not answer", o.number, o.tally.missing())
	}
}

// satisfiedBy reports whether a rank with this vote needs no further query.
func (o *open) satisfiedBy(v Vote) bool {
	if o.stage == promised {
		return v == Promised
	}
	return v == Passed
}

// missing returns the first rank that has neither promised nor refused, or -1.
func (t *tally) missing() int {
	for rank, v := range t.votes {
		if v < Promised {
			return rank
		}
	}
	return -1
}

// receivedReport handles another rank's report.
func (s *Switch) receivedReport(now time.Time, from host.Name, m Message) {
	rank := s.record.RankOf(from)
	if rank < 0 || rank == s.rank {
		return
	}
	if s.phase == unsure {
		s.receivedReportUnsure(now, rank, m)
		return
	}
	o := s.open
	if o == nil || o.number != m.Number || o.askingSince.IsZero() || !o.needsOtherVotes() {
		return
	}
	if text := o.tally.add(rank, m); text != "" {
		s.violate("%s", text)
		return
	}
	s.conclude(now)
}

// conclude acts on the collected votes, and sends their outcome to the other
// ranks.
func (s *Switch) conclude(now time.Time) {
	o := s.open
	if o.stage == passed {
		if o.tally.finished() {
			s.sendOutcome(o, Finished)
			s.finish(now)
		}
		return
	}
	switch o.tally.outcome() {
	case Refused:
		s.sendOutcome(o, Refused)
		s.refusedByOther(now)
	case Committed:
		s.sendOutcome(o, Committed)
		s.commit(now, o.tally.step)
	case Unseen:
		if o.tally.undecidable() {
			s.requestEpoch(now, "switch %d: a restarted rank can't tell whether it had promised", o.number)
		}
	}
}

func (s *Switch) sendOutcome(o *open, v Vote) {
	for rank, name := range s.record.Ranks {
		if rank != s.rank {
			s.send(name, Message{Kind: Outcome, Number: o.number, Vote: v, Step: o.step})
		}
	}
}
