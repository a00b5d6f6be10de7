package claim

import (
	"cmp"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"wagtailshelf.example/wagtailshelf/internal/record/object"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

// owned is a claim in the index.
type owned struct {
	owner request.Prior
	until time.Time
}

// slot is what is known of an object of the ring.
type slot struct {
	version object.Version
	until   time.Time
}

// chain is this process's view of the shard's segments. The view may lag: then
// its next write is expected to find a version that is gone, and conflicts.
type chain struct {
	cfg     Config
	loaded  bool
	owners  map[Key]owned
	slots   map[object.Key]slot // by object; a missing one has never been written
	head    segment             // the one that is written next
	version object.Version      // of the head's object, maybe from an earlier round of the ring
	applied []entry             // since the last take
	broken  []request.Violation
}

func (c *chain) key() object.Key { return c.cfg.objectKey(c.head.Sequence) }

// load replaces the view by a listing of all objects. The listing may mix
// states of different moments. It is taken only if each segment below the
// newest is sealed, and so final, and none is missing; a claim that was missed
// in a segment below the newest would never be looked at again. It tells
// whether an object cannot be read at all, other than at this moment.
func (c *chain) load(objects []object.Object) (corrupt bool, err error) {
	segments := make([]segment, 0, len(objects))
	slots := make(map[object.Key]slot, len(objects))
	for _, o := range objects {
		s, err := decodeSegment(o.Value)
		if err != nil {
			return true, merry.Prependf(err, "%s", o.Key)
		}
		if c.cfg.objectKey(s.Sequence) != o.Key {
			return true, merry.Wrap(ErrBadSegment, merry.AppendMessagef("sequence %d in %s", s.Sequence, o.Key))
		}
		segments = append(segments, s)
		slots[o.Key] = slot{version: o.Version, until: s.until()}
	}
	slices.SortFunc(segments, func(a, b segment) int { return cmp.Compare(a.Sequence, b.Sequence) })
	if err := c.checkListing(segments); err != nil {
		return false, err
	}
	c.owners, c.slots, c.loaded = make(map[Key]owned), slots, true
	c.head, c.version = segment{Sequence: 1}, 0
	for _, s := range segments {
		c.head = segment{Sequence: s.Sequence}
		c.version = slots[c.key()].version
		c.extend(s)
	}
	return false, nil
}

func (c *chain) checkListing(segments []segment) error {
	for i, s := range segments {
		last := i == len(segments)-1
		if !last && (!s.Sealed || segments[i+1].Sequence != s.Sequence+1) {
			return merry.Wrap(ErrBadSegment, merry.AppendMessagef("segment %d is open or the last before a gap", s.Sequence))
		}
	}
	if len(segments) == 0 {
		return nil
	}
	first, n := segments[0].Sequence, len(segments)
	if first != 1 && n < c.cfg.Segments {
		return merry.Wrap(ErrBadSegment, merry.AppendMessagef("%d segments from %d", n, first))
	}
	return nil
}

// absorb takes note of the current state of the head's object. It fails if the
// view has to be loaded anew, and tells whether the object was news.
func (c *chain) absorb(o object.Object) (news bool, err error) {
	s, err := decodeSegment(o.Value)
	switch {
	case err != nil:
		return false, err
	case o.Version <= c.version:
		return false, nil // a lagging read
	case s.Sequence < c.head.Sequence && len(c.head.Entries) == 0:
		c.version = o.Version
		return true, nil
	case s.Sequence != c.head.Sequence || len(s.Entries) < len(c.head.Entries):
		// The others have gone once around the ring.
		return false, merry.Wrap(ErrBadSegment, merry.AppendMessagef("sequence %d for %d", s.Sequence, c.head.Sequence))
	}
	c.version = o.Version
	c.extend(s)
	return true, nil
}

// extend applies what s has beyond the head, which it replaces.
func (c *chain) extend(s segment) {
	for _, e := range s.Entries[len(c.head.Entries):] {
		c.apply(e)
	}
	c.head = s
	if s.Sealed {
		c.advance()
	}
}

func (c *chain) advance() {
	c.slots[c.key()] = slot{version: c.version, until: c.head.until()}
	c.head = segment{Sequence: c.head.Sequence + 1}
	c.version = c.slots[c.key()].version
}

func (c *chain) apply(e entry) {
	c.applied = append(c.applied, e)
	old, held := c.owners[e.Key]
	if e.Freed {
		if held && old.owner.ID == e.Owner.ID {
			delete(c.owners, e.Key)
		}
		return
	}
	if held && old.owner.ID != e.Owner.ID && !c.expired(old, e.at()) {
		c.broken = append(c.broken, request.Violation{
			Rule: request.ClaimedOnce, ID: e.Owner.ID, Detail: "key " + e.Key.String() + " is held by " + old.owner.ID.String(),
		})
		return
	}
	c.owners[e.Key] = owned{owner: e.Owner, until: e.until()}
}

func (c *chain) expired(o owned, now time.Time) bool {
	return !now.Before(o.until)
}

// holder returns who has the key now.
func (c *chain) holder(now time.Time, k Key) (request.Prior, bool) {
	o, ok := c.owners[k]
	if !ok || c.expired(o, now) {
		return request.Prior{}, false
	}
	return o.owner, true
}

// full tells that the next segment's object still holds claims that count.
func (c *chain) full(now time.Time) bool {
	if len(c.head.Entries) > 0 {
		return false
	}
	old, ok := c.slots[c.key()]
	return ok && now.Before(old.until)
}

// prune forgets claims whose retention is over.
func (c *chain) prune(now time.Time) {
	for k, o := range c.owners {
		if c.expired(o, now) {
			delete(c.owners, k)
		}
	}
}
