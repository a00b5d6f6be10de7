package planner

import (
	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/expert/group"
)

// follower knows which map is in force from the messages of the group's switch
// that reach this host's rank.
//
// The record in the platform is written after a switch, by the planner that led
// it. If that one dies in between, the record is behind, every map planned from it
// is refused, and nobody would ever write a newer one. Whoever takes over has
// followed the switch at its own rank, so it plans from the map in force and
// brings the record up to date.
type follower struct {
	epoch    uint64
	number   group.Number
	m        *expertmap.Map // in force; nil if not known
	offered  group.Number
	proposed *expertmap.Map
}

// take learns from a message. It is not told by whom a message was sent: a map
// counts only if its digest is the proposed one, and a vote only if it says that
// all ranks had promised.
func (f *follower) take(m group.Message) {
	switch m.Kind {
	case group.Announce:
		f.formed(m.Record)
	case group.Prepare:
		f.prepare(m)
	case group.Outcome, group.Report:
		f.outcome(m)
	}
}

func (f *follower) formed(r *group.Record) {
	if r == nil || r.Epoch <= f.epoch {
		return
	}
	*f = follower{epoch: r.Epoch, number: r.Number, m: r.Map}
}

func (f *follower) prepare(m group.Message) {
	if m.Epoch != f.epoch || m.Number <= f.number {
		return
	}
	to := m.Map
	if to == nil {
		to = f.applied(m)
	}
	if to == nil || to.Digest() != m.Digest {
		return
	}
	f.offered, f.proposed = m.Number, to
}

// applied is the map that a message describes by its changes, or nil if they are
// changes to another map than the one known.
func (f *follower) applied(m group.Message) *expertmap.Map {
	if f.m == nil || m.Base != f.number {
		return nil
	}
	to, err := f.m.Apply(m.Changes)
	if err != nil {
		return nil
	}
	return to
}

func (f *follower) outcome(m group.Message) {
	if m.Epoch != f.epoch || f.proposed == nil {
		return
	}
	done := m.Vote == group.Committed || m.Vote == group.Passed || m.Vote == group.Finished
	if (done && m.Number == f.offered) || m.InForce == f.offered {
		f.number, f.m = f.offered, f.proposed
		f.proposed = nil
	}
}

// newer tells whether a map later than number is known to be in force in an epoch.
func (f *follower) newer(epoch uint64, number group.Number) bool {
	return f.m != nil && f.epoch == epoch && f.number > number
}
