package acceptance

import (
	"encoding/json"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/fleet/lease"
	"wagtailshelf.example/wagtailshelf/internal/fleet/member"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

// RosterKey is the object with the members that the holder of the lease knew.
const RosterKey object.Key = "rosters/fleet"

// CauseRoster is the cause under which calls for the roster are counted.
const CauseRoster object.Cause = "acceptanceRoster"

// rosterFactKey is the key of the fact with the roster's hash. Its version
// rises with the object's.
const rosterFactKey = "roster/fleet"

// rosterDelay gathers members that start or leave together into one write.
const rosterDelay = 400 * time.Millisecond

// Roster is the value of [RosterKey], in JSON. Incarnations are left out, so that
// a restart does not change it.
type Roster struct {
	Fence   lease.Fence     `json:"fence"`
	Members []host.Identity `json:"members"`
}

// roster is how the holder knows whom it has to wait for. A holder that has just
// started may know a few hosts only, and would accept without all the others. So
// it reads the roster of the holder before it, and accepts nothing before it has
// written its own: the write is conditional, so what it read was not a lagging
// answer.
type roster struct {
	version object.Version
	written uint64 // hash of the names written under this lease, 0 if none was
	next    uint64 // hash of the names being written
	callID  uint64 // of the call on its way, 0 if there is none
	calls   time.Time
	retryAt time.Time
}

func (h *Holder) startRoster(now time.Time) {
	h.roster = roster{}
	h.readRoster(now)
}

func (h *Holder) readRoster(now time.Time) {
	h.rosterCall(now, object.Call{Op: object.Get, Key: RosterKey, Cause: CauseRoster})
}

func (h *Holder) rosterCall(now time.Time, c object.Call) {
	h.call(c, holderCall{})
	h.roster.callID = h.callID
	h.roster.calls = now
}

// tickRoster writes the roster when the members have changed.
func (h *Holder) tickRoster(now time.Time) {
	r := &h.roster
	if r.callID != 0 && now.Sub(r.calls) >= replyPatience {
		r.callID = 0
		r.retryAt = now
	}
	if r.callID == 0 && r.retryAt.IsZero() && r.written != 0 && r.written != h.members.Roster() {
		r.retryAt = now.Add(rosterDelay)
	}
	if r.callID != 0 || r.retryAt.IsZero() || now.Before(r.retryAt) {
		return
	}
	r.retryAt = time.Time{}
	h.readRoster(now)
}

// rosterDeadline returns when the roster is due next; the zero time means never.
func (h *Holder) rosterDeadline() time.Time {
	if h.roster.callID != 0 {
		return h.roster.calls.Add(replyPatience)
	}
	return h.roster.retryAt
}

// rosterAnswered takes in the end of a call for the roster.
func (h *Holder) rosterAnswered(now time.Time, id uint64, p holderCall, reply object.Reply) {
	r := &h.roster
	if id != r.callID {
		return
	}
	r.callID = 0
	switch {
	case p.op == object.Get && reply.Status == object.NotFound:
		r.version = 0
		h.writeRoster(now)
	case p.op == object.Get && reply.Status == object.Done:
		h.rosterRead(now, reply.Object)
	case p.op == object.Put && reply.Status == object.Done:
		h.rosterWritten(now, reply.Object.Version)
	default:
		r.retryAt = now.Add(retryInterval + time.Duration(h.rng.Int64N(int64(retryInterval))))
	}
}

// rosterRead merges the roster with what this process knows. A member that is
// missing here is remembered; one that has left, as far as is known here, is dropped.
func (h *Holder) rosterRead(now time.Time, o object.Object) {
	var stored Roster
	if err := json.Unmarshal(o.Value, &stored); err != nil {
		h.violate("roster cannot be read: " + err.Error())
		h.roster.retryAt = now.Add(replyPatience)
		return
	}
	h.roster.version = o.Version
	h.emit(Action{Kind: remember, identities: stored.Members})
	h.emit(Action{Kind: writeRoster})
}

func (h *Holder) writeRoster(now time.Time) {
	if !h.lease.Holds(now) || h.fence == 0 || h.roster.callID != 0 {
		return
	}
	next := Roster{Fence: h.fence}
	for _, rec := range h.members.Records() {
		if rec.State != member.Left {
			id := rec.Identity
			id.Incarnation = 0
			next.Members = append(next.Members, id)
		}
	}
	h.roster.next = h.members.Roster()
	h.rosterCall(now, object.Call{Op: object.Put, Key: RosterKey, Version: h.roster.version, Value: encode(&next), Cause: CauseRoster})
}

// rosterWritten lets all members know the roster's hash: those that know the same
// names are established.
func (h *Holder) rosterWritten(now time.Time, v object.Version) {
	first := h.roster.written == 0
	h.roster.version = v
	h.roster.written = h.roster.next
	h.emit(Action{Kind: publish, Fact: member.Fact{Key: rosterFactKey, Version: uint64(v), Value: encode(h.roster.next)}})
	if first {
		h.load(now)
	}
}
