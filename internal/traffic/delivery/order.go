package delivery

import (
	"strconv"
	"sync/atomic"

	"wagtailshelf.example/wagtailshelf/internal/wire/upstream"
)

// order decides which events follow those that a caller has. Events have rising numbers as their IDs.
type order struct {
	numbering *Numbering
	last      uint64 // number of the last event; 0 if the caller has none
	lastID    string // as the target wrote it; "" if the caller has no event with a number
	joint     bool   // the next event is the first of a run that goes on after lastID
	sparse    bool   // the current run has had a gap, and gaps are the service's way of numbering
	counted   bool   // the current run is counted in numbering
	expected  bool   // an event that follows the last one had begun
	// lost is set once an event without a number was sent: no other run can go on after it.
	lost atomic.Bool
}

// startAfter sets the event after which the caller asks a stream to go on. An ID that is no number is
// left to the targets.
func (o *order) startAfter(id string) {
	if n, ok := parseNumber(id); ok {
		o.last, o.lastID = n, id
	}
}

// startRun prepares for the first event of a run.
func (o *order) startRun() { o.joint, o.sparse, o.counted = o.lastID != "", false, false }

// endRun counts a run that has ended without a gap.
func (o *order) endRun() {
	if !o.counted && o.lastID != "" {
		o.numbering.note(false)
	}
}

// admit takes the next event of a run, unless it is out of order. An event without data and number, a
// comment for example, may stand anywhere.
func (o *order) admit(ev upstream.Event) error {
	if !ev.HasData && ev.ID == "" {
		return nil
	}
	n, numbered := parseNumber(ev.ID)
	switch {
	case !numbered && o.joint:
		return ErrOutOfOrder
	case numbered && o.lastID != "" && n <= o.last:
		return ErrOutOfOrder
	case numbered && n > o.last+1 && !o.lost.Load() && !o.gapAllowed():
		return ErrOutOfOrder
	}
	if numbered {
		o.last, o.lastID = n, ev.ID
	}
	o.lost.Store(!numbered)
	o.joint, o.expected = false, false
	return nil
}

// gapAllowed reports whether a gap in the numbers of the current run does not mean that an event is missing.
func (o *order) gapAllowed() bool {
	if !o.counted {
		o.sparse, o.counted = o.numbering.note(true), true
	}
	return o.sparse
}

// parseNumber returns the number of an event by its ID.
func parseNumber(id string) (n uint64, ok bool) {
	n, err := strconv.ParseUint(id, 10, 64)
	return n, err == nil
}
