package watch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wagtailshelf.example/wagtailshelf/internal/record/object"
	"wagtailshelf.example/wagtailshelf/internal/record/watch"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func follower(seed uint64) *watch.Follower {
	return watch.New(watch.Config{Prefix: "documents/", Cause: "test"}, rand.New(rand.NewPCG(seed, 0)))
}

func ExampleFollower() {
	f := follower(1)
	show := func(actions []watch.Action) {
		for _, a := range actions {
			switch a.Kind {
			case watch.Read:
				fmt.Println("read", a.Call.Key)
			case watch.Watch:
				fmt.Println("watch since", a.Since)
			case watch.Changed:
				fmt.Printf("changed %s to %q\n", a.Objects[0].Key, a.Objects[0].Value)
			case watch.ReadSucceeded:
				fmt.Println("current")
			}
		}
	}
	obj := object.Object{Key: "documents/agenda", Version: 7, Value: []byte("one")}
	show(f.Handle(start, watch.Event{Kind: watch.Tick}))
	show(f.Handle(start, watch.Event{Kind: watch.ReadDone, Reply: object.Reply{Status: object.Done, Objects: []object.Object{obj}}}))
	show(f.Handle(f.Deadline(), watch.Event{Kind: watch.Tick}))
	show(f.Handle(start, watch.Event{Kind: watch.WatchDone, Next: 7}))
	// Output:
	// read documents/
	// changed documents/agenda to "one"
	// current
	// watch since 7
	// read documents/
}

// model is a platform whose reads and watches lag by a number of writes. In the
// test, watches also miss events and responses get lost.
type model struct {
	states  []map[object.Key]object.Object // after each write
	changes []object.Object                // one for each write
}

func newModel() *model {
	return &model{states: []map[object.Key]object.Object{{}}}
}

func (m *model) write(key object.Key, deletes bool) {
	next := make(map[object.Key]object.Object)
	for k, o := range m.states[len(m.states)-1] {
		next[k] = o
	}
	obj := object.Object{Key: key, Version: object.Version(len(m.states)), Value: []byte{1}}
	next[key] = obj
	if deletes {
		obj.Value = nil
		delete(next, key)
	}
	m.states = append(m.states, next)
	m.changes = append(m.changes, obj)
}

func (m *model) read(lag int) []object.Object {
	var objs []object.Object
	for _, o := range m.states[max(0, len(m.states)-1-lag)] {
		objs = append(objs, o)
	}
	return objs
}

func (m *model) since(v object.Version, lag int) []object.Object {
	last := make(map[object.Key]object.Object)
	for _, o := range m.changes[:max(0, len(m.changes)-lag)] {
		if o.Version > v {
			last[o.Key] = o
		}
	}
	var objs []object.Object
	for _, o := range last {
		objs = append(objs, o)
	}
	return objs
}

// view is the state that the follower's user derives from the reported changes.
type view struct {
	t        *rapid.T
	versions map[object.Key]object.Version
	live     map[object.Key]bool
	calls    int
}

func (v *view) apply(objs []object.Object) {
	for _, o := range objs {
		require.GreaterOrEqual(v.t, o.Version, v.versions[o.Key], "the version of %s falls", o.Key)
		v.versions[o.Key] = o.Version
		v.live[o.Key] = o.Value != nil
	}
}

// Reads lag and return older objects after newer ones, watches miss events, and
// calls fail. The reported version of an object must never fall. Once the faults
// end, the user's view must match the platform within twice the confirm time and
// the longest wait, with at most two calls in each pause.
func TestFollowerUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := follower(rapid.Uint64().Draw(t, "seed"))
		m := newModel()
		v := &view{t: t, versions: map[object.Key]object.Version{}, live: map[object.Key]bool{}}
		now := start
		round := func(faulty bool) {
			ev, pending := handle(t, f, m, v, now, watch.Event{Kind: watch.Tick}, faulty)
			for pending {
				now = now.Add(10 * time.Millisecond)
				ev, pending = handle(t, f, m, v, now, ev, faulty)
			}
			now = f.Deadline()
		}
		for range rapid.IntRange(1, 60).Draw(t, "rounds") {
			if rapid.Bool().Draw(t, "writes") {
				key := object.Key(fmt.Sprintf("documents/%d", rapid.IntRange(0, 3).Draw(t, "key")))
				_, exists := m.states[len(m.states)-1][key]
				m.write(key, exists && rapid.Bool().Draw(t, "deletes"))
			}
			round(true)
		}
		healthy, before := now, v.calls
		for now.Sub(healthy) < 2*watch.DefaultConfirm+2*watch.DefaultMaxWait {
			round(false)
		}
		truth := m.states[len(m.states)-1]
		for key, live := range v.live {
			_, exists := truth[key]
			assert.Equal(t, exists, live, "%s", key)
		}
		for key, o := range truth {
			assert.Equal(t, o.Version, v.versions[key], "%s", key)
		}
		cycles := int(now.Sub(healthy)/watch.DefaultPause) + 2
		assert.LessOrEqual(t, v.calls-before, 2*cycles)
	})
}

// handle passes one event to the follower. If the follower makes a call, handle
// returns the event that ends it.
func handle(t *rapid.T, f *watch.Follower, m *model, v *view, now time.Time, ev watch.Event, faulty bool) (next watch.Event, pending bool) {
	lag, fails := 0, false
	if faulty {
		lag = rapid.IntRange(0, 3).Draw(t, "lag")
		fails = rapid.IntRange(0, 4).Draw(t, "fails") == 0
	}
	for _, a := range f.Handle(now, ev) {
		switch a.Kind {
		case watch.Changed:
			v.apply(a.Objects)
		case watch.Read:
			v.calls++
			next, pending = watch.Event{Kind: watch.ReadDone, Reply: object.Reply{Status: object.Unknown}}, true
			if !fails {
				next.Reply = object.Reply{Status: object.Done, Objects: m.read(lag)}
			}
		case watch.Watch:
			v.calls++
			next, pending = watch.Event{Kind: watch.WatchDone, Failed: fails, Next: a.Since}, true
			if !fails && !(faulty && rapid.Bool().Draw(t, "misses")) {
				next.Objects = m.since(a.Since, lag)
			}
		}
	}
	return next, pending
}
