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

func (d *Duty) recordKey() object.Key { return RecordKey(d.cfg.Service, d.cfg.Group) }

func (d *Duty) read(now time.Time) {
	d.reading = d.call(object.Call{Op: object.Get, Key: d.recordKey()})
	d.readAt = now.Add(rereadAfter)
}

// save writes the map in force to the group's record.
func (d *Duty) save(now time.Time) {
	r := *d.group.record
	r.Number = d.group.number
	r.Map = d.group.m
	value, err := r.Encode()
	if err != nil {
		d.violate(err.Error())
		d.unsaved = false
		return
	}
	d.writing = d.call(object.Call{Op: object.Put, Key: d.recordKey(), Version: d.group.version, Value: value})
	d.readAt = now.Add(rereadAfter)
}

// replied takes in the end of a call of the duty's own.
func (d *Duty) replied(now time.Time, r object.Reply) {
	switch r.ID {
	case 0:
		return
	case d.reading:
		d.reading = 0
		d.wasRead(now, r)
	case d.writing:
		d.writing = 0
		d.wasWritten(now, r)
	case d.publishing:
		d.publishing = 0
		d.wasPublished(r)
	}
}

// wasWritten settles a write of the record. When it did not take effect, or may
// not have, the record is read: the group may have formed again, and then its map
// is another one.
func (d *Duty) wasWritten(now time.Time, r object.Reply) {
	if r.Status == object.Done {
		d.group.version = r.Object.Version
		d.unsaved = false
		d.readAt = time.Time{}
		return
	}
	d.unsaved = false
	d.readAt = now.Add(rereadAfter)
}

func (d *Duty) wasRead(now time.Time, r object.Reply) {
	if r.Status != object.Done {
		return
	}
	record, err := group.DecodeRecord(r.Object.Value)
	if err != nil {
		d.violate(err.Error())
		return
	}
	if record.Epoch == 0 {
		return // not formed yet
	}
	d.readAt = time.Time{}
	d.adopt(now, record, r.Object.Version)
}

// adopt takes over what the record says. Within an epoch the map that this
// holder has led the group to may be newer than the record's.
func (d *Duty) adopt(now time.Time, record *group.Record, v object.Version) {
	old := d.group
	same := old.record != nil && old.record.Epoch == record.Epoch
	if same && old.number > record.Number {
		d.group.record, d.group.version = record, v
		d.unsaved = true
		return
	}
	if same && old.number == record.Number {
		d.group.record, d.group.version = record, v
		return
	}
	d.group = settled{record: record, version: v, number: record.Number, m: record.Map}
	if old.record == nil {
		d.windowAt = now.Add(d.cfg.Window)
		d.planAt = now.Add(2 * d.cfg.Window)
	}
	if d.pending == nil || !same {
		d.proposer = group.NewProposer(0)
		d.pending = nil
	}
	d.resize()
	d.catchUp()
}

// catchUp takes over the map in force that the record lacks.
func (d *Duty) catchUp() {
	if d.group.record == nil || d.pending != nil || !d.follow.newer(d.group.record.Epoch, d.group.number) {
		return
	}
	d.group.number, d.group.m = d.follow.number, d.follow.m
	d.unsaved = true
}

// resize makes tracker and planner fit the group's shape.
func (d *Duty) resize() {
	s := d.group.m.Shape()
	size := demand.Size{Layers: s.Layers, Experts: s.Experts, Ranks: s.Ranks}
	if d.tracker == nil || d.tracker.Estimate().Size != size {
		t, err := demand.New(size, d.cfg.Demand)
		if err != nil {
			d.violate(err.Error())
			return
		}
		d.tracker = t
	}
	if d.cfg.Plan.Shape != s {
		d.cfg.Plan.Shape = s
		d.planner = nil
	}
	if d.planner == nil {
		d.makePlanner()
	}
}

// makePlanner waits for both the group's shape and the document: without the
// document's weights and rate it would move experts by settings nobody chose.
func (d *Duty) makePlanner() {
	if !d.known || d.group.record == nil {
		return
	}
	p, err := plan.New(d.cfg.Plan)
	if err != nil {
		d.violate(err.Error())
		return
	}
	d.planner = p
}

// publish writes the status. The status before it, an earlier holder's too, is
// overwritten; a lost write is made up for by the next.
func (d *Duty) publish(now time.Time) {
	d.status.At = now
	value, err := json.Marshal(&d.status)
	if err != nil {
		d.violate(err.Error())
		return
	}
	key := StatusKey(d.cfg.Service, d.cfg.Group)
	d.publishing = d.call(object.Call{Op: object.Put, Key: key, Version: d.statusVersion, Value: value})
}

// wasPublished learns the version that the next write has to name.
func (d *Duty) wasPublished(r object.Reply) {
	if r.Status == object.Done || r.Status == object.Conflict {
		d.statusVersion = r.Object.Version
	}
}
