package history

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

// Bounds of an [Archive].
const (
	MaxSegments = 64 // kept of one service; older ones are deleted
	maxWaiting  = 4  // entries of one service that wait to be written with their texts
)

// Backoff after a call that failed.
const (
	minBackoff = 250 * time.Millisecond
	maxBackoff = 30 * time.Second
)

// Causes under which the archive's calls are counted.
const (
	CauseRead  object.Cause = "historyRead"
	CauseWrite object.Cause = "historyWrite"
	CauseDrop  object.Cause = "historyDrop"
)

// EventKind tells what happened.
type EventKind uint8

// The kinds of events.
const (
	Gained   EventKind = iota + 1 // this process accepts documents from now on
	Lost                          // another one may do so
	Accepted                      // Event.Entry of Event.Service is accepted, or in force as Gained comes
	Answered                      // Event.Reply is the end of a call
	Tick                          // the time of [Archive.Deadline] has come
)

// Event is an input of [Archive.Handle].
type Event struct {
	Kind    EventKind
	Service string
	Entry   Entry
	Reply   object.Reply
}

// ActionKind tells what is to be done.
type ActionKind uint8

// The kinds of actions.
const (
	Call     ActionKind = iota + 1 // make Action.Call and hand back its reply
	Archived                       // Action.Entry is in the history
	Damage                         // Action.Err says what is wrong with the stored history
)

// Action is an output of [Archive.Handle].
type Action struct {
	Kind    ActionKind
	Service string
	Call    object.Call
	Entry   Entry
	Err     error
}

// Archive decides what is written to the history of all services. It is not
// safe for use by several goroutines.
type Archive struct {
	rng     *rand.Rand
	held    bool
	shelves map[string]*shelf
	calls   map[uint64]*shelf
	lastID  uint64
	out     []Action
}

// shelf is the history of one service.
type shelf struct {
	service string
	waiting []Entry
	loaded  bool
	number  int            // of the newest segment
	version object.Version // of the newest segment; 0 if it is not stored yet
	segment *Segment       // the newest
	kept    []object.Object
	next    *Segment // being written
	asked   uint64   // call that is under way, 0 for none
	op      object.Op
	retryAt time.Time
	backoff time.Duration
}

// NewArchive returns an archive that writes nothing until it is told Gained.
func NewArchive(rng *rand.Rand) *Archive {
	return &Archive{rng: rng, shelves: make(map[string]*shelf), calls: make(map[uint64]*shelf)}
}

// Waiting returns how many entries are not in the history yet.
func (a *Archive) Waiting() int {
	n := 0
	for _, s := range a.shelves {
		n += len(s.waiting)
	}
	return n
}

// Deadline returns when the next Tick is due, or the zero time.
func (a *Archive) Deadline() time.Time {
	var next time.Time
	for _, s := range a.shelves {
		if !s.retryAt.IsZero() && (next.IsZero() || s.retryAt.Before(next)) {
			next = s.retryAt
		}
	}
	return next
}

// Handle takes in one event and returns what is to be done.
func (a *Archive) Handle(now time.Time, ev Event) []Action {
	a.out = nil
	switch ev.Kind {
	case Gained:
		a.held = true
	case Lost:
		// What is not written by now is offered again by the next holder.
		a.held = false
		clear(a.shelves)
		clear(a.calls)
	case Accepted:
		a.accepted(ev.Service, ev.Entry)
	case Answered:
		a.answered(now, ev.Reply)
	}
	for _, name := range slices.Sorted(maps.Keys(a.shelves)) {
		a.advance(now, a.shelves[name])
	}
	return a.out
}

func (a *Archive) accepted(service string, e Entry) {
	if !a.held || e.Number == 0 {
		return
	}
	s, ok := a.shelves[service]
	if !ok {
		s = &shelf{service: service}
		a.shelves[service] = s
	}
	if n := len(s.waiting); n > 0 && s.waiting[n-1].Number >= e.Number {
		return
	}
	s.waiting = append(s.waiting, e)
	if n := len(s.waiting); n > maxWaiting {
		// In a long outage nothing is accepted, so this is not reached by many
		// changes alone. What is kept of the oldest is who, when and digest.
		s.waiting[n-maxWaiting-1].Text = nil
	}
}

// advance begins the next call of a service if none is under way.
func (a *Archive) advance(now time.Time, s *shelf) {
	if s.asked != 0 || now.Before(s.retryAt) {
		return
	}
	s.retryAt = time.Time{}
	switch {
	case !s.loaded && len(s.waiting) > 0:
		a.call(s, object.Call{Op: object.List, Key: Prefix(s.service), Cause: CauseRead})
	case len(s.waiting) > 0:
		a.write(now, s)
	case len(s.kept) >= MaxSegments:
		oldest := s.kept[0]
		a.call(s, object.Call{Op: object.Delete, Key: oldest.Key, Version: oldest.Version, Cause: CauseDrop})
	}
}

// write adds all waiting entries to the newest segment, or begins a new one
// with the entry that it has no room for.
func (a *Archive) write(now time.Time, s *shelf) {
	s.skipWritten(a)
	if len(s.waiting) == 0 {
		a.advance(now, s)
		return
	}
	next := &Segment{raw: s.segment.raw, last: s.segment.last}
	added := 0
	for _, e := range s.waiting {
		if next.Add(e) != nil {
			break
		}
		added++
	}
	if added == 0 {
		s.begin()
		a.write(now, s)
		return
	}
	s.next = next
	a.call(s, object.Call{
		Op: object.Put, Key: SegmentKey(s.service, s.number),
		Version: s.version, Value: next.Encode(), Cause: CauseWrite,
	})
}

// skipWritten drops waiting entries that the history has already. Two digests
// under one number can't both have been accepted: the one that stands there
// stays, and the violation is reported.
func (s *shelf) skipWritten(a *Archive) {
	for len(s.waiting) > 0 && s.waiting[0].Number <= s.segment.last.Number {
		e := s.waiting[0]
		s.waiting = s.waiting[1:]
		if e.Number == s.segment.last.Number && e.Digest != s.segment.last.Digest {
			err := fmt.Errorf("number %d: %w: %s stands, %s was offered", e.Number, ErrTwoDigests, s.segment.last.Digest, e.Digest)
			a.out = append(a.out, Action{Kind: Damage, Service: s.service, Entry: e, Err: err})
			continue
		}
		a.out = append(a.out, Action{Kind: Archived, Service: s.service, Entry: e})
	}
}

// begin turns to a new segment. It keeps number and digest of the last entry, so that
// nothing is written twice; the first text of the new segment is whole.
func (s *shelf) begin() {
	if s.version != 0 {
		s.kept = append(s.kept, object.Object{Key: SegmentKey(s.service, s.number), Version: s.version})
	}
	s.number++
	s.version = 0
	s.segment = &Segment{last: Entry{Number: s.segment.last.Number, Digest: s.segment.last.Digest}}
}

func (a *Archive) call(s *shelf, c object.Call) {
	a.lastID++
	c.ID = a.lastID
	s.asked, s.op = c.ID, c.Op
	a.calls[c.ID] = s
	a.out = append(a.out, Action{Kind: Call, Service: s.service, Call: c})
}

func (a *Archive) answered(now time.Time, r object.Reply) {
	s := a.calls[r.ID]
	delete(a.calls, r.ID)
	if s == nil || s.asked != r.ID {
		return
	}
	s.asked = 0
	if r.Status != object.Done {
		a.failed(now, s, r)
		return
	}
	s.backoff = 0
	switch s.op {
	case object.List:
		a.load(s, r.Objects)
	case object.Put:
		s.segment, s.version = s.next, r.Object.Version
		s.skipWritten(a)
	case object.Delete:
		s.kept = s.kept[1:]
	}
}

// failed reads the history anew before the next write: whether a write without
// an answer took effect shows in the numbers that are there.
func (a *Archive) failed(now time.Time, s *shelf, r object.Reply) {
	s.loaded = false
	if s.op == object.Delete && (r.Status == object.NotFound || r.Status == object.Conflict) {
		s.kept = nil // somebody else deletes; it is seen with the next read
		return
	}
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	s.retryAt = now.Add(s.backoff/2 + time.Duration(a.rng.Int64N(int64(s.backoff))))
	if r.Status == object.Conflict {
		s.retryAt = now // it only has to be read again
	}
}

// load takes in the stored segments.
func (a *Archive) load(s *shelf, segments []object.Object) {
	s.loaded = true
	s.kept = nil
	s.number, s.version, s.segment = 1, 0, &Segment{}
	slices.SortFunc(segments, func(x, y object.Object) int { return segmentNumber(x.Key) - segmentNumber(y.Key) })
	for i, o := range segments {
		s.number, s.version = segmentNumber(o.Key), o.Version
		if i < len(segments)-1 {
			s.kept = append(s.kept, object.Object{Key: o.Key, Version: o.Version})
			continue
		}
		a.loadNewest(s, o)
	}
}

// loadNewest takes in the segment that is added to. A damaged one is left as it
// is, for the auditor, and a new one is begun.
func (a *Archive) loadNewest(s *shelf, o object.Object) {
	segment, _, err := DecodeSegment(o.Value)
	s.segment = segment
	if err != nil {
		a.out = append(a.out, Action{Kind: Damage, Service: s.service, Err: errors.Join(errors.New(string(o.Key)), err)})
		s.begin()
	}
}
