package claim_test

import (
	"slices"
	"strings"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

// t0 is a moment like any other.
var t0 = time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)

// store is the platform's state: conditional writes with rising versions.
type store struct {
	version object.Version
	objects map[object.Key]object.Object
	writes  int
	refused int // writes that conflicted
	bytes   int
}

func newStore() *store {
	return &store{objects: make(map[object.Key]object.Object)}
}

func (s *store) do(c object.Call) object.Reply {
	r := object.Reply{ID: c.ID, Op: c.Op, Status: object.Done}
	switch c.Op {
	case object.Get:
		o, ok := s.objects[c.Key]
		if !ok {
			r.Status = object.NotFound
		}
		r.Object = o
	case object.List:
		for k, o := range s.objects {
			if strings.HasPrefix(string(k), string(c.Key)) {
				r.Objects = append(r.Objects, o)
			}
		}
		slices.SortFunc(r.Objects, func(a, b object.Object) int { return strings.Compare(string(a.Key), string(b.Key)) })
	case object.Put:
		s.put(c, &r)
	}
	return r
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
	s.objects[c.Key] = r.Object
}
