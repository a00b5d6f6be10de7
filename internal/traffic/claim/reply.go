package claim

import (
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/record/object"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

// replied takes the end of the call under way. Others are late: the adapter
// has ended their calls as Unknown before.
func (s *Shard) replied(now time.Time, r object.Reply) {
	if s.call == 0 || r.ID != s.callID {
		return
	}
	op := s.call
	s.call = 0
	s.failures++
	if r.Status != object.Unknown && r.Status != object.Refused {
		s.failures = 0
	}
	switch op {
	case object.List:
		s.listed(now, r)
	case object.Get:
		s.readBack(now, r)
	case object.Put:
		s.put(now, r)
	}
}

func (s *Shard) listed(now time.Time, r object.Reply) {
	if r.Status != object.Done {
		s.backOff(now)
		return
	}
	corrupt, err := s.chain.load(r.Objects)
	if err != nil {
		s.backOff(now)
	}
	s.viewAt = s.callAt
	if corrupt {
		s.emit(Action{Kind: Corrupt, Err: err})
	}
	s.changed = true
}

func (s *Shard) put(now time.Time, r object.Reply) {
	switch r.Status {
	case object.Done:
		s.landed(now, r.Object.Version)
	case object.Conflict:
		s.conflicted(now)
		if len(r.Object.Value) == 0 {
			s.unsure = true // read what is there
			return
		}
		s.absorb(r.Object)
	case object.NotFound:
		s.chain.loaded = false
	case object.Unknown:
		// The write may have taken effect, or may yet do so. Nobody is
		// answered before it is read back. If it has not shown by then, the
		// next write expects the same version, so at most one of them lands.
		s.unsure, s.lost = true, true
		s.backOff(now)
	default:
		s.backOff(now)
	}
}

// conflicted lets the next write begin early. The window has been waited for
// already; waiting again would let the other processes win each time. Many
// processes, on the other hand, would meet again and again without a pause.
func (s *Shard) conflicted(now time.Time) {
	s.conflicts++
	s.nextWrite = now
	if s.conflicts <= freeConflicts {
		return
	}
	longest := min(s.cfg.Window, firstPause<<min(s.conflicts-freeConflicts, maxDoublings))
	if longest > 0 {
		s.nextWrite = now.Add(time.Duration(s.rng.Int64N(int64(longest))))
	}
}

func (s *Shard) landed(now time.Time, v object.Version) {
	s.conflicts = 0
	s.viewAt = s.callAt
	sealed := s.written.Sealed
	s.chain.version = v
	s.chain.extend(s.written)
	s.moved()
	if sealed {
		s.chain.prune(now)
	}
}

func (s *Shard) readBack(now time.Time, r object.Reply) {
	switch r.Status {
	case object.Done:
		s.unsure = false
		s.absorb(r.Object)
		s.viewed()
	case object.NotFound:
		s.unsure = false
		s.chain.loaded = s.chain.version == 0
		s.viewed()
	default:
		s.backOff(now)
	}
}

// absorb takes in what another process wrote, or a write of this one whose
// answer was lost.
func (s *Shard) absorb(o object.Object) {
	news, err := s.chain.absorb(o)
	if err != nil {
		s.chain.loaded = false
		return
	}
	if news {
		s.moved()
		s.unsure = len(s.chain.head.Entries) == 0 // it was sealed: read on in the next one
	}
}

// viewed settles asks that wait for a view that is not older than they are.
func (s *Shard) viewed() {
	if s.unsure || !s.chain.loaded {
		return
	}
	s.viewAt = s.callAt
	s.changed = true
}

// moved takes note that the head's version has changed. Lost writes expected
// the old one, so none of them can land any more.
func (s *Shard) moved() {
	s.changed, s.lost = true, false
	s.dropNotes()
	s.dropGivenUp()
}

// dropNotes removes the notes that the chain has.
func (s *Shard) dropNotes() {
	for _, e := range s.chain.applied {
		s.notes = slices.DeleteFunc(s.notes, func(n entry) bool { return n.Owner == e.Owner && n.Freed == e.Freed })
	}
}

// dropGivenUp forgets refused asks once no write that holds them is left.
// Those that the chain has are freed first.
func (s *Shard) dropGivenUp() {
	kept := make(map[request.ID]Key)
	for _, e := range s.chain.applied {
		if k, ok := s.gaveUp[e.Owner.ID]; ok {
			kept[e.Owner.ID] = k
		}
	}
	s.gaveUp = kept
}

func (s *Shard) backOff(now time.Time) {
	s.retryAt = now.Add(s.cfg.Backoff)
}
