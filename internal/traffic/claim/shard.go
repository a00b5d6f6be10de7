package claim

import (
	"math/rand/v2"
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/record/object"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

// Causes of the platform calls, for the counted metrics.
const (
	CauseLoad  object.Cause = "claimLoad"
	CauseWrite object.Cause = "claimWrite"
	CauseRead  object.Cause = "claimReadBack"
)

// outFailures is how many calls in a row must fail for the platform to count as
// out. From then on only an ask that comes when a call is due waits for it.
const outFailures = 2

// Pauses after conflicts in a row.
const (
	freeConflicts = 2
	firstPause    = 4 * time.Millisecond
	maxDoublings  = 8
)

// ask is a claim that waits for its record in the platform.
type ask struct {
	key        Key
	owner      request.Prior
	since      time.Time
	until      time.Time
	memoryOnly bool
	granted    bool // from memory alone; it waits to be recorded
}

// Shard decides the claims of one shard in one process.
type Shard struct {
	cfg    Config
	rng    *rand.Rand
	chain  chain
	asks   []ask
	notes  []entry               // ends and moves of claims that wait to be written
	memory map[Key]request.Prior // granted from memory alone, and not recorded yet
	gaveUp map[request.ID]Key    // refused while a write that holds them may still land

	callID    uint64
	call      object.Op // under way; zero if none
	callAt    time.Time // when it began
	viewAt    time.Time // the view was the platform's at this time
	written   segment   // by the Put under way
	unsure    bool      // read back before the next Put
	lost      bool      // a Put that was not answered may still land
	changed   bool      // the view has: settle all asks
	conflicts int       // in a row
	failures  int       // calls in a row that got no answer
	retryAt   time.Time
	nextWrite time.Time
	wakeAt    time.Time

	out []Action
}

// New returns a shard that has not read the platform yet.
// rng spreads the writes of many processes that conflict.
func New(cfg Config, rng *rand.Rand) *Shard {
	return &Shard{
		rng:    rng,
		cfg:    cfg,
		chain:  chain{cfg: cfg},
		memory: make(map[Key]request.Prior),
		gaveUp: make(map[request.ID]Key),
	}
}

// Configure changes the retention and the window, as the document in force
// states them. Claims that were written keep the end that they have.
func (s *Shard) Configure(retention, window time.Duration) {
	s.cfg.Retention, s.cfg.Window = retention, window
}

// Handle takes an event and returns what is to be done, in order.
func (s *Shard) Handle(now time.Time, ev Event) []Action {
	s.out = nil
	switch ev.Kind {
	case Asked:
		s.asked(now, ev)
	case Moved:
		s.note(entry{Key: ev.Key, Owner: ev.Owner, At: now.UnixMilli(), Until: now.Add(s.cfg.Retention).UnixMilli()})
	case Released:
		s.released(now, ev)
	case Replied:
		s.replied(now, ev.Reply)
	}
	if s.changed {
		s.changed = false
		s.settle(now)
	}
	s.expire(now)
	s.pump(now)
	s.wake(now)
	return s.out
}

func (s *Shard) asked(now time.Time, ev Event) {
	if len(s.asks) >= s.cfg.MaxPending {
		s.refuse(ev.Key, ev.Owner.ID, request.ClaimsFull)
		return
	}
	until := now.Add(s.cfg.Wait)
	if s.failures >= outFailures && now.Before(s.retryAt) {
		until = now // the platform is out: the caller learns it at once
	}
	if !ev.Until.IsZero() && ev.Until.Before(until) {
		until = ev.Until
	}
	a := ask{key: ev.Key, owner: ev.Owner, since: now, until: until, memoryOnly: ev.MemoryOnly}
	if s.decide(now, a) {
		return
	}
	s.asks = append(s.asks, a)
	if s.heldByOther(now, a) {
		s.unsure = true
	}
}

// heldByOther tells whether the view has the ask's key with another request.
func (s *Shard) heldByOther(now time.Time, a ask) bool {
	holder, held := s.chain.holder(now, a.key)
	return held && holder.ID != a.owner.ID
}

// stale tells whether the view is older than the ask. Another process may have
// freed the key since: its request was not run, and a repeat that was sent to
// wait for its answer would wait in vain, for as long as nothing else makes
// this process read the platform.
func (s *Shard) stale(now time.Time, a ask) bool {
	return s.viewAt.Before(a.since) && now.Before(a.until)
}

// released frees a key whose request was not run, so that a repeat of the call
// may run. A release that is lost leaves the key taken for the retention: the
// repeat is then refused, never run twice.
func (s *Shard) released(now time.Time, ev Event) {
	for i, a := range s.asks {
		if a.owner.ID == ev.Owner.ID {
			s.asks = slices.Delete(s.asks, i, i+1)
			s.forgetMemory(a)
			break
		}
	}
	s.free(now, ev.Key, ev.Owner)
}

func (s *Shard) free(now time.Time, k Key, owner request.Prior) {
	s.note(entry{Key: k, Owner: owner, At: now.UnixMilli(), Freed: true})
}

func (s *Shard) note(e entry) {
	if len(s.notes) < s.cfg.MaxPending {
		s.notes = append(s.notes, e)
	}
}

// settle answers the asks that the view decides.
func (s *Shard) settle(now time.Time) {
	s.takeNote(now)
	s.asks = slices.DeleteFunc(s.asks, func(a ask) bool { return s.decide(now, a) })
}

// decide answers one ask if it can.
func (s *Shard) decide(now time.Time, a ask) bool {
	holder, held := s.chain.holder(now, a.key)
	inMemory, remembered := s.memory[a.key]
	switch {
	case a.granted && held:
		s.forgetMemory(a)
		if holder.ID != a.owner.ID {
			s.emit(Action{Kind: Overlap, Key: a.key, Request: a.owner.ID, Owner: holder})
		}
		return true
	case a.granted:
		return false
	case held && holder.ID == a.owner.ID:
		s.emit(Action{Kind: Granted, Key: a.key, Request: a.owner.ID, Owner: holder})
		return true
	case held && s.stale(now, a):
		return false
	case held:
		s.taken(a, holder)
		return true
	case remembered:
		s.taken(a, inMemory)
		return true
	}
	return false
}

func (s *Shard) forgetMemory(a ask) {
	if a.granted {
		delete(s.memory, a.key)
	}
}

func (s *Shard) taken(a ask, holder request.Prior) {
	s.emit(Action{Kind: Taken, Key: a.key, Request: a.owner.ID, Owner: holder})
}

// takeNote reports broken chains, and frees the keys of claims that landed
// after their askers had been refused.
func (s *Shard) takeNote(now time.Time) {
	for _, v := range s.chain.broken {
		s.emit(Action{Kind: Violated, Violation: v})
	}
	s.chain.broken = nil
	for _, e := range s.chain.applied {
		if _, ok := s.gaveUp[e.Owner.ID]; ok && !e.Freed {
			delete(s.gaveUp, e.Owner.ID)
			s.free(now, e.Key, e.Owner)
		}
	}
	s.chain.applied = nil
}

// expire ends asks that have waited long enough: the platform is out or slow.
// The document has chosen what happens then.
func (s *Shard) expire(now time.Time) {
	kept := s.asks[:0]
	for _, a := range s.asks {
		if a.granted || now.Before(a.until) {
			kept = append(kept, a)
			continue
		}
		if s.decide(now, a) {
			continue
		}
		if !a.memoryOnly {
			s.giveUp(a)
			continue
		}
		a.granted = true
		s.memory[a.key] = a.owner
		s.emit(Action{Kind: Granted, Key: a.key, Request: a.owner.ID, Owner: a.owner, MemoryOnly: true})
		kept = append(kept, a)
	}
	s.asks = kept
}

func (s *Shard) giveUp(a ask) {
	if (s.call == object.Put || s.lost) && len(s.gaveUp) < s.cfg.MaxPending {
		s.gaveUp[a.owner.ID] = a.key
	}
	s.refuse(a.key, a.owner.ID, request.ClaimUnavailable)
}

func (s *Shard) refuse(k Key, id request.ID, reason request.Reason) {
	s.emit(Action{Kind: Refuse, Key: k, Request: id, Reason: reason, RetryAfter: s.cfg.RetryAfter})
}

// pump makes the next call to the platform. There is one at a time.
func (s *Shard) pump(now time.Time) {
	if s.call != 0 || now.Before(s.retryAt) || !s.hasWork() {
		return
	}
	switch {
	case !s.chain.loaded:
		s.begin(now, object.Call{Op: object.List, Key: s.cfg.prefix(), Cause: CauseLoad})
	case s.unsure:
		s.begin(now, object.Call{Op: object.Get, Key: s.chain.key(), Cause: CauseRead})
	case !now.Before(s.nextWrite):
		s.write(now)
	}
}

// hasWork counts refused asks too: until another write has moved the version
// on, theirs may land and would hold their keys for nobody.
func (s *Shard) hasWork() bool {
	return len(s.asks)+len(s.notes)+len(s.gaveUp) > 0
}

func (s *Shard) begin(now time.Time, c object.Call) {
	s.callID++
	s.call, s.callAt = c.Op, now
	c.ID = s.callID
	s.emit(Action{Kind: Call, Call: c})
}

// write adds all that waits to the open segment. The condition on the version
// is the whole safeguard against two processes that claim one key at once:
// both write this object, expecting the same version of it.
func (s *Shard) write(now time.Time) {
	if s.chain.full(now) {
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
	s.written = next
	s.nextWrite = now.Add(s.cfg.Window)
	s.begin(now, object.Call{
		Op: object.Put, Key: s.chain.key(), Version: s.chain.version, Value: value, Cause: CauseWrite,
	})
}

func (s *Shard) batch(now time.Time) []entry {
	var batch []entry
	s.notes = slices.DeleteFunc(s.notes, func(n entry) bool { return !n.Freed && !s.holds(now, n) })
	batch = append(batch, s.notes[:min(len(s.notes), s.cfg.MaxBatch)]...)
	until := now.Add(s.cfg.Retention).UnixMilli()
	taken := make(map[Key]struct{})
	for _, a := range s.asks {
		if _, ok := taken[a.key]; ok || len(batch) >= 2*s.cfg.MaxBatch {
			continue
		}
		if s.heldByOther(now, a) {
			continue // it waits for a newer view
		}
		taken[a.key] = struct{}{}
		batch = append(batch, entry{Key: a.key, Owner: a.owner, At: now.UnixMilli(), Until: until})
	}
	return batch
}

// holds tells whether the note's request still has its key. A move that is
// noted for another one would take the key away from it.
func (s *Shard) holds(now time.Time, n entry) bool {
	holder, held := s.chain.holder(now, n.Key)
	return held && holder.ID == n.Owner.ID
}

func (s *Shard) refuseAll(reason request.Reason) {
	kept := s.asks[:0]
	for _, a := range s.asks {
		if a.granted {
			kept = append(kept, a)
			continue
		}
		s.refuse(a.key, a.owner.ID, reason)
	}
	s.asks = kept
}

func (s *Shard) emit(a Action) {
	s.out = append(s.out, a)
}

func (s *Shard) wake(now time.Time) {
	var at time.Time
	note := func(t time.Time) {
		if t.After(now) && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	for _, a := range s.asks {
		if !a.granted {
			note(a.until)
		}
	}
	if s.call == 0 && s.hasWork() {
		note(s.retryAt)
		note(s.nextWrite)
	}
	if !at.IsZero() && !at.Equal(s.wakeAt) {
		s.wakeAt = at
		s.emit(Action{Kind: Wake, At: at})
	}
}
