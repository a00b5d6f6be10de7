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
	numbers   int    // events of the current run with a number
	gap       bool   // the current run has had a gap
	sparse    bool   // gaps are the service's way of numbering, as of that gap
	partial   bool   // a run was cut within the event that follows
	// unnumbered is set if the last event had no number: no other run can go on after it.
	unnumbered atomic.Bool
}

// startAfter sets the event after which the caller asks a stream to go on. An ID that is no number is
// left to the targets.
func (o *order) startAfter(id string) {
	if n, ok := parseNumber(id); ok {
		o.last, o.lastID = n, id
	}
}

// startRun prepares for the first event of a run.
func (o *order) startRun() { o.joint, o.numbers, o.gap, o.sparse = o.lastID != "", 0, false, false }

// admit takes the next event of a run, unless it is out of order. A neutral one may stand anywhere.
func (o *order) admit(ev upstream.Event) error {
	if ev.Neutral {
		return nil
	}
	n, numbered := parseNumber(ev.ID)
	switch {
	case !numbered && o.joint:
		return ErrOutOfOrder
	case numbered && o.lastID != "" && n <= o.last:
		return ErrOutOfOrder
	case numbered && n > o.last+1 && !o.unnumbered.Load() && !o.gapAllowed():
		return ErrOutOfOrder
	}
	if numbered {
		o.last, o.lastID = n, ev.ID
		o.countNumber()
	}
	o.unnumbered.Store(!numbered)
	o.joint, o.partial = false, false
	return nil
}

// countNumber counts an event with a number. From its second one on, a run without a gap says how its
// service numbers.
func (o *order) countNumber() {
	o.numbers++
	if o.numbers == 2 && !o.gap {
		o.numbering.note(false)
	}
}

// gapAllowed reports whether a gap in the numbers of the current run does not mean that an event is missing.
func (o *order) gapAllowed() bool {
	if !o.gap {
		o.sparse, o.gap = o.numbering.note(true), true
	}
	return o.sparse
}

// parseNumber returns the number of an event by its ID.
func parseNumber(id string) (n uint64, ok bool) {
	n, err := strconv.ParseUint(id, 10, 64)
	return n, err == nil
}
