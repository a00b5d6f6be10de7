package admission

import (
	"fmt"
	"testing"
	"time"
)

// Four hundred requests wait for 72 targets that are all busy, and one of these becomes free.
func BenchmarkPlaceAmongManyThatWait(b *testing.B) {
	benchmarkPlace(b, func(int) *Ticket { return patient(time.Hour) })
}

// The same where each was sent to one of the targets before.
func BenchmarkPlaceAmongManyThatWereSentBefore(b *testing.B) {
	benchmarkPlace(b, sentBefore)
}

// The look at a queue of which nothing can be sent, twenty times a second.
func BenchmarkTickWhileManyWait(b *testing.B) {
	c := newController(72, Rules{PerTarget: 1, Queue: 400, Entries: 1})
	for range 72 {
		c.Arrive(start, ticket())
	}
	for n := range 400 {
		c.Arrive(start, sentBefore(n))
	}
	for b.Loop() {
		c.Tick(start)
	}
}

func sentBefore(n int) *Ticket {
	t := patient(time.Hour)
	t.Tried = []string{fmt.Sprint("t", n%72)}
	return t
}

func benchmarkPlace(b *testing.B, waiting func(n int) *Ticket) {
	c := newController(72, Rules{PerTarget: 1, Queue: 400, Entries: 1})
	var last *Ticket
	for range 72 {
		last = ticket()
		c.Arrive(start, last)
	}
	for n := range 400 {
		c.Arrive(start, waiting(n))
	}
	for n := 0; b.Loop(); n++ {
		c.Done(start, last, End{})
		last = c.lastGranted()
		c.Arrive(start, waiting(n))
	}
}

// lastGranted is a request at a target.
func (c *Controller) lastGranted() *Ticket {
	for _, s := range c.targets {
		for t := range s.held {
			return t
		}
	}
	return nil
}
