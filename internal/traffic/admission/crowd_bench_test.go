package admission

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkSlotWithFullQueue frees one of 72 busy targets while four hundred requests wait.
func BenchmarkSlotWithFullQueue(b *testing.B) {
	benchmarkSlot(b, func(int) *Ticket { return patient(time.Hour) })
}

// BenchmarkSlotWithQueueOfRetries is the same with requests that were each sent to one of the
// targets before.
func BenchmarkSlotWithQueueOfRetries(b *testing.B) {
	benchmarkSlot(b, triedBefore)
}

// BenchmarkTickWhileManyWait scans a queue of which nothing can be sent, which an entry does twenty
// times a second.
func BenchmarkTickWhileManyWait(b *testing.B) {
	c := newController(72, Limits{PerTarget: 1, Queue: 400, Entries: 1})
	for range 72 {
		c.Arrive(start, ticket())
	}
	for n := range 400 {
		c.Arrive(start, triedBefore(n))
	}
	for b.Loop() {
		c.Tick(start)
	}
}

func triedBefore(n int) *Ticket {
	t := patient(time.Hour)
	t.Tried = []string{fmt.Sprint("t", n%72)}
	return t
}

func benchmarkSlot(b *testing.B, waiting func(n int) *Ticket) {
	c := newController(72, Limits{PerTarget: 1, Queue: 400, Entries: 1})
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

// lastGranted returns a request that holds a slot.
func (c *Controller) lastGranted() *Ticket {
	for _, s := range c.targets {
		for t := range s.tickets {
			return t
		}
	}
	return nil
}
