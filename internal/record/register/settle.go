package register

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/member"
	"wagtailshelf.example/wagtailshelf/internal/record/status"
)

// contactBound is how long after an acceptance each member that takes new work
// has it in force. A member holds the text before it is accepted; it learns the
// number, or loses contact and takes no new work. Package acceptance says why.
//
// Counting on it costs no message. Reports of all members on each change would
// cost the holder a connection to each of them, 1,640 at the largest size.
var contactBound = member.Config{Timeout: member.DefaultTimeout}.Bound()

// presence is what this process knows of a member.
type presence struct {
	answers bool
	since   time.Time // when it joined, or began to answer again
}

// settling says when members or documents next reach the bound.
type settling struct {
	dueAt time.Time // zero if nothing is awaited
}

// await notes that something has changed at now.
func (s *settling) await(now time.Time) {
	s.dueAt = sooner(s.dueAt, now.Add(contactBound))
}

// settle counts the members for which the bound has passed as having in force
// what this process has. One that has not answered for as long takes no new
// work, and is marked as silent.
func (r *Register) settle(now time.Time) {
	if !r.held || r.settled.dueAt.IsZero() || now.Before(r.settled.dueAt) {
		return
	}
	r.settled.dueAt = time.Time{}
	for name, p := range r.members {
		if !p.answers && r.reached(now, p.since) {
			r.toBoard(now, status.Event{Kind: status.Joined, Host: name, Silent: true})
		}
	}
	for service, c := range r.copies {
		r.count(now, service, c)
	}
}

// reached tells whether the bound has passed since a time; if not, the next look
// is when it does.
func (r *Register) reached(now, since time.Time) bool {
	at := since.Add(contactBound)
	if now.Before(at) {
		r.settled.dueAt = sooner(r.settled.dueAt, at)
		return false
	}
	return true
}

// count looks at all members for one service.
func (r *Register) count(now time.Time, service string, c copyInForce) {
	number := uint64(c.document.Number)
	for name, p := range r.members {
		if !p.answers || r.board.Holds(service, name) >= number || !r.reached(now, later(c.since, p.since)) {
			continue
		}
		r.toBoard(now, status.Event{Kind: status.Holding, Service: service, Host: name, Number: number})
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
