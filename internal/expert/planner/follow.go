package planner

import (
	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/expert/group"
)

// switchObserver derives the active map from the messages of map switches that this
// host's rank and planner receive.
//
// The planner that leads a switch writes the group's record afterwards. If it dies
// in between, the record is outdated, the ranks refuse every map that is planned
// from it, and no process would ever write a newer record. The next lease holder has
// observed the switch through its own rank, so it plans from the active map and
// updates the record.
type switchObserver struct {
	epoch          uint64
	number         group.Number
	m              *expertmap.Map // the active map; nil if not known
	proposedNumber group.Number
	proposedMap    *expertmap.Map
}

// observe updates the view of the active map from a message. It doesn't need to know
// the sender: a map counts only if it has the proposed digest, and a vote only if it
// implies that all ranks have promised.
func (o *switchObserver) observe(m group.Message) {
	switch m.Kind {
	case group.Announce:
		o.announce(m.Record)
	case group.Prepare:
		o.prepare(m)
	case group.Outcome, group.Report:
		o.outcome(m)
	}
}

// announce handles the record of a group that has formed under a new epoch.
func (o *switchObserver) announce(r *group.Record) {
	if r == nil || r.Epoch <= o.epoch {
		return
	}
	*o = switchObserver{epoch: r.Epoch, number: r.Number, m: r.Map}
}

// prepare stores a proposed map if its content matches the digest.
func (o *switchObserver) prepare(m group.Message) {
	if m.Epoch != o.epoch || m.Number <= o.number {
		return
	}
	to := m.Map
	if to == nil {
		to = o.applyChanges(m)
	}
	if to == nil || to.Digest() != m.Digest {
		return
	}
	o.proposedNumber, o.proposedMap = m.Number, to
}

// applyChanges returns the map that a message describes by its changes, or nil if
// they are changes to another map than the known one.
func (o *switchObserver) applyChanges(m group.Message) *expertmap.Map {
	if o.m == nil || m.Base != o.number {
		return nil
	}
	to, err := o.m.Apply(m.Changes)
	if err != nil {
		return nil
	}
	return to
}

// outcome marks the proposed map as active if the message shows that it is.
func (o *switchObserver) outcome(m group.Message) {
	if m.Epoch != o.epoch || o.proposedMap == nil {
		return
	}
	committed := m.Vote == group.Committed || m.Vote == group.Passed || m.Vote == group.Finished
	if (committed && m.Number == o.proposedNumber) || m.ActiveNumber == o.proposedNumber {
		o.number, o.m = o.proposedNumber, o.proposedMap
		o.proposedMap = nil
	}
}

// newer reports whether the active map is known for the epoch and has a higher number.
func (o *switchObserver) newer(epoch uint64, number group.Number) bool {
	return o.m != nil && o.epoch == epoch && o.number > number
}
