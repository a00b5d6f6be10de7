package planner

import (
	"encoding/json"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/demand"
	"wagtailshelf.example/wagtailshelf/internal/expert/group"
	"wagtailshelf.example/wagtailshelf/internal/expert/plan"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

// rereadAfter is the time between two attempts to read the record.
const rereadAfter = 2 * time.Second

func (c *Controller) recordKey() object.Key { return RecordKey(c.cfg.Service, c.cfg.Group) }

// readRecord reads the group's record from the platform.
func (c *Controller) readRecord(now time.Time) {
	c.recordReadCall = c.call(object.Call{Op: object.Get, Key: c.recordKey()})
	c.readAt = now.Add(rereadAfter)
}

// writeRecord writes the active map to the group's record.
func (c *Controller) writeRecord(now time.Time) {
	r := *c.active.record
	r.Number = c.active.number
	r.Map = c.active.m
	value, err := r.Encode()
	if err != nil {
		c.violate(err.Error())
		c.unsaved = false
		return
	}
	c.recordWriteCall = c.call(object.Call{Op: object.Put, Key: c.recordKey(), Version: c.active.version, Value: value})
	c.readAt = now.Add(rereadAfter)
}

// callDone handles the reply to one of the controller's own platform calls.
func (c *Controller) callDone(now time.Time, r object.Reply) {
	switch r.ID {
	case 0:
		return
	case c.recordReadCall:
		c.recordReadCall = 0
		c.recordRead(now, r)
	case c.recordWriteCall:
		c.recordWriteCall = 0
		c.recordWritten(now, r)
	case c.statusWriteCall:
		c.statusWriteCall = 0
		c.statusWritten(r)
	}
}

// recordWritten handles the reply to a write of the record. If the write failed or
// its outcome is unknown, the record is read again: the group may have formed again
// with another map.
func (c *Controller) recordWritten(now time.Time, r object.Reply) {
	if r.Status == object.Done {
		c.active.version = r.Object.Version
		c.unsaved = false
		c.readAt = time.Time{}
		return
	}
	c.unsaved = false
	c.readAt = now.Add(rereadAfter)
}

// recordRead handles the reply to a read of the record.
func (c *Controller) recordRead(now time.Time, r object.Reply) {
	if r.Status != object.Done {
		return
	}
	record, err := group.DecodeRecord(r.Object.Value)
	if err != nil {
		c.violate(err.Error())
		return
	}
	if record.Epoch == 0 {
		return // the group has not formed yet
	}
	c.readAt = time.Time{}
	c.adopt(now, record, r.Object.Version)
}

// adopt takes the group's state from its record. Within an epoch, the map of this
// holder's last switch may be newer than the record's, and then it stays.
func (c *Controller) adopt(now time.Time, record *group.Record, v object.Version) {
	old := c.active
	sameEpoch := old.record != nil && old.record.Epoch == record.Epoch
	if sameEpoch && old.number > record.Number {
		c.active.record, c.active.version = record, v
		c.unsaved = true
		return
	}
	if sameEpoch && old.number == record.Number {
		c.active.record, c.active.version = record, v
		return
	}
	c.active = activeMap{record: record, version: v, number: record.Number, m: record.Map}
	if old.record == nil {
		c.windowAt = now.Add(c.cfg.Window)
		c.planAt = now.Add(2 * c.cfg.Window)
	}
	if c.pending == nil || !sameEpoch {
		c.proposer = group.NewProposer(0)
		c.pending = nil
	}
	c.resize()
	c.catchUp()
}

// catchUp adopts the observed active map if the record does not have it yet.
func (c *Controller) catchUp() {
	if c.active.record == nil || c.pending != nil || !c.observer.newer(c.active.record.Epoch, c.active.number) {
		return
	}
	c.active.number, c.active.m = c.observer.number, c.observer.m
	c.unsaved = true
}

// resize replaces the demand tracker and the planner if they don't fit the group's
// shape.
func (c *Controller) resize() {
	s := c.active.m.Shape()
	size := demand.Size{Layers: s.Layers, Experts: s.Experts, Ranks: s.Ranks}
	if c.tracker == nil || c.tracker.Estimate().Size != size {
		t, err := demand.New(size, c.cfg.Demand)
		if err != nil {
			c.violate(err.Error())
			return
		}
		c.tracker = t
	}
	if c.cfg.Plan.Shape != s {
		c.cfg.Plan.Shape = s
		c.planner = nil
	}
	if c.planner == nil {
		c.makePlanner()
	}
}

// makePlanner creates the planner once both the group's shape and the active
// document are known: without the document's weights and rate, it would move
// experts according to settings that no operator chose.
func (c *Controller) makePlanner() {
	if !c.hasSettings || c.active.record == nil {
		return
	}
	p, err := plan.New(c.cfg.Plan)
	if err != nil {
		c.violate(err.Error())
		return
	}
	c.planner = p
}

// writeStatus writes the status to the platform. It overwrites the last status, also
// one of an earlier holder. A lost write needs no retry, as the next window writes
// again.
func (c *Controller) writeStatus(now time.Time) {
	c.status.At = now
	value, err := json.Marshal(&c.status)
	if err != nil {
		c.violate(err.Error())
		return
	}
	key := StatusKey(c.cfg.Service, c.cfg.Group)
	c.statusWriteCall = c.call(object.Call{Op: object.Put, Key: key, Version: c.statusVersion, Value: value})
}

// statusWritten stores the version that the next write of the status must name.
func (c *Controller) statusWritten(r object.Reply) {
	if r.Status == object.Done || r.Status == object.Conflict {
		c.statusVersion = r.Object.Version
	}
}
