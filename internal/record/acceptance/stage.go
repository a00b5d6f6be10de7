package acceptance

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/fleet/member"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

// consider begins a change if the wanted text is another one than the accepted.
func (h *Holder) consider(now time.Time, j *job) {
	if !h.ready || j.phase != idle || j.desired == 0 || !j.retryAt.IsZero() {
		return
	}
	if j.record.Entry.Number > 0 && j.digest == j.record.Entry.Digest {
		return
	}
	if j.digest == j.rejected {
		return
	}
	if !h.leaseIsFresh(now) {
		h.retry(now, j)
		return
	}
	if found := h.cfg.check(j.service, j.text); found.Err() != nil {
		h.reject(j, Action{Kind: Rejected, Service: j.service, Version: j.desired, Findings: found})
		return
	}
	if len(j.record.Recent) >= maxRecent && j.archived < j.record.Recent[len(j.record.Recent)-maxRecent/2-1].Number {
		h.archive(now, j)
		return
	}
	h.replica.offer(j.service, j.text)
	j.phase = storing
	h.put(now, j, object.Call{Key: textKey(j.service, j.digest), Value: j.text, Cause: CauseText})
}

func (h *Holder) reject(j *job, a Action) {
	j.rejected = j.digest
	h.emit(a)
}

// leaseIsFresh tells whether enough of the lease is left to begin something. As
// long as the platform answers, renewals keep it so.
func (h *Holder) leaseIsFresh(now time.Time) bool {
	return h.lease.Holds(now) && h.lease.Until().Sub(now) > h.cfg.leaseLength()/3
}

func (h *Holder) put(now time.Time, j *job, c object.Call) {
	if !h.lease.Holds(now) {
		// Paused since the last event: whatever was decided before may be wrong now.
		j.phase = idle
		h.retry(now, j)
		return
	}
	c.Op = object.Put
	h.send(now, j, c)
}

func (h *Holder) send(now time.Time, j *job, c object.Call) {
	h.call(c, holderCall{service: j.service, digest: j.digest})
	j.callID = h.callID
	j.calledAt = now
}

// resume goes on after a pause: it reads back what may have been written.
func (h *Holder) resume(now time.Time, j *job) {
	switch j.phase {
	case idle:
		h.reread(now, j)
	case storing:
		h.put(now, j, object.Call{Key: textKey(j.service, j.digest), Value: j.text, Cause: CauseText})
	case staging, accepting:
		h.reread(now, j)
	case archiving:
		h.archive(now, j)
	}
}

func (h *Holder) reread(now time.Time, j *job) {
	h.send(now, j, object.Call{Op: object.Get, Key: recordKey(j.service), Cause: CauseAccept})
}

// written takes in the end of a write, or of the read that follows a lost answer.
// The end of an older call is late: what it says has been read back since.
func (h *Holder) written(now time.Time, j *job, id uint64, p holderCall, reply object.Reply) {
	if id != j.callID {
		return
	}
	j.callID = 0
	if p.cause == CauseHistory {
		h.archiveAnswered(now, j, p, reply)
		return
	}
	switch j.phase {
	case idle:
		h.recordRead(now, j, reply)
	case storing:
		h.stored(now, j, p, reply)
	case staging, accepting:
		h.recorded(now, j, p, reply)
	}
}

// stored goes on once the text is in the platform. Its key has its digest, so
// that one already present is the same.
func (h *Holder) stored(now time.Time, j *job, p holderCall, reply object.Reply) {
	switch reply.Status {
	case object.Done:
		j.texts[p.digest] = reply.Object.Version
	case object.Conflict:
	default:
		h.retry(now, j)
		return
	}
	if p.digest != j.digest {
		// Changed meanwhile: begin again with the newer text.
		j.phase = idle
		h.consider(now, j)
		return
	}
	h.recordStage(now, j)
}

// recordStage writes the stage into the record. This raises the record's
// version, so that no write of an earlier holder that is still on its way can
// take effect from here on.
func (h *Holder) recordStage(now time.Time, j *job) {
	j.phase = staging
	j.attempt++
	j.next = j.record
	j.next.Fence = h.fence
	j.next.Staged = &Staged{
		Number:          max(j.record.Entry.Number, h.replica.copyOf(j.service).accepted) + 1,
		Digest:          j.digest,
		Attempt:         j.attempt,
		DocumentVersion: j.desired,
		StagedAt:        now.UTC(),
	}
	j.next.Recent = trimRecent(j.record.Recent, j.archived)
	h.put(now, j, object.Call{Key: recordKey(j.service), Version: j.version, Value: j.next.Encode(), Cause: CauseStage})
}

// recorded takes in the end of a write of the record.
func (h *Holder) recorded(now time.Time, j *job, p holderCall, reply object.Reply) {
	switch {
	case p.op == object.Put && reply.Status == object.Done:
		h.advance(now, j, reply.Object.Version)
	case p.op == object.Get && reply.Status == object.Done:
		h.readBack(now, j, reply.Object)
	case p.op == object.Get && reply.Status == object.NotFound && j.version == 0:
		h.again(now, j)
	case reply.Status == object.Conflict:
		h.reread(now, j)
	default:
		// Refused, or lost: in either case what stands there now decides.
		h.retry(now, j)
	}
}

// readBack finds out whether a write whose answer was lost took effect.
func (h *Holder) readBack(now time.Time, j *job, o object.Object) {
	rec, err := DecodeRecord(o)
	if err != nil {
		h.violate("acceptance record cannot be read: " + err.Error())
		h.retry(now, j)
		return
	}
	if h.isNext(j, &rec) {
		h.advance(now, j, o.Version)
		return
	}
	if o.Version == j.version {
		h.again(now, j)
		return
	}
	if o.Version < j.version {
		h.retry(now, j)
		return
	}
	j.phase = idle
	h.adopt(now, j, o)
}

// isNext tells whether a record is the one that was being written.
func (h *Holder) isNext(j *job, rec *Record) bool {
	if rec.Fence != h.fence || rec.Entry.Number != j.next.Entry.Number || rec.Entry.Digest != j.next.Entry.Digest {
		return false
	}
	if j.next.Staged == nil {
		return rec.Staged == nil
	}
	return rec.Staged != nil && rec.Staged.Attempt == j.next.Staged.Attempt
}

// again repeats a write that has not taken effect, on the same version: if the
// first one is only late, at most one of the two takes effect.
func (h *Holder) again(now time.Time, j *job) {
	cause := CauseStage
	if j.phase == accepting {
		cause = CauseAccept
	}
	h.put(now, j, object.Call{Key: recordKey(j.service), Version: j.version, Value: j.next.Encode(), Cause: cause})
}

// advance goes on after a write of the record that has surely taken effect.
func (h *Holder) advance(now time.Time, j *job, v object.Version) {
	j.record = j.next
	j.version = v
	if j.phase == staging {
		h.open(now, j)
		return
	}
	j.phase = idle
	h.replica.publishRecord(&j.record)
	if !j.decided {
		h.emit(Action{Kind: Accepted, Service: j.service, Entry: j.record.Entry})
	}
	h.dropTexts(j)
	h.consider(now, j)
}

func (h *Holder) recordRead(now time.Time, j *job, reply object.Reply) {
	switch reply.Status {
	case object.Done:
		h.adopt(now, j, reply.Object)
	case object.NotFound:
		h.consider(now, j)
	default:
		h.retry(now, j)
	}
}

// dropTexts deletes texts that are neither in force nor were so just before.
func (h *Holder) dropTexts(j *job) {
	recent := j.record.Recent
	for d, v := range j.texts {
		keep := d == j.digest
		for _, e := range recent[max(len(recent)-2, 0):] {
			keep = keep || e.Digest == d
		}
		if keep {
			continue
		}
		delete(j.texts, d)
		h.call(object.Call{Op: object.Delete, Key: textKey(j.service, d), Version: v, Cause: CauseText}, holderCall{service: j.service})
	}
}

// open offers the text to all members.
func (h *Holder) open(now time.Time, j *job) {
	staged := j.record.Staged
	if staged.Digest != j.digest {
		j.phase = idle
		h.consider(now, j)
		return
	}
	j.phase = spreading
	j.stage = newStageVersion(h.fence, staged.Attempt)
	j.ids = make(map[member.ID]bool)
	j.answered = make(map[member.ID]bool)
	j.whole = make(map[host.DataCentre]time.Time)
	j.lastHold = now
	j.tellAt = now.Add(waitReport)
	j.fact = stageFact{
		Number:   staged.Number,
		Digest:   staged.Digest,
		Holder:   h.self.Name,
		Doubtful: h.suspects(),
	}
	if j.record.Entry.Number == staged.Number-1 {
		j.fact.Base = j.record.Entry.Digest
	}
	if base := h.replica.copyOf(j.service).inForce; base.Number > 0 && base.Digest == j.fact.Base {
		if patch := NewPatch(base.Text, j.text).Encode(); len(patch) <= maxInlinePatch {
			j.fact.Patch = patch
		}
	}
	h.emit(Action{Kind: publish, Fact: newFact(stagePrefix+j.service, uint64(j.stage), j.fact)})
}

// suspects returns the members that are thought to have failed. Those of which
// only the roster tells have no life yet that others could have answered.
func (h *Holder) suspects() []member.ID {
	var out []member.ID
	for _, r := range h.members.Records() {
		if r.State == member.Suspect && r.Identity.Incarnation != 0 && len(out) < maxDoubtfulNames {
			out = append(out, member.IDOf(r.Identity.Name, r.Identity.Incarnation))
		}
	}
	return out
}

// held takes in which members of a data centre hold the text. Only a holder
// whose lease has not ended may say that the stage is still open: afterwards
// another one may have accepted it.
func (h *Holder) held(now time.Time, msg *Message) {
	j, ok := h.jobs[msg.Service]
	if !ok || msg.Stage != j.stage || (j.phase != spreading && j.phase != accepting) || !h.lease.Holds(now) {
		return
	}
	for _, id := range msg.IDs {
		if !j.ids[id] {
			j.ids[id] = true
			j.lastHold = now
		}
	}
	for _, id := range msg.Answered {
		j.answered[id] = true
	}
	if from, ok := h.members.Record(msg.From); ok && msg.Whole {
		j.whole[from.Identity.DataCentre] = now
	}
	h.replica.sendTo(msg.From, &Message{Kind: StillOpen, Service: msg.Service, Stage: msg.Stage, Seq: msg.Seq})
	if j.phase != spreading {
		return
	}
	if len(msg.Refusals) > 0 {
		h.closeStage(j)
		refusal := msg.Refusals[0]
		h.reject(j, Action{Kind: Rejected, Service: j.service, Version: j.desired, Names: []host.Name{refusal.Member}, Reason: refusal.Reason})
		return
	}
	h.evaluate(now, j)
}

// evaluate accepts the staged text once all members that may take new work hold it.
func (h *Holder) evaluate(now time.Time, j *job) {
	if h.replica.copyOf(j.service).accepted >= j.fact.Number {
		// Another holder decided on a text under this number, and could not record
		// it any more; see decide.
		h.closeStage(j)
		h.reread(now, j)
		return
	}
	if !h.leaseIsFresh(now) {
		// The platform does not renew the lease. Members that hold the text would
		// soon be in doubt for as long as it is out, and take no new work.
		h.closeStage(j)
		h.retry(now, j)
		return
	}
	var silent []host.Name
	known := true // all silent ones were named as doubtful and nobody hears them
	for _, r := range h.members.Records() {
		id := member.IDOf(r.Identity.Name, r.Identity.Incarnation)
		if r.State == member.Left || j.ids[id] {
			continue
		}
		silent = append(silent, r.Identity.Name)
		known = known && !j.answered[id] && containsID(j.fact.Doubtful, id)
	}
	if len(silent) == 0 {
		h.accept(now, j, nil)
		return
	}
	bound := h.members.Config().Bound()
	if !known && now.Before(j.lastHold.Add(bound)) {
		j.tellAt = j.lastHold.Add(bound)
		return
	}
	rounds, keep := leaveOut(h.members, silent)
	if len(keep) > 0 {
		j.tellAt = now.Add(waitReport)
		h.emit(Action{Kind: Waiting, Service: j.service, Names: keep})
		return
	}
	ready := j.lastHold.Add(time.Duration(rounds) * bound)
	if known && rounds <= silentTimeouts {
		ready = now
	}
	if now.Before(ready) {
		j.tellAt = ready
		return
	}
	h.accept(now, j, silent)
}

// decide lets an acceptance count whose write has not been answered, when the
// lease is about to lapse because the platform is out.
//
// Without this, no member could learn the outcome before the platform returns,
// and all of them, being in doubt, would take no new work until then. The text may
// count because every member with contact holds it, and nobody can accept another
// one without them: whoever holds the lease next learns of it from them, and
// records it; see recover. It counts only while all members are heard of: those
// that are cut off would find in the platform that the stage is still open.
func (h *Holder) decide(now time.Time, j *job) {
	if j.decided || !h.lease.Holds(now) || len(j.next.Entry.LeftOut) > 0 || j.next.Entry.Number != j.fact.Number {
		return
	}
	for _, r := range h.members.Records() {
		if r.State != member.Left && now.Sub(j.whole[r.Identity.DataCentre]) > 2*wholeWindow {
			return
		}
	}
	j.decided = true
	h.replica.publishRecord(&j.next)
	h.emit(Action{Kind: Accepted, Service: j.service, Entry: j.next.Entry})
}

// recover records an acceptance that its holder could not record, or not for
// sure. The write is conditional: if the record read was only an old one, it fails.
func (h *Holder) recover(now time.Time, j *job) {
	c := h.replica.copyOf(j.service)
	entry := Entry{Number: c.accepted, Digest: c.digest, AcceptedAt: now.UTC(), Holder: h.self.Name, Fence: h.fence}
	if s := j.record.Staged; s != nil && s.Digest == c.digest {
		entry.DocumentVersion = s.DocumentVersion
	}
	if j.digest == c.digest {
		entry.Author = j.author
	}
	h.writeEntry(now, j, entry)
}

func containsID(ids []member.ID, id member.ID) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}

// accept writes the acceptance.
func (h *Holder) accept(now time.Time, j *job, leftOut []host.Name) {
	staged := j.record.Staged
	h.writeEntry(now, j, Entry{
		Number:          staged.Number,
		Digest:          staged.Digest,
		Author:          j.author,
		AcceptedAt:      now.UTC(),
		DocumentVersion: staged.DocumentVersion,
		Holder:          h.self.Name,
		Fence:           h.fence,
		LeftOut:         leftOut[:min(len(leftOut), maxLeftOut)],
	})
}

func (h *Holder) writeEntry(now time.Time, j *job, e Entry) {
	j.phase = accepting
	j.decided = false
	j.next = j.record
	j.next.Fence = h.fence
	j.next.Staged = nil
	j.next.Entry = e
	j.next.Recent = append(trimRecent(j.record.Recent, j.archived), j.next.Entry)
	h.put(now, j, object.Call{Key: recordKey(j.service), Version: j.version, Value: j.next.Encode(), Cause: CauseAccept})
}

// maxLeftOut bounds the names in an entry.
const maxLeftOut = 32
