package group

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/order"
	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// begin starts to find out what an earlier life of the sidecar has ordered.
func (s *Switch) begin(now time.Time) {
	s.askAt = now
	if s.cfg.Engine.ReadsBack {
		s.phase = reading
		return
	}
	s.doubt(now)
}

// doubt begins to ask the other ranks, because the engine can't tell.
func (s *Switch) doubt(now time.Time) {
	s.phase = unsure
	s.open = nil
	s.heldMore = true
	s.since = now
	s.askAt = now
	s.unsures = make([]bool, len(s.record.Ranks))
	s.unsures[s.rank] = true
}

func (s *Switch) readAgain(now time.Time) {
	if now.Before(s.askAt) {
		return
	}
	s.askAt = now.Add(s.cfg.Resend)
	s.emit(Action{Kind: Read})
}

// readBack takes in what the engine tells of its orders.
func (s *Switch) readBack(now time.Time, st order.State) {
	switch {
	case s.phase == reading && !st.Known:
		s.doubt(now)
	case s.phase == reading:
		s.recover(now, st)
	case s.phase == settled && st.Known:
		s.verify(now, st)
	}
}

// recover takes up the switch that the engine's orders tell of.
func (s *Switch) recover(now time.Time, st order.State) {
	s.fence = max(s.fence, st.Fence)
	s.held = weights{}
	s.held.add(st.Held)
	s.next = st.Next
	if st.Epoch > s.record.Epoch {
		return // the record is behind; a newer one will come
	}
	if st.Epoch < s.record.Epoch {
		s.reform(now, "engine of %s is not in epoch %d", s.cfg.Self, s.record.Epoch)
		return
	}
	s.phase = settled
	s.inForce = Number(st.Map)
	if s.inForce == s.record.Number {
		s.current = s.record.Map
	}
	s.floor = max(s.inForce, Number(st.Prepared))
	s.closeAt(now.Add(s.cfg.Keep))
	if o := s.recoverOpen(now, st); o.stage != 0 {
		s.open = o
	}
}

func (s *Switch) recoverOpen(now time.Time, st order.State) *open {
	o := &open{number: Number(st.Prepared)}
	switch {
	case st.Prepared != 0 && st.Switch != 0:
		o.step = st.Switch
		o.enter(now, lifting)
	case st.Prepared != 0 && st.Limit != 0:
		// The limit was ordered before the promise was sent, so a promise may
		// have been sent, and none can have been sent without it.
		o.step = st.Limit
		o.enter(now, promised)
	case st.Prepared != 0:
		o.enter(now, cancelling)
	case st.Limit != 0:
		o.enter(now, releasing)
	case s.inForce != 0:
		// Others may wait to hear that this rank has begun the last switch.
		o.number = s.inForce
		o.enter(now, passed)
	}
	return o
}

// verify compares a read of a settled rank's engine with what it should be.
func (s *Switch) verify(now time.Time, st order.State) {
	if s.waiting.Kind != 0 {
		s.stepped(now, st.Next) // the rest may have changed since
		return
	}
	if st.Epoch < s.record.Epoch {
		s.reform(now, "engine of %s has left epoch %d", s.cfg.Self, s.record.Epoch)
		return
	}
	fresh := st.Next >= s.next
	s.stepped(now, st.Next)
	if s.open == nil && fresh && Number(st.Map) != s.inForce {
		s.violate("engine uses map %d, the group map %d", st.Map, s.inForce)
		s.reform(now, "engine of %s uses map %d", s.cfg.Self, st.Map)
		return
	}
	if s.open != nil || (st.Limit == 0 && st.Prepared == 0) {
		return
	}
	// An order of the sidecar's earlier life landed after the engine was read.
	// Nobody waits for it, and the group would stop at the limit for good.
	s.floor = max(s.floor, Number(st.Prepared))
	s.clean(now)
}

// clean lets the engine forget a prepared map and a limit that no switch needs.
// It stands for no switch, so it has no number: under the number of a switch that
// has ended, a late message about that one would seem to contradict it.
func (s *Switch) clean(now time.Time) {
	s.open = &open{}
	s.open.enter(now, cancelling)
}

// receivedUnsure answers as a rank that can't tell. An outcome that it hears of
// doesn't tell which map is in force, so it asks.
func (s *Switch) receivedUnsure(now time.Time, from host.Name, m Message) {
	if m.Kind == Outcome {
		s.askAt = now
		return
	}
	s.report(from, m.Number, "")
}

// askOthers asks all ranks how far they are.
func (s *Switch) askOthers(now time.Time) {
	if now.Before(s.askAt) {
		return
	}
	s.askAt = now.Add(s.cfg.Resend)
	for rank, name := range s.record.Ranks {
		if rank != s.rank {
			s.send(name, Message{Kind: Ask})
		}
	}
	all := true
	for _, u := range s.unsures {
		all = all && u
	}
	if all || now.Sub(s.since) >= s.cfg.DeadAfter {
		s.reform(now, "no rank can tell %s what its engine was ordered", s.cfg.Self)
	}
}

// heard takes in a report while this rank can't tell what it had promised.
func (s *Switch) heard(now time.Time, rank int, m Message) {
	if m.Reason == StaleEpoch {
		// It answers what this rank asked in an older epoch, and says nothing about
		// itself. Taken for a rank without an open switch, it would make this one
		// lift a limit that it had promised.
		return
	}
	s.unsures[rank] = m.OpenAt == Unsure
	s.fence = max(s.fence, m.Fence)
	switch {
	case m.OpenAt == Unsure:
	case m.Open == 0 && m.InForce != 0:
		// A rank that promises knows the outcome before it closes a switch, and
		// none promises before all have loaded. So nothing is open anywhere that
		// this rank had promised.
		s.adopt(now, m.Floor, Refused, 0, m.InForce)
	case m.OpenAt == Refused:
		s.adopt(now, m.Open, Refused, 0, m.InForce)
	case m.OpenAt == Committed:
		s.adopt(now, m.Open, Committed, m.Step, m.InForce)
	case m.OpenAt == Passed:
		s.adopt(now, m.Open, Committed, m.Step, 0)
	case m.OpenAt == Promised:
		s.undecided(now, m)
	}
}

// undecided asks for a new epoch if the rest of the group can't get on without
// this rank's vote.
func (s *Switch) undecided(now time.Time, m Message) {
	if now.Sub(s.since) >= s.cfg.Wait+s.cfg.Turn {
		s.reform(now, "%s can't tell whether it had promised switch %d", s.cfg.Self, m.Open)
	}
}

// adopt takes up the outcome that another rank knows. The orders that follow
// from it are given again: the engine may have them already.
func (s *Switch) adopt(now time.Time, n Number, v Vote, step uint64, inForce Number) {
	s.phase = settled
	s.unsures = nil
	s.inForce = max(s.inForce, inForce)
	s.floor = max(s.floor, n, s.inForce)
	if s.inForce == s.record.Number {
		s.current = s.record.Map
		s.held.add(needs(s.current, s.rank))
	}
	if v == Refused {
		s.clean(now)
		return
	}
	s.open = &open{number: n, adopted: true, step: step}
	s.open.enter(now, switching)
}
