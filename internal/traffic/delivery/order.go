package delivery

import (
	"strconv"
	"sync/atomic"

	"wagtailshelf.example/wagtailshelf/internal/wire/upstream"
)

// order decides which events follow those that a caller has. Events have rising numbers as their IDs.
type order struct {
	last     uint64 // number of the last event
	lastID   string // as the target wrote it; "" if the caller has no event with a number
	sent     bool   // the caller was sent an event of an earlier or the current run
	joint    bool   // the next event is the first of a run that goes on after lastID
	dense    bool   // the numbers of the events that were sent rose by one each
	expected bool   // an event that follows the last one had begun
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
func (o *order) startRun() { o.joint = o.lastID != "" }

// admit takes the next event of a run, unless it is out of order. An event without data and number, a
// comment for example, may stand anywhere.
func (o *order) admit(ev upstream.Event) error {
	if !ev.HasData && ev.ID == "" {
		return nil
	}
	n, numbered := parseNumber(ev.ID)
	switch {
	case o.joint && !numbered:
		return ErrOutOfOrder
	case numbered && o.lastID != "" && n <= o.last:
		return ErrOutOfOrder
	case o.joint && o.sent && o.dense && n != o.last+1:
		// Events of a stream whose numbers have risen by one are missing. Where they rise in other
		// steps, or the caller has not said what came before, nobody can tell.
		return ErrOutOfOrder
	}
	if numbered {
		o.dense = o.lastID == "" || (o.dense || !o.sent) && n == o.last+1
		o.last, o.lastID = n, ev.ID
	}
	o.lost.Store(!numbered)
	o.sent, o.joint, o.expected = true, false, false
	return nil
}

// parseNumber returns the number of an event by its ID.
func parseNumber(id string) (n uint64, ok bool) {
	n, err := strconv.ParseUint(id, 10, 64)
	return n, err == nil
}
