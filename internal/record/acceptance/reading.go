package acceptance

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

const (
	listTimeout = 2 * time.Second
	// listInterval is how often a process without contact reads the numbers.
	listInterval = time.Second
	maxListWait  = 8 * time.Second
)

func (r *Replica) call(now time.Time, c object.Call, p pendingCall) {
	r.callID++
	c.ID = r.callID*partCount + replicaPart
	p.sentAt = now
	r.calls[r.callID] = p
	r.emit(Action{Kind: Call, Call: c})
}

// tick does what is due at now.
func (r *Replica) tick(now time.Time) {
	for _, service := range r.services() {
		c := r.copies[service]
		if c.fetch.active() && !now.Before(c.fetch.nextAt) {
			r.fetchNext(now, c)
		}
		if c.asking() && !now.Before(c.hold.nextAt) {
			r.ask(now, c)
		}
	}
	r.readNumbers(now)
}

// deadline returns when something is due next.
func (r *Replica) deadline() time.Time {
	next := r.listAt
	for _, c := range r.copies {
		next = sooner(next, c.fetch.nextAt)
		if c.asking() {
			next = sooner(next, c.hold.nextAt)
		}
	}
	return next
}

// readNumbers reads all numbers from the platform at the start, and again as
// long as this process has no contact with its neighbours.
func (r *Replica) readNumbers(now time.Time) {
	if now.Before(r.listAt) {
		return
	}
	if r.listing && now.Sub(r.listSent) < listTimeout {
		r.listAt = r.listSent.Add(listTimeout)
		return
	}
	r.listAt = now.Add(listInterval/2 + time.Duration(r.rng.Int64N(int64(listInterval/2))))
	// Contact that is about to end is renewed here before it ends.
	if r.members.Contact(now.Add(r.timeout / 3)) {
		return
	}
	r.listing = true
	r.listSent = now
	r.call(now, object.Call{Op: object.List, Key: AcceptanceKind + "/", Cause: CauseStart}, pendingCall{cause: CauseStart})
}

// replied takes in the end of a platform call.
func (r *Replica) replied(now time.Time, reply object.Reply) {
	p, ok := r.calls[reply.ID]
	if !ok {
		return
	}
	delete(r.calls, reply.ID)
	switch p.cause {
	case CauseStart:
		r.listed(now, p, reply)
	case CauseText:
		r.textRead(now, p, reply)
	case CauseDoubt:
		r.doubtRead(p, reply)
	}
}

// listed takes in the numbers of all services. They count as a proof of contact
// once all of them are in force here.
func (r *Replica) listed(now time.Time, p pendingCall, reply object.Reply) {
	r.listing = false
	if reply.Status != object.Done {
		r.listFail = min(r.listFail+1, 3)
		wait := min(listInterval<<r.listFail, maxListWait)
		r.listAt = now.Add(wait/2 + time.Duration(r.rng.Int64N(int64(wait))))
		return
	}
	r.listFail = 0
	r.listedAt = now
	r.readAt = p.sentAt
	for _, o := range reply.Objects {
		rec, err := DecodeRecord(o)
		if err != nil {
			r.violate("acceptance record cannot be read: " + string(o.Key) + ": " + err.Error())
			r.readAt = time.Time{}
			continue
		}
		if rec.Staged != nil {
			// Its holder may have let it count without being able to record it. Who
			// has contact with members learns that from them.
			r.readAt = time.Time{}
		}
		r.publishRecord(&rec)
	}
}

// platformAnswers tells whether the platform has let this process read the numbers
// of late.
func (r *Replica) platformAnswers(now time.Time) bool {
	return !r.listedAt.IsZero() && now.Sub(r.listedAt) < 2*listInterval
}

// publishRecord makes known what the platform says was accepted.
func (r *Replica) publishRecord(rec *Record) {
	if rec.Entry.Number == 0 {
		return
	}
	f := newFact(acceptedPrefix+rec.Service, uint64(rec.Entry.Number), acceptedFact{Digest: rec.Entry.Digest})
	r.emit(Action{Kind: publish, Fact: f})
}

// refreshed tells since when the platform's numbers have all been in force here,
// once; the zero time means that nothing new is known.
func (r *Replica) refreshed() time.Time {
	if r.readAt.IsZero() {
		return time.Time{}
	}
	for _, c := range r.copies {
		if c.accepted > c.inForce.Number {
			return time.Time{}
		}
	}
	at := r.readAt
	r.readAt = time.Time{}
	return at
}

func (r *Replica) textRead(now time.Time, p pendingCall, reply object.Reply) {
	c := r.copyOf(p.service)
	if !c.fetch.active() || c.fetch.digest != p.digest {
		return
	}
	c.fetch.calling = false
	c.fetch.tries = 0
	if reply.Status == object.Done && DigestOf(reply.Object.Value) == p.digest {
		r.fetched(now, c, reply.Object.Value)
	}
}

// readDoubt reads from the platform what became of a stage.
func (r *Replica) readDoubt(now time.Time, service string, v StageVersion) {
	r.call(now, object.Call{Op: object.Get, Key: recordKey(service), Cause: CauseDoubt},
		pendingCall{cause: CauseDoubt, service: service, stage: v})
}

// doubtRead takes in the record of a service with a stage in doubt. If its
// number has not risen, the stage was open when the read was sent.
func (r *Replica) doubtRead(p pendingCall, reply object.Reply) {
	if reply.Status != object.Done {
		return
	}
	rec, err := DecodeRecord(reply.Object)
	if err != nil {
		r.violate("acceptance record cannot be read: " + err.Error())
		return
	}
	c := r.copyOf(p.service)
	if rec.Entry.Number > c.accepted {
		r.publishRecord(&rec)
		return
	}
	if c.stage == p.stage && rec.Entry.Number == c.accepted {
		r.emit(Action{Kind: stillOpen, Service: p.service, stage: p.stage, at: p.sentAt})
	}
}
