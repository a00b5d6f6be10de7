package admission

import (
	"testing"
	"time"
)

// Four hundred requests wait for 72 targets that are all busy, and one of these becomes free.
func BenchmarkPlaceAmongManyThatWait(b *testing.B) {
	c := newController(72, Rules{PerTarget: 1, Queue: 400, Entries: 1})
	var last *Ticket
	for range 72 {
		last = ticket()
		c.Arrive(start, last)
	}
	for range 400 {
		c.Arrive(start, patient(time.Hour))
	}
	for b.Loop() {
		c.Done(start, last, End{})
		last = c.lastGranted()
		c.Arrive(start, patient(time.Hour))
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
