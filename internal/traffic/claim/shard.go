package claim

import (
	"math/rand/v2"
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/record/object"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

// Causes of the platform calls, which the metrics count by cause.
const (
	CauseLoad  object.Cause = "claimLoad"
	CauseWrite object.Cause = "claimWrite"
	CauseRead  object.Cause = "claimReadBack"
)

// outageFailures is the number of consecutive failed calls after which an outage
// of the platform is assumed. During an outage a claim waits only if it arrives
// when the next call is due.
const outageFailures = 2

// Pauses after consecutive conflicts.
const (
	conflictsWithoutPause = 2
	firstPause            = 4 * time.Millisecond
	maxDoublings          = 8
)

// pendingClaim is a claim that is not recorded in the platform yet.
type pendingClaim struct {
	key        Key
	owner      request.Prior
	askedAt    time.Time
	waitUntil  time.Time
	memoryOnly bool
	granted    bool // from memory alone, and still to be recorded
}

// Shard decides the claims of one shard for one process.
type Shard struct {
	cfg       Config
	rng       *rand.Rand
	chain     chain
	pending   []pendingClaim
	unwritten []entry               // releases and moves of claims that wait to be written
	memory    map[Key]request.Prior // granted from memory alone and not recorded yet
	givenUp   map[request.ID]Key    // refused while a write that contains them may still take effect

	callID      uint64
	callOp      object.Op // operation of the current call; zero if there is none
	callBegan   time.Time // when the current call began
	viewAt      time.Time // when the call began that last confirmed the view
	putSegment  segment   // the segment that the current Put writes
	mustRead    bool      // read the head's object before the next Put
	putMayLand  bool      // a Put with an unknown outcome may still take effect
	viewChanged bool      // decide all pending claims anew
	conflicts   int       // consecutive ones
	failures    int       // consecutive calls that were unanswered or refused
	retryAt     time.Time
	nextWrite   time.Time
	wakeAt      time.Time

	out []Action
}

// New returns a shard that has not read the platform yet. rng randomises the
// pauses after conflicts, so that many processes do not keep conflicting.
func New(cfg Config, rng *rand.Rand) *Shard {
	return &Shard{
		rng:     rng,
		cfg:     cfg,
		chain:   chain{cfg: cfg},
		memory:  make(map[Key]request.Prior),
		givenUp: make(map[request.ID]Key),
	}
}

// Configure sets the retention and the window to the values of the active
// document. Claims that were already written keep their expiry.
func (s *Shard) Configure(retention, window time.Duration) {
	s.cfg.Retention, s.cfg.Window = retention, window
}

// Handle processes an event and returns the actions to carry out, in order.
func (s *Shard) Handle(now time.Time, ev Event) []Action {
	s.out = nil
	switch ev.Kind {
	case ClaimRequested:
		s.asked(now, ev)
	case Moved:
		s.queueEntry(entry{Key: ev.Key, Owner: ev.Owner, At: now.UnixMilli(), Until: now.Add(s.cfg.Retention).UnixMilli()})
	case Released:
		s.released(now, ev)
	case Replied:
		s.replied(now, ev.Reply)
	}
	if s.viewChanged {
		s.viewChanged = false
		s.settle(now)
	}
	s.expirePending(now)
	s.makeNextCall(now)
	s.scheduleWake(now)
	return s.out
}

func (s *Shard) asked(now time.Time, ev Event) {
	if len(s.pending) >= s.cfg.MaxPending {
		s.refuse(ev.Key, ev.Owner.ID, request.ClaimsFull)
		return
	}
	until := now.Add(s.cfg.Wait)
	if s.failures >= outageFailures && now.Before(s.retryAt) {
		until = now // outage of the platform: the claim is decided without a wait
	}
	if !ev.Until.IsZero() && ev.Until.Before(until) {
		until = ev.Until
	}
	p := pendingClaim{key: ev.Key, owner: ev.Owner, askedAt: now, waitUntil: until, memoryOnly: ev.MemoryOnly}
	if s.decide(now, p) {
		return
	}
	s.pending = append(s.pending, p)
	if s.ownedByOther(now, p) {
		s.mustRead = true
	}
}

// ownedByOther reports whether another request owns the key, according to the
// view.
func (s *Shard) ownedByOther(now time.Time, p pendingClaim) bool {
	owner, owned := s.chain.owner(now, p.key)
	return owned && owner.ID != p.owner.ID
}

// stale reports whether the view is older than the claim. Another process may
// have freed the key since, because its request was not run. A repeat that
// joined that request would wait in vain for its response, as long as nothing
// else makes this process read the platform.
func (s *Shard) stale(now time.Time, p pendingClaim) bool {
	return s.viewAt.Before(p.askedAt) && now.Before(p.waitUntil)
}

// released frees a key whose request was not run, so that a repeat of the call
// may run. If the release is lost, the key stays taken until its retention is
// over: the repeat is then refused, but the call never runs twice.
func (s *Shard) released(now time.Time, ev Event) {
	for i, p := range s.pending {
		if p.owner.ID == ev.Owner.ID {
			s.pending = slices.Delete(s.pending, i, i+1)
			s.forgetMemory(p)
			break
		}
	}
	s.free(now, ev.Key, ev.Owner)
}

func (s *Shard) free(now time.Time, k Key, owner request.Prior) {
	s.queueEntry(entry{Key: k, Owner: owner, At: now.UnixMilli(), Freed: true})
}

func (s *Shard) queueEntry(e entry) {
	if len(s.unwritten) < s.cfg.MaxPending {
		s.unwritten = append(s.unwritten, e)
	}
}

// settle decides the pending claims as far as the view allows.
func (s *Shard) settle(now time.Time) {
	s.processApplied(now)
	s.pending = slices.DeleteFunc(s.pending, func(p pendingClaim) bool { return s.decide(now, p) })
}

// decide grants the claim or reports the owner of its key, if the view or memory
// allows that. It reports whether the claim is settled.
func (s *Shard) decide(now time.Time, p pendingClaim) bool {
	owner, owned := s.chain.owner(now, p.key)
	inMemory, remembered := s.memory[p.key]
	switch {
	case p.granted && owned:
		s.forgetMemory(p)
		if owner.ID != p.owner.ID {
			s.emit(Action{Kind: Overlap, Key: p.key, Request: p.owner.ID, Owner: owner})
		}
		return true
	case p.granted:
		return false
	case owned && owner.ID == p.owner.ID:
		s.emit(Action{Kind: Granted, Key: p.key, Request: p.owner.ID, Owner: owner})
		return true
	case owned && s.stale(now, p):
		return false
	case owned:
		s.taken(p, owner)
		return true
	case remembered:
		s.taken(p, inMemory)
		return true
	}
	return false
}

func (s *Shard) forgetMemory(p pendingClaim) {
	if p.granted {
		delete(s.memory, p.key)
	}
}

func (s *Shard) taken(p pendingClaim, owner request.Prior) {
	s.emit(Action{Kind: Taken, Key: p.key, Request: p.owner.ID, Owner: owner})
}

// processApplied reports violations in the chain, and frees the keys of claims
// that were recorded after their requests had been refused.
func (s *Shard) processApplied(now time.Time) {
	for _, v := range s.chain.violations {
		s.emit(Action{Kind: Violated, Violation: v})
	}
	s.chain.violations = nil
	for _, e := range s.chain.applied {
		if _, ok := s.givenUp[e.Owner.ID]; ok && !e.Freed {
			delete(s.givenUp, e.Owner.ID)
			s.free(now, e.Key, e.Owner)
		}
	}
	s.chain.applied = nil
}

// expirePending ends the wait of claims whose time is up, because the platform is
// slow or has an outage. The document determines whether they are refused or
// granted from memory alone.
func (s *Shard) expirePending(now time.Time) {
	kept := s.pending[:0]
	for _, p := range s.pending {
		if p.granted || now.Before(p.waitUntil) {
			kept = append(kept, p)
			continue
		}
		if s.decide(now, p) {
			continue
		}
		if !p.memoryOnly {
			s.giveUp(p)
			continue
		}
		p.granted = true
		s.memory[p.key] = p.owner
		s.emit(Action{Kind: Granted, Key: p.key, Request: p.owner.ID, Owner: p.owner, MemoryOnly: true})
		kept = append(kept, p)
	}
	s.pending = kept
}

// giveUp refuses a claim. If a write that contains it may still take effect,
// the claim is kept in givenUp, so that its key is freed then.
func (s *Shard) giveUp(p pendingClaim) {
	if (s.callOp == object.Put || s.putMayLand) && len(s.givenUp) < s.cfg.MaxPending {
		s.givenUp[p.owner.ID] = p.key
	}
	s.refuse(p.key, p.owner.ID, request.ClaimUnavailable)
}

func (s *Shard) refuse(k Key, id request.ID, reason request.Reason) {
	s.emit(Action{Kind: Refused, Key: k, Request: id, Reason: reason, RetryAfter: s.cfg.RetryAfter})
}

// makeNextCall starts the next platform call, if one is needed. There is only one
// at a time.
func (s *Shard) makeNextCall(now time.Time) {
	if s.callOp != 0 || now.Before(s.retryAt) || !s.hasWork() {
		return
	}
	switch {
	case !s.chain.loaded:
		s.beginCall(now, object.Call{Op: object.List, Key: s.cfg.prefix(), Cause: CauseLoad})
	case s.mustRead:
		s.beginCall(now, object.Call{Op: object.Get, Key: s.chain.objectKey(), Cause: CauseRead})
	case !now.Before(s.nextWrite):
		s.write(now)
	}
}

// hasWork reports whether a platform call is needed. Refused claims count too:
// until another write has changed the version, the write that contains them may
// take effect, and their keys would be taken by requests that never run.
func (s *Shard) hasWork() bool {
	return len(s.pending)+len(s.unwritten)+len(s.givenUp) > 0
}

func (s *Shard) beginCall(now time.Time, c object.Call) {
	s.callID++
	s.callOp, s.callBegan = c.Op, now
	c.ID = s.callID
	s.emit(Action{Kind: Call, Call: c})
}

// write adds the next batch to the open segment. The condition on the version is
// what prevents two processes from claiming the same key at once: both write
// this object and expect the same version of it.
func (s *Shard) write(now time.Time) {
	if s.chain.ringFull(now) {
		s.refuseAll(request.ClaimsFull)
		s.retryAt = now.Add(s.cfg.Backoff)
		return
	}
	next := s.chain.head
	next.Entries = slices.Concat(next.Entries, s.batch(now))
	value, err := next.encode()
	if err != nil || len(value) > object.MaxValueBytes {
		s.refuseAll(request.ClaimsFull)
		return
	}
	if len(value) >= s.cfg.SegmentBytes {
		next.Sealed = true
		value, _ = next.encode()
	}
	s.putSegment = next
	s.nextWrite = now.Add(s.cfg.Window)
	s.beginCall(now, object.Call{
		Op: object.Put, Key: s.chain.objectKey(), Version: s.chain.version, Value: value, Cause: CauseWrite,
	})
}

func (s *Shard) batch(now time.Time) []entry {
	var batch []entry
	s.unwritten = slices.DeleteFunc(s.unwritten, func(e entry) bool { return !e.Freed && !s.stillOwns(now, e) })
	batch = append(batch, s.unwritten[:min(len(s.unwritten), s.cfg.MaxBatch)]...)
	until := now.Add(s.cfg.Retention).UnixMilli()
	inBatch := make(map[Key]struct{})
	for _, p := range s.pending {
		if _, ok := inBatch[p.key]; ok || len(batch) >= 2*s.cfg.MaxBatch {
			continue
		}
		if s.ownedByOther(now, p) {
			continue // the claim waits for a newer view
		}
		inBatch[p.key] = struct{}{}
		batch = append(batch, entry{Key: p.key, Owner: p.owner, At: now.UnixMilli(), Until: until})
	}
	return batch
}

// stillOwns reports whether the request of the entry still owns its key. A move
// that was written after another request got the key would take the key away
// from that request.
func (s *Shard) stillOwns(now time.Time, e entry) bool {
	owner, owned := s.chain.owner(now, e.Key)
	return owned && owner.ID == e.Owner.ID
}

func (s *Shard) refuseAll(reason request.Reason) {
	kept := s.pending[:0]
	for _, p := range s.pending {
		if p.granted {
			kept = append(kept, p)
			continue
		}
		s.refuse(p.key, p.owner.ID, reason)
	}
	s.pending = kept
}

func (s *Shard) emit(a Action) {
	s.out = append(s.out, a)
}

func (s *Shard) scheduleWake(now time.Time) {
	var at time.Time
	consider := func(t time.Time) {
		if t.After(now) && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	for _, p := range s.pending {
		if !p.granted {
			consider(p.waitUntil)
		}
	}
	if s.callOp == 0 && s.hasWork() {
		consider(s.retryAt)
		consider(s.nextWrite)
	}
	if !at.IsZero() && !at.Equal(s.wakeAt) {
		s.wakeAt = at
		s.emit(Action{Kind: Wake, At: at})
	}
}
