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
// what this process has. One that does not answer is not counted: it takes no
// new work, and the status names it.
func (r *Register) settle(now time.Time) {
	if !r.held || r.settled.dueAt.IsZero() || now.Before(r.settled.dueAt) {
		return
	}
	r.settled.dueAt = time.Time{}
	for service, c := range r.copies {
		for name, p := range r.members {
			at := later(c.since, p.since).Add(contactBound)
			if now.Before(at) {
				r.settled.dueAt = sooner(r.settled.dueAt, at)
				continue
			}
			number := uint64(c.document.Number)
			if p.answers && r.board.Holds(service, name) < number {
				r.toBoard(now, status.Event{
					Kind: status.Holding, Service: service, Host: name, Number: number,
				})
			}
		}
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
