package claim

import (
	"cmp"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"wagtailshelf.example/wagtailshelf/internal/record/object"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

// ownership is the current claim of a key.
type ownership struct {
	owner request.Prior
	until time.Time
}

// ringObject is the view of one object of the ring.
type ringObject struct {
	version object.Version
	until   time.Time
}

// chain is this process's view of the shard's segments. The view may lag. Then
// the next write expects an outdated version and gets a conflict.
type chain struct {
	cfg        Config
	loaded     bool
	owners     map[Key]ownership
	ring       map[object.Key]ringObject // an object that is missing here has never been written
	head       segment                   // the segment that the next write goes to
	version    object.Version            // of the head's object; may stem from an earlier round of the ring
	applied    []entry                   // entries applied since Shard.processApplied ran last
	violations []request.Violation
}

func (c *chain) objectKey() object.Key { return c.cfg.objectKey(c.head.Sequence) }

// load replaces the view by a listing of all objects. The listing may mix the
// states of different moments. It is accepted only if every segment before the
// newest is sealed, and so final, and none is missing: a claim that was missed
// in a segment before the newest would never be read again. corrupt reports
// that an object is invalid in itself, which reading again would not change.
func (c *chain) load(objects []object.Object) (corrupt bool, err error) {
	segments := make([]segment, 0, len(objects))
	ring := make(map[object.Key]ringObject, len(objects))
	for _, o := range objects {
		s, err := decodeSegment(o.Value)
		if err != nil {
			return true, merry.Prependf(err, "%s", o.Key)
		}
		if c.cfg.objectKey(s.Sequence) != o.Key {
			return true, merry.Wrap(ErrBadSegment, merry.AppendMessagef("sequence %d in %s", s.Sequence, o.Key))
		}
		segments = append(segments, s)
		ring[o.Key] = ringObject{version: o.Version, until: s.until()}
	}
	slices.SortFunc(segments, func(a, b segment) int { return cmp.Compare(a.Sequence, b.Sequence) })
	if err := c.checkListing(segments); err != nil {
		return false, err
	}
	c.owners, c.ring, c.loaded = make(map[Key]ownership), ring, true
	c.head, c.version = segment{Sequence: 1}, 0
	for _, s := range segments {
		c.head = segment{Sequence: s.Sequence}
		c.version = ring[c.objectKey()].version
		c.extend(s)
	}
	return false, nil
}

func (c *chain) checkListing(segments []segment) error {
	for i, s := range segments {
		last := i == len(segments)-1
		if !last && (!s.Sealed || segments[i+1].Sequence != s.Sequence+1) {
			return merry.Wrap(ErrBadSegment, merry.AppendMessagef("segment %d is not sealed or is followed by a gap", s.Sequence))
		}
	}
	if len(segments) == 0 {
		return nil
	}
	first, n := segments[0].Sequence, len(segments)
	if first != 1 && n < c.cfg.Segments {
		return merry.Wrap(ErrBadSegment, merry.AppendMessagef("only %d segments, starting at %d", n, first))
	}
	return nil
}

// update applies the current state of the head's object. It fails if the view
// has to be loaded again. changed reports whether the object was newer than the
// view.
func (c *chain) update(o object.Object) (changed bool, err error) {
	s, err := decodeSegment(o.Value)
	switch {
	case err != nil:
		return false, err
	case o.Version <= c.version:
		return false, nil // the read lagged behind the view
	case s.Sequence < c.head.Sequence && len(c.head.Entries) == 0:
		c.version = o.Version
		return true, nil
	case s.Sequence != c.head.Sequence || len(s.Entries) < len(c.head.Entries):
		// Other processes have written a whole round of the ring meanwhile.
		return false, merry.Wrap(ErrBadSegment, merry.AppendMessagef("sequence %d instead of %d", s.Sequence, c.head.Sequence))
	}
	c.version = o.Version
	c.extend(s)
	return true, nil
}

// extend applies the entries of s that the head lacks, and makes s the head.
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
	c.ring[c.objectKey()] = ringObject{version: c.version, until: c.head.until()}
	c.head = segment{Sequence: c.head.Sequence + 1}
	c.version = c.ring[c.objectKey()].version
}

func (c *chain) apply(e entry) {
	c.applied = append(c.applied, e)
	old, owned := c.owners[e.Key]
	if e.Freed {
		if owned && old.owner.ID == e.Owner.ID {
			delete(c.owners, e.Key)
		}
		return
	}
	if owned && old.owner.ID != e.Owner.ID && !c.expired(old, e.at()) {
		c.violations = append(c.violations, request.Violation{
			Invariant: request.ClaimedOnce, ID: e.Owner.ID, Detail: "key " + e.Key.String() + " is owned by " + old.owner.ID.String(),
		})
		return
	}
	c.owners[e.Key] = ownership{owner: e.Owner, until: e.until()}
}

func (c *chain) expired(o ownership, now time.Time) bool {
	return !now.Before(o.until)
}

// owner returns the request that owns the key now.
func (c *chain) owner(now time.Time, k Key) (request.Prior, bool) {
	o, ok := c.owners[k]
	if !ok || c.expired(o, now) {
		return request.Prior{}, false
	}
	return o.owner, true
}

// ringFull reports whether the next write would overwrite claims of the previous
// round of the ring that have not expired.
func (c *chain) ringFull(now time.Time) bool {
	if len(c.head.Entries) > 0 {
		return false
	}
	old, ok := c.ring[c.objectKey()]
	return ok && now.Before(old.until)
}

// prune removes claims whose retention is over.
func (c *chain) prune(now time.Time) {
	for k, o := range c.owners {
		if c.expired(o, now) {
			delete(c.owners, k)
		}
	}
}
