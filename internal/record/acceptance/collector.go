package acceptance

import (
	"maps"
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/fleet/member"
)

const (
	// gatherTime is how long a collector waits for further members before it
	// tells the holder.
	gatherTime = 15 * time.Millisecond
	// holderPatience is how long a collector waits for the holder before it
	// reads from the platform what became of the stage.
	holderPatience = 600 * time.Millisecond
	// wholeWindow is how long ago a member may have asked to count as present.
	wholeWindow = 2 * holdInterval
)

// holding is what a collector knows about one member.
type holding struct {
	id    member.ID
	seq   uint64
	at    time.Time // when its last question came
	heard bool      // it said in it that the one before was answered
	known bool      // the holder has confirmed it
	told  time.Time // the at of the last question that was answered
}

// collection is what a collector gathers about one stage.
type collection struct {
	stage    StageVersion
	members  map[host.Name]*holding
	answered []member.ID
	refusals []Refusal
	seq      uint64
	sentAt   time.Time // of the newest Holds
	waiting  bool      // for the holder's answer to it
	heardAt  time.Time // when the holder last answered
	flushAt  time.Time // zero if there is nothing to send
}

// collector gathers for the lease's holder which members of its data centre hold
// a staged text, so that the holder exchanges one message with each data centre
// in place of one with each member.
type collector struct {
	replica *Replica
	stages  map[string]*collection
}

func newCollector(r *Replica) *collector {
	return &collector{replica: r, stages: make(map[string]*collection)}
}

// held takes in that a member holds or refuses a text.
func (k *collector) held(now time.Time, msg *Message) {
	c, ok := k.stages[msg.Service]
	if ok && msg.Stage < c.stage {
		return
	}
	if !ok || msg.Stage > c.stage {
		c = &collection{stage: msg.Stage, members: make(map[host.Name]*holding)}
		k.stages[msg.Service] = c
	}
	h, ok := c.members[msg.From]
	if !ok {
		h = &holding{}
		c.members[msg.From] = h
	}
	h.seq = msg.Seq
	h.at = now
	h.heard = msg.Heard
	if len(msg.IDs) == 1 && h.id != msg.IDs[0] {
		h.id = msg.IDs[0]
		h.known = false
	}
	for _, id := range msg.Answered {
		if !slices.Contains(c.answered, id) {
			c.answered = append(c.answered, id)
		}
	}
	if len(c.refusals) < 16 {
		c.refusals = append(c.refusals, msg.Refusals...)
	}
	if c.flushAt.IsZero() {
		c.flushAt = now.Add(gatherTime)
	}
}

// tick sends what was gathered, and turns to the platform where the holder is silent.
func (k *collector) tick(now time.Time) {
	for _, service := range slices.Sorted(maps.Keys(k.stages)) {
		c := k.stages[service]
		if !c.flushAt.IsZero() && !now.Before(c.flushAt) {
			k.flush(now, service, c)
		}
		if c.waiting && now.Sub(c.sentAt) >= holderPatience {
			c.waiting = false
			k.replica.readDoubt(now, service, c.stage)
		}
	}
}

func (k *collector) flush(now time.Time, service string, c *collection) {
	c.flushAt = time.Time{}
	own := k.replica.copyOf(service)
	if own.stage != c.stage || own.accepted >= own.staged.Number {
		// Another stage is current, or this one is accepted: the fact that says
		// so is on its way to those who ask.
		return
	}
	c.seq++
	c.sentAt = now
	c.waiting = true
	msg := &Message{Kind: Holds, Service: service, Stage: c.stage, Seq: c.seq, Answered: c.answered, Refusals: c.refusals}
	for _, h := range c.members {
		if !h.known && h.id != 0 {
			msg.IDs = append(msg.IDs, h.id)
		}
	}
	slices.Sort(msg.IDs)
	msg.Whole = k.whole(now, c)
	k.replica.sendTo(own.staged.Holder, msg)
}

// whole tells whether each member of this data centre has asked of late and was
// answered, and the holder has answered this collector: news goes both ways.
func (k *collector) whole(now time.Time, c *collection) bool {
	if c.heardAt.IsZero() || now.Sub(c.heardAt) > wholeWindow {
		return false
	}
	for _, rec := range k.replica.members.Records() {
		id := rec.Identity
		if id.DataCentre != k.replica.self.DataCentre || rec.State == member.Left {
			continue
		}
		h, ok := c.members[id.Name]
		if !ok || !h.heard || h.id != member.IDOf(id.Name, id.Incarnation) || now.Sub(h.at) > wholeWindow {
			return false
		}
	}
	return true
}

// stillOpen takes in the holder's answer.
func (k *collector) stillOpen(now time.Time, msg *Message) {
	c, ok := k.stages[msg.Service]
	if !ok || c.stage != msg.Stage || c.seq != msg.Seq || !c.waiting {
		return
	}
	c.waiting = false
	c.heardAt = now
	for _, h := range c.members {
		if !h.at.After(c.sentAt) {
			h.known = true
		}
	}
	k.tell(msg.Service, c, c.sentAt)
}

// openAt tells all members that asked up to the given time that the stage was
// open then.
func (k *collector) openAt(service string, v StageVersion, at time.Time) {
	if c, ok := k.stages[service]; ok && c.stage == v {
		k.tell(service, c, at)
	}
}

func (k *collector) tell(service string, c *collection, at time.Time) {
	names := make([]host.Name, 0, len(c.members))
	for name, h := range c.members {
		if !h.at.After(at) && h.at.After(h.told) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		h := c.members[name]
		h.told = h.at
		k.replica.sendTo(name, &Message{Kind: StillOpen, Service: service, Stage: c.stage, Seq: h.seq})
	}
}

// deadline returns when something is due next; the zero time means never.
func (k *collector) deadline() time.Time {
	var next time.Time
	for _, c := range k.stages {
		next = sooner(next, c.flushAt)
		if c.waiting {
			next = sooner(next, c.sentAt.Add(holderPatience))
		}
	}
	return next
}

// sooner returns the earlier of two times; the zero time means never.
func sooner(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
