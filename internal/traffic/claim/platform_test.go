package claim_test

import (
	"maps"
	"slices"
	"strings"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

// t0 is the arbitrary start time of the tests.
var t0 = time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)

// store is a stand-in for the platform's store: writes are conditional, and
// versions rise.
type store struct {
	version  object.Version
	objects  map[object.Key]object.Object
	previous map[object.Key]object.Object // the state of each object before its last write
	lagging  func() bool                  // called for each object read: return the previous state
	writes   int
	refused  int // writes that conflicted
	bytes    int
}

func newStore() *store {
	return &store{
		objects:  make(map[object.Key]object.Object),
		previous: make(map[object.Key]object.Object),
		lagging:  func() bool { return false },
	}
}

func (s *store) do(c object.Call) object.Reply {
	r := object.Reply{ID: c.ID, Op: c.Op, Status: object.Done}
	switch c.Op {
	case object.Get:
		o := s.read(c.Key)
		if o.Version == 0 {
			r.Status = object.NotFound
		}
		r.Object = o
	case object.List:
		for _, k := range slices.Sorted(maps.Keys(s.objects)) {
			if o := s.read(k); o.Version > 0 && strings.HasPrefix(string(k), string(c.Key)) {
				r.Objects = append(r.Objects, o)
			}
		}
	case object.Put:
		s.put(c, &r)
	}
	return r
}

func (s *store) read(k object.Key) object.Object {
	if s.lagging() {
		return s.previous[k]
	}
	return s.objects[k]
}

func (s *store) put(c object.Call, r *object.Reply) {
	s.writes++
	s.bytes += len(c.Value)
	old := s.objects[c.Key]
	if old.Version != c.Version {
		s.refused++
		r.Status = object.Conflict
		r.Object = old
		return
	}
	s.version++
	r.Object = object.Object{Key: c.Key, Version: s.version, Value: slices.Clone(c.Value)}
	s.previous[c.Key] = old
	s.objects[c.Key] = r.Object
}
