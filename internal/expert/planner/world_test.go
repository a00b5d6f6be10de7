package planner

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/expert/group"
	"wagtailshelf.example/wagtailshelf/internal/expert/plan"
	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

var shape = expertmap.Shape{Layers: 2, Experts: 16, Ranks: 4, Slots: 5}

// world is a group of ranks that always agree, a platform, and duties on some of
// the ranks' hosts.
type world struct {
	t       *testing.T
	now     time.Time
	objects map[object.Key]object.Object
	version object.Version
	out     bool // the platform answers nothing
	lose    int  // so many answers to writes of the record are lost
	drop    int  // so many writes of the record get lost on their way
	refuse  bool // ranks refuse to load

	names   []host.Name
	inForce group.Number
	m       *expertmap.Map
	offered map[group.Number]*expertmap.Map
	counts  []uint64
	steps   uint64
	ranks   []*Reporter
	duties  map[host.Name]*Duty
	held    map[host.Name]bool // duties whose process is paused

	planned    []time.Time
	ended      []Action
	violations []string
	fences     []uint64 // of the maps that ranks were asked to load, in order
}

func newWorld(t *testing.T) *world {
	m, err := expertmap.Even(shape)
	require.NoError(t, err)
	w := &world{
		t: t, now: time.Unix(1e9, 0), objects: map[object.Key]object.Object{}, m: m, inForce: 1,
		offered: map[group.Number]*expertmap.Map{}, counts: make([]uint64, shape.Layers*shape.Experts),
		duties: map[host.Name]*Duty{}, held: map[host.Name]bool{},
	}
	record := group.Record{Name: "g", Epoch: 1, Fence: 0, Number: 1, Map: m}
	for r := range shape.Ranks {
		name := host.Name(fmt.Sprintf("rank-%d", r))
		w.names = append(w.names, name)
		w.ranks = append(w.ranks, NewReporter("g", uint16(r)))
		record.Ranks = append(record.Ranks, name)
		record.Lives = append(record.Lives, 1)
	}
	value, err := record.Encode()
	require.NoError(t, err)
	w.write(RecordKey("s", "g"), value)
	return w
}

func (w *world) write(key object.Key, value []byte) {
	w.version++
	w.objects[key] = object.Object{Key: key, Version: w.version, Value: value}
}

func (w *world) add(name host.Name) *Duty {
	d := New(Config{Service: "s", Group: "g", Self: host.Identity{Name: name, Incarnation: 1}}, rand.New(rand.NewPCG(1, uint64(len(w.duties)))))
	w.duties[name] = d
	w.hand(name, Event{Kind: Settings, Weights: plan.Steady, StoreRate: 1e9, ExpertBytes: 1e6})
	w.hand(name, Event{Kind: Told, Switch: group.Message{Kind: group.Announce, Group: "g", Epoch: 1, Record: w.record()}})
	w.hand(name, Event{Kind: Seek})
	return d
}

// hand gives an event to a duty and carries out what it wants.
func (w *world) hand(name host.Name, ev Event) {
	for _, a := range w.duties[name].Handle(w.now, ev) {
		switch a.Kind {
		case Call:
			w.hand(name, Event{Kind: Replied, Reply: w.call(a.Call)})
		case Tell:
			if _, ok := w.duties[a.To]; ok && a.To != name {
				w.hand(a.To, Event{Kind: Told, From: name, Switch: a.Switch})
			}
			if reply, ok := w.tell(a.To, a.Switch); ok {
				w.hand(name, Event{Kind: Told, From: a.To, Switch: reply})
			}
		case Ask:
			w.ask(name, a)
		case Planned:
			w.planned = append(w.planned, w.now)
		case Ended:
			w.ended = append(w.ended, a)
		case Violate:
			w.violations = append(w.violations, a.Text)
		}
	}
}

func (w *world) call(c object.Call) object.Reply {
	r := object.Reply{ID: c.ID, Op: c.Op, Status: object.Unknown}
	if w.out {
		return r
	}
	o, ok := w.objects[c.Key]
	switch {
	case c.Op == object.Get && !ok:
		r.Status = object.NotFound
	case c.Op == object.Get:
		r.Status, r.Object = object.Done, o
	case o.Version != c.Version:
		r.Status, r.Object = object.Conflict, o
	case w.drop > 0 && c.Key == RecordKey("s", "g"):
		w.drop--
	default:
		w.write(c.Key, c.Value)
		r.Status, r.Object = object.Done, w.objects[c.Key]
		if w.lose > 0 && c.Key == RecordKey("s", "g") {
			w.lose--
			r = object.Reply{ID: c.ID, Op: c.Op, Status: object.Unknown}
		}
	}
	return r
}

// tell is a rank that agrees to everything, unless it refuses.
func (w *world) tell(rank host.Name, m group.Message) (group.Message, bool) {
	reply := group.Message{
		Kind: group.Report, Group: m.Group, Epoch: m.Epoch, Number: m.Number, Incarnation: 1,
		InForce: w.inForce, Next: w.steps, Step: m.Step, Vote: group.Unseen, Floor: w.inForce,
	}
	switch m.Kind {
	case group.Prepare:
		w.fences = append(w.fences, uint64(m.Number.Fence()))
		if w.refuse {
			reply.Vote, reply.Reason = group.Refused, group.LoadingTooLong
			return reply, true
		}
		to := m.Map
		if to == nil {
			var err error
			to, err = w.m.Apply(m.Changes)
			require.NoError(w.t, err)
		}
		require.Empty(w.t, to.Check())
		w.offered[m.Number] = to
		reply.Vote = group.Loaded
	case group.Promise:
		reply.Vote = group.Promised
	case group.Outcome:
		reply.Vote = m.Vote
		if m.Vote == group.Committed {
			reply.Vote = group.Passed
			if rank == w.names[len(w.names)-1] {
				w.inForce, w.m = m.Number, w.offered[m.Number]
			}
		}
	}
	return reply, true
}

// ask is a rank's answer to a question, taken later as an event.
func (w *world) ask(name host.Name, a Action) {
	b, err := a.Message.Encode()
	require.NoError(w.t, err)
	q, err := Decode(b)
	require.NoError(w.t, err)
	for r, n := range w.names {
		if n != a.To {
			continue
		}
		busy := time.Duration(w.steps) * 4 * time.Millisecond
		answer := w.ranks[r].Answer(name, q, Snapshot{Steps: w.steps, Busy: busy, Counts: slices.Clone(w.counts)})
		w.hand(name, Event{Kind: Answered, From: n, Message: answer})
	}
}

// pass lets time pass, second by second, with tokens going to the experts by
// weight.
func (w *world) pass(d time.Duration, weight func(e int) uint64) {
	for range d / time.Second {
		w.now = w.now.Add(time.Second)
		w.steps += 200
		for i := range w.counts {
			w.counts[i] += weight(i % shape.Experts)
		}
		for _, name := range w.names {
			d, ok := w.duties[name]
			if !ok || w.held[name] || d.Deadline().IsZero() || w.now.Before(d.Deadline()) {
				continue
			}
			w.hand(name, Event{Kind: Tick})
			at := d.Deadline()
			require.True(w.t, at.IsZero() || at.After(w.now), "a deadline in the past would keep a core busy")
		}
	}
	require.Empty(w.t, w.violations)
}

func (w *world) record() *group.Record {
	r, err := group.DecodeRecord(w.objects[RecordKey("s", "g")].Value)
	require.NoError(w.t, err)
	return r
}

func (w *world) status() Status {
	var s Status
	require.NoError(w.t, json.Unmarshal(w.objects[StatusKey("s", "g")].Value, &s))
	return s
}

func steep(e int) uint64 { return 10 + 10*uint64(e) }
