package claim

import (
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/record/object"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

// replied processes the reply to the current platform call. A reply to any other
// call is late and ignored: the adapter has already ended that call as Unknown.
func (s *Shard) replied(now time.Time, r object.Reply) {
	if s.callOp == 0 || r.ID != s.callID {
		return
	}
	op := s.callOp
	s.callOp = 0
	s.failures++
	if r.Status != object.Unknown && r.Status != object.Refused {
		s.failures = 0
	}
	switch op {
	case object.List:
		s.listReplied(now, r)
	case object.Get:
		s.getReplied(now, r)
	case object.Put:
		s.putReplied(now, r)
	}
}

func (s *Shard) listReplied(now time.Time, r object.Reply) {
	if r.Status != object.Done {
		s.backOff(now)
		return
	}
	corrupt, err := s.chain.load(r.Objects)
	if err != nil {
		s.backOff(now)
	}
	s.viewAt = s.callBegan
	if corrupt {
		s.emit(Action{Kind: Corrupt, Err: err})
	}
	s.viewChanged = true
}

func (s *Shard) putReplied(now time.Time, r object.Reply) {
	switch r.Status {
	case object.Done:
		s.landed(now, r.Object.Version)
	case object.Conflict:
		s.conflicted(now)
		if len(r.Object.Value) == 0 {
			s.mustRead = true // the reply lacks the current value, so read it
			return
		}
		s.updateView(r.Object)
	case object.NotFound:
		s.chain.loaded = false
	case object.Unknown:
		// The write may have taken effect, or may still do so. No claim is
		// decided before the object is read again. If the write has not taken
		// effect by then, the next write expects the same version, so at most
		// one of the two succeeds.
		s.mustRead, s.putMayLand = true, true
		s.backOff(now)
	default:
		s.backOff(now)
	}
}

// conflicted lets the next write begin before the window is over. The claims
// have already waited for one window, and if they waited for another, the other
// processes would write first each time. After several conflicts a random pause
// follows, since without it many processes would conflict again and again.
func (s *Shard) conflicted(now time.Time) {
	s.conflicts++
	s.nextWrite = now
	if s.conflicts <= conflictsWithoutPause {
		return
	}
	maxPause := min(s.cfg.Window, firstPause<<min(s.conflicts-conflictsWithoutPause, maxDoublings))
	if maxPause > 0 {
		s.nextWrite = now.Add(time.Duration(s.rng.Int64N(int64(maxPause))))
	}
}

func (s *Shard) landed(now time.Time, v object.Version) {
	s.conflicts = 0
	s.viewAt = s.callBegan
	sealed := s.putSegment.Sealed
	s.chain.version = v
	s.chain.extend(s.putSegment)
	s.headChanged()
	if sealed {
		s.chain.prune(now)
	}
}

func (s *Shard) getReplied(now time.Time, r object.Reply) {
	switch r.Status {
	case object.Done:
		s.mustRead = false
		s.updateView(r.Object)
		s.viewRefreshed()
	case object.NotFound:
		s.mustRead = false
		s.chain.loaded = s.chain.version == 0
		s.viewRefreshed()
	default:
		s.backOff(now)
	}
}

// updateView applies a write of another process, or a write of this process
// whose reply was lost.
func (s *Shard) updateView(o object.Object) {
	changed, err := s.chain.update(o)
	if err != nil {
		s.chain.loaded = false
		return
	}
	if changed {
		s.headChanged()
		s.mustRead = len(s.chain.head.Entries) == 0 // the segment was sealed, so read the next one
	}
}

// viewRefreshed marks the view as current at the start of the call, so that claims
// which wait for a view not older than themselves are decided.
func (s *Shard) viewRefreshed() {
	if s.mustRead || !s.chain.loaded {
		return
	}
	s.viewAt = s.callBegan
	s.viewChanged = true
}

// headChanged records that the version of the head's object has changed. Writes
// with an unknown outcome expected the old version, so none of them can take
// effect any more.
func (s *Shard) headChanged() {
	s.viewChanged, s.putMayLand = true, false
	s.dropWritten()
	s.dropGivenUp()
}

// dropWritten removes the releases and moves that the chain has now.
func (s *Shard) dropWritten() {
	for _, e := range s.chain.applied {
		s.unwritten = slices.DeleteFunc(s.unwritten, func(n entry) bool { return n.Owner == e.Owner && n.Freed == e.Freed })
	}
}

// dropGivenUp removes the refused claims that no pending write can record any
// more. Those that the chain has stay until processApplied has freed their keys.
func (s *Shard) dropGivenUp() {
	kept := make(map[request.ID]Key)
	for _, e := range s.chain.applied {
		if k, ok := s.givenUp[e.Owner.ID]; ok {
			kept[e.Owner.ID] = k
		}
	}
	s.givenUp = kept
}

func (s *Shard) backOff(now time.Time) {
	s.retryAt = now.Add(s.cfg.Backoff)
}
