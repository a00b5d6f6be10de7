package engine

import (
	"container/list"
	"time"

	wire "wagtailshelf.example/wagtailshelf/internal/wire/engine"
)

// cache is a prefix cache with least-recently-used eviction, and its event log.
type cache struct {
	limit  int
	order  *list.List // of uint64, most recently used first
	blocks map[uint64]*list.Element
	seq    uint64
	events []datedEvent
}

type datedEvent struct {
	event   wire.Event
	visible time.Time
}

func newCache(limit int) *cache {
	return &cache{limit: limit, order: list.New(), blocks: make(map[uint64]*list.Element)}
}

func (c *cache) len() int { return c.order.Len() }

// touch marks the blocks as used, stores the missing ones and returns how many were
// missing. It calls publish with each change.
func (c *cache) touch(blocks []uint64, publish func(wire.Event)) int {
	missing := 0
	for _, b := range blocks {
		if el, ok := c.blocks[b]; ok {
			c.order.MoveToFront(el)
			continue
		}
		missing++
		c.blocks[b] = c.order.PushFront(b)
		publish(c.event(wire.Stored, b))
		c.evict(publish)
	}
	return missing
}

func (c *cache) evict(publish func(wire.Event)) {
	for c.order.Len() > c.limit {
		oldest := c.order.Back()
		b := c.order.Remove(oldest).(uint64)
		delete(c.blocks, b)
		publish(c.event(wire.Evicted, b))
	}
}

func (c *cache) event(kind wire.EventKind, block uint64) wire.Event {
	c.seq++
	return wire.Event{Seq: c.seq, Kind: kind, Block: block}
}

func (c *cache) log(ev wire.Event, visible time.Time) {
	c.events = append(c.events, datedEvent{event: ev, visible: visible})
	if len(c.events) > wire.MaxEvents {
		c.events = c.events[1:]
	}
}

// page returns the visible events from the sequence number on.
func (c *cache) page(from uint64, now time.Time) wire.Events {
	page := wire.Events{Events: []wire.Event{}, Next: from}
	for _, d := range c.events {
		if d.visible.After(now) {
			break
		}
		if d.event.Seq < from {
			continue
		}
		page.Events = append(page.Events, d.event)
		page.Next = d.event.Seq + 1
	}
	return page
}
