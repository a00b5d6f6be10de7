package group

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/order"
	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// startRecovery begins to find out what an earlier incarnation of the sidecar has
// ordered.
func (s *Switch) startRecovery(now time.Time) {
	s.askAt = now
	if s.cfg.Engine.ReadsBack {
		s.phase = reading
		return
	}
	s.becomeUnsure(now)
}

// becomeUnsure begins to ask the other ranks, because the engine can't report its
// state.
func (s *Switch) becomeUnsure(now time.Time) {
	s.phase = unsure
	s.open = nil
	s.mayHoldMore = true
	s.unsureSince = now
	s.askAt = now
	s.unsureRanks = make([]bool, len(s.record.Ranks))
	s.unsureRanks[s.rank] = true
}

func (s *Switch) requestReadBack(now time.Time) {
	if now.Before(s.askAt) {
		return
	}
	s.askAt = now.Add(s.cfg.Resend)
	s.emit(Action{Kind: ReadEngine})
}

// readBack handles the engine's state.
func (s *Switch) readBack(now time.Time, st order.State) {
	switch {
	case s.phase == reading && !st.Known:
		s.becomeUnsure(now)
	case s.phase == reading:
		s.recover(now, st)
	case s.phase == settled && st.Known:
		s.verify(now, st)
	}
}

// recover restores the rank's state, with the open switch, from the engine's.
func (s *Switch) recover(now time.Time, st order.State) {
	s.fence = max(s.fence, st.Fence)
	s.held = weights{}
	s.held.add(st.Held)
	s.next = st.Next
	if st.Epoch > s.record.Epoch {
		return // the record is out of date; a newer one will arrive
	}
	if st.Epoch < s.record.Epoch {
		s.requestEpoch(now, "engine of %s is not in epoch %d", s.cfg.Self, s.record.Epoch)
		return
	}
	s.phase = settled
	s.activeNumber = Number(st.Map)
	if s.activeNumber == s.record.Number {
		s.activeMap = s.record.Map
	}
	s.floor = max(s.activeNumber, Number(st.Prepared))
	s.closeOpen(now.Add(s.cfg.Keep))
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
		// The limit is ordered before the promise is sent. So with a limit a
		// promise may have been sent, and without one none was.
		o.step = st.Limit
		o.enter(now, promised)
	case st.Prepared != 0:
		o.enter(now, cancelling)
	case st.Limit != 0:
		o.enter(now, releasing)
	case s.activeNumber != 0:
		// Other ranks may wait for this rank's report that its engine has begun
		// the step of the last switch.
		o.number = s.activeNumber
		o.enter(now, passed)
	}
	return o
}

// verify compares the engine's state with that of a settled rank.
func (s *Switch) verify(now time.Time, st order.State) {
	if s.pendingOrder.Kind != 0 {
		s.stepped(now, st.Next) // the pending order may have changed the rest of the state
		return
	}
	if st.Epoch < s.record.Epoch {
		s.requestEpoch(now, "engine of %s has left epoch %d", s.cfg.Self, s.record.Epoch)
		return
	}
	fresh := st.Next >= s.next
	s.stepped(now, st.Next)
	if s.open == nil && fresh && Number(st.Map) != s.activeNumber {
		s.violate("engine uses map %d, the group map %d", st.Map, s.activeNumber)
		s.requestEpoch(now, "engine of %s uses map %d", s.cfg.Self, st.Map)
		return
	}
	if s.open != nil || (st.Limit == 0 && st.Prepared == 0) {
		return
	}
	// An order of the sidecar's earlier incarnation took effect after the engine
	// was read. It belongs to no switch, and the group would stop at the limit for
	// good.
	s.floor = max(s.floor, Number(st.Prepared))
	s.cleanUp(now)
}

// cleanUp makes the engine forget a prepared map and a limit that no switch needs.
// The open entry for this has no number: with the number of a switch that has
// ended, a late message about that switch would seem to contradict it.
func (s *Switch) cleanUp(now time.Time) {
	s.open = &open{}
	s.open.enter(now, cancelling)
}

// receivedUnsure answers a message while the rank is unsure. An outcome doesn't
// show which map is active, so the rank asks the others for it.
func (s *Switch) receivedUnsure(now time.Time, from host.Name, m Message) {
	if m.Kind == Outcome {
		s.askAt = now
		return
	}
	s.report(from, m.Number, "")
}

// askOthers asks all other ranks for their state.
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
	for _, u := range s.unsureRanks {
		all = all && u
	}
	if all || now.Sub(s.unsureSince) >= s.cfg.ReformAfter {
		s.requestEpoch(now, "no rank can tell %s what its engine was ordered", s.cfg.Self)
	}
}

// receivedReportUnsure handles another rank's report while this rank doesn't know
// what it had promised.
func (s *Switch) receivedReportUnsure(now time.Time, rank int, m Message) {
	if m.Reason == StaleEpoch {
		// The report answers a query of an older epoch and has no state of its
		// sender. Treated as a report of a rank without an open switch, it would
		// make this rank lift a limit that it had promised to keep.
		return
	}
	s.unsureRanks[rank] = m.OpenVote == Unsure
	s.fence = max(s.fence, m.Fence)
	switch {
	case m.OpenVote == Unsure:
	case m.Open == 0 && m.ActiveNumber != 0:
		// No rank promises before all have loaded, and a rank that has promised
		// knows the outcome before it closes a switch. So a switch that this rank
		// had promised is not open anywhere.
		s.adopt(now, m.Floor, Refused, 0, m.ActiveNumber)
	case m.OpenVote == Refused:
		s.adopt(now, m.Open, Refused, 0, m.ActiveNumber)
	case m.OpenVote == Committed:
		s.adopt(now, m.Open, Committed, m.Step, m.ActiveNumber)
	case m.OpenVote == Passed:
		s.adopt(now, m.Open, Committed, m.Step, 0)
	case m.OpenVote == Promised:
		s.requestEpochIfUndecided(now, m)
	}
}

// requestEpochIfUndecided asks for a new epoch if the other ranks can't find the outcome
// without this rank's vote.
func (s *Switch) requestEpochIfUndecided(now time.Time, m Message) {
	if now.Sub(s.unsureSince) >= s.cfg.Wait+s.cfg.Turn {
		s.requestEpoch(now, "%s can't tell whether it had promised switch %d", s.cfg.Self, m.Open)
	}
}

// adopt acts on the outcome that another rank knows. The orders that follow from it
// are given again, though the engine may have carried them out already.
func (s *Switch) adopt(now time.Time, n Number, v Vote, step uint64, activeNumber Number) {
	s.phase = settled
	s.unsureRanks = nil
	s.activeNumber = max(s.activeNumber, activeNumber)
	s.floor = max(s.floor, n, s.activeNumber)
	if s.activeNumber == s.record.Number {
		s.activeMap = s.record.Map
		s.held.add(needs(s.activeMap, s.rank))
	}
	if v == Refused {
		s.cleanUp(now)
		return
	}
	s.open = &open{number: n, adopted: true, step: step}
	s.open.enter(now, switching)
}
