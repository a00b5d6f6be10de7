package acceptance

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/lease"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

// shelf is the platform's object service with faults.
type shelf struct {
	w       *world
	objects map[object.Key]object.Object
	older   map[object.Key]object.Object // the state before the last write
	version object.Version
	calls   int
	callsBy map[object.Cause]int
	out     bool
	mute    bool // watches show nothing

	loseAnswer func(c object.Call) bool          // the call takes effect, its answer is lost
	lagging    func(c object.Call) bool          // the read shows the state before the last write
	slow       func(c object.Call) time.Duration // how late the call arrives
	writers    map[lease.Fence]string            // whose acceptances took effect, by fence
}

func newShelf(w *world) *shelf {
	return &shelf{
		w: w, objects: map[object.Key]object.Object{}, older: map[object.Key]object.Object{},
		callsBy: map[object.Cause]int{}, writers: map[lease.Fence]string{},
	}
}

func (s *shelf) store(key object.Key, value []byte) object.Version {
	s.version++
	s.older[key] = s.objects[key]
	s.objects[key] = object.Object{Key: key, Version: s.version, Value: bytes.Clone(value)}
	if key.Kind() == DocumentKind && !s.mute {
		s.notify(s.objects[key])
	}
	return s.version
}

// notify shows a new document to those that watch, a little later.
func (s *shelf) notify(o object.Object) {
	for _, n := range s.w.nodes {
		gen := n.id.Incarnation
		s.w.after(5*time.Millisecond, func() {
			if n.p != nil && n.id.Incarnation == gen && !n.cutOff && !s.out {
				s.w.feed(n, Event{Kind: Observed, Object: o})
			}
		})
	}
}

// call carries out a call after a few milliseconds and answers after a few more.
func (s *shelf) call(n *node, c object.Call) {
	s.calls++
	s.callsBy[c.Cause]++
	life := n.id.Incarnation
	answer := func(d time.Duration, r object.Reply) {
		r.ID, r.Op = c.ID, c.Op
		s.w.after(d, func() {
			if n.p != nil && n.id.Incarnation == life {
				s.w.feed(n, Event{Kind: Answer, Reply: r})
			}
		})
	}
	if s.out || n.cutOff {
		answer(800*time.Millisecond, object.Reply{Status: object.Unknown})
		return
	}
	arrive := 2*time.Millisecond + time.Duration(s.w.rng.Int64N(int64(2*time.Millisecond)))
	if s.slow != nil {
		arrive += s.slow(c)
	}
	writer := fmt.Sprintf("%s life %d", n.id.Name, life)
	lost := s.loseAnswer != nil && s.loseAnswer(c)
	s.w.after(arrive, func() {
		r := s.carryOut(writer, c)
		if lost || arrive > 800*time.Millisecond {
			r = object.Reply{Status: object.Unknown}
		}
		answer(2*time.Millisecond, r)
	})
}

func (s *shelf) carryOut(writer string, c object.Call) object.Reply {
	switch c.Op {
	case object.Get:
		return s.get(c)
	case object.List:
		return s.list(c)
	}
	now := s.objects[c.Key]
	if now.Version != c.Version {
		return object.Reply{Status: object.Conflict, Object: now}
	}
	if c.Op == object.Delete {
		delete(s.objects, c.Key)
		return object.Reply{Status: object.Done}
	}
	s.audit(writer, c, now)
	v := s.store(c.Key, c.Value)
	return object.Reply{Status: object.Done, Object: object.Object{Key: c.Key, Version: v}}
}

// audit asserts what the platform's own objects must show.
func (s *shelf) audit(writer string, c object.Call, before object.Object) {
	switch c.Key.Kind() {
	case AcceptanceKind:
		rec, err := DecodeRecord(object.Object{Key: c.Key, Value: c.Value})
		if err != nil {
			s.w.t.Fatalf("a record that cannot be read is written: %v", err)
		}
		if other, ok := s.writers[rec.Fence]; ok && other != writer {
			s.w.t.Fatalf("two writers under fence %d: %s and %s", rec.Fence, other, writer)
		}
		s.writers[rec.Fence] = writer
		if before.Version == 0 {
			return
		}
		old, _ := DecodeRecord(before)
		if rec.Entry.Number < old.Entry.Number || rec.Fence < old.Fence {
			s.w.t.Fatalf("the record of %s goes back", c.Key)
		}
	case LeaseKey.Kind():
		rec, _ := lease.Decode(c.Value)
		old, _ := lease.Decode(before.Value)
		if before.Version > 0 && rec.Fence < old.Fence {
			s.w.t.Fatalf("the fence falls from %d to %d", old.Fence, rec.Fence)
		}
	}
}

func (s *shelf) get(c object.Call) object.Reply {
	o, ok := s.objects[c.Key]
	if s.lagging != nil && s.lagging(c) {
		o, ok = s.older[c.Key], s.older[c.Key].Version > 0
	}
	if !ok {
		return object.Reply{Status: object.NotFound}
	}
	return object.Reply{Status: object.Done, Object: o}
}

func (s *shelf) list(c object.Call) object.Reply {
	var out []object.Object
	for key, o := range s.objects {
		if !strings.HasPrefix(string(key), string(c.Key)) {
			continue
		}
		if s.lagging != nil && s.lagging(c) {
			o = s.older[key]
		}
		if o.Version > 0 {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b object.Object) int { return strings.Compare(string(a.Key), string(b.Key)) })
	return object.Reply{Status: object.Done, Objects: out}
}
