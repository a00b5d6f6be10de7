package platform

import (
	"slices"
	"strings"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

// maxRevisions bounds the old states of an object that lagging reads can return.
const maxRevisions = 64

// maxTombstones bounds the deletions that a watch can report.
const maxTombstones = 4096

// revision is one state of an object. A nil value means that it was deleted.
type revision struct {
	version object.Version
	value   []byte
	at      time.Time
}

// store holds the objects and their recent revisions.
type store struct {
	version    object.Version
	objects    map[object.Key][]revision
	tombstones []object.Key
}

func newStore() store {
	return store{objects: make(map[object.Key][]revision)}
}

// at returns the state of an object as it was at time t.
func (s *store) at(key object.Key, t time.Time) (object.Object, bool) {
	revs := s.objects[key]
	for _, rev := range slices.Backward(revs) {
		if rev.at.After(t) {
			continue
		}
		return object.Object{Key: key, Version: rev.version, Value: rev.value}, rev.value != nil
	}
	return object.Object{}, false
}

func (s *store) current(key object.Key) (object.Object, bool) {
	revs := s.objects[key]
	if len(revs) == 0 {
		return object.Object{}, false
	}
	last := revs[len(revs)-1]
	return object.Object{Key: key, Version: last.version, Value: last.value}, last.value != nil
}

// write sets an object's value if its version still is want; a nil value deletes it.
// It returns the object's state afterwards.
func (s *store) write(now time.Time, key object.Key, want object.Version, value []byte) (object.Object, object.Status) {
	cur, ok := s.current(key)
	if !ok {
		cur = object.Object{Key: key}
	}
	if cur.Version != want {
		return cur, object.Conflict
	}
	if !ok && value == nil {
		return cur, object.NotFound
	}
	s.version++
	s.append(key, revision{version: s.version, value: value, at: now})
	if value == nil {
		s.addTombstone(key)
	}
	return object.Object{Key: key, Version: s.version, Value: value}, object.Done
}

func (s *store) append(key object.Key, rev revision) {
	revs := append(s.objects[key], rev)
	if len(revs) > maxRevisions {
		revs = slices.Clone(revs[len(revs)-maxRevisions:])
	}
	s.objects[key] = revs
}

// addTombstone records a deletion, and drops the oldest one above maxTombstones.
func (s *store) addTombstone(key object.Key) {
	s.tombstones = append(s.tombstones, key)
	if len(s.tombstones) <= maxTombstones {
		return
	}
	oldest := s.tombstones[0]
	s.tombstones = s.tombstones[1:]
	if _, ok := s.current(oldest); !ok {
		delete(s.objects, oldest)
	}
}

// list returns the objects with a key prefix as they were at time t, sorted by key.
func (s *store) list(prefix object.Key, t time.Time) []object.Object {
	var objs []object.Object
	for key := range s.objects {
		if !strings.HasPrefix(string(key), string(prefix)) {
			continue
		}
		if obj, ok := s.at(key, t); ok {
			objs = append(objs, obj)
		}
	}
	slices.SortFunc(objs, func(a, b object.Object) int { return strings.Compare(string(a.Key), string(b.Key)) })
	return objs
}

// changedSince returns the objects with a key prefix whose version is above since, as
// they were at time t, sorted by version. Deleted ones have a nil value.
func (s *store) changedSince(prefix object.Key, since object.Version, t time.Time) []object.Object {
	var objs []object.Object
	for key := range s.objects {
		if !strings.HasPrefix(string(key), string(prefix)) {
			continue
		}
		obj, _ := s.at(key, t)
		if obj.Version > since {
			objs = append(objs, obj)
		}
	}
	slices.SortFunc(objs, func(a, b object.Object) int { return int(a.Version) - int(b.Version) })
	return objs
}
