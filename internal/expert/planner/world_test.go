package planner

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
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
	t       require.TestingT
	now     time.Time
	objects map[object.Key]object.Object
	version object.Version
	out     bool    // the platform answers nothing
	lose    int     // so many answers to writes of the record are lost
	drop    int     // so many writes of the record get lost on their way
	refuse  bool    // ranks refuse to load
	loss    float64 // part of the messages that get lost
	rng     *rand.Rand
	epoch   uint64

	names    []host.Name
	inForce  group.Number
	m        *expertmap.Map
	offered  map[group.Number]*expertmap.Map // in this epoch
	votes    map[group.Number][]group.Vote
	promised map[group.Number]int
	counts   []uint64
	steps    uint64
	busy     []time.Duration
	ranks    []*Reporter
	duties   map[host.Name]*Duty
	held     map[host.Name]bool // duties whose process is paused

	planned    []time.Time
	ended      []Action
	violations []string
	fences     []uint64 // of the maps that ranks were asked to load, in order
}

func newWorld(t require.TestingT) *world {
	m, err := expertmap.Even(shape)
	require.NoError(t, err)
	w := &world{
		t: t, now: time.Unix(1e9, 0), objects: map[object.Key]object.Object{}, m: m, inForce: 1,
		offered: map[group.Number]*expertmap.Map{}, votes: map[group.Number][]group.Vote{}, promised: map[group.Number]int{}, counts: make([]uint64, shape.Layers*shape.Experts),
		duties: map[host.Name]*Duty{}, held: map[host.Name]bool{}, epoch: 1, rng: rand.New(rand.NewPCG(1, 1)),
		busy: make([]time.Duration, shape.Ranks),
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
			if w.lost() {
				continue
			}
			if _, ok := w.duties[a.To]; ok && !w.held[a.To] {
				w.hand(a.To, Event{Kind: Told, From: name, Switch: a.Switch})
			}
			if reply, ok := w.tell(a.To, a.Switch); ok {
				w.hand(name, Event{Kind: Told, From: a.To, Switch: reply})
			}
		case Ask:
			if !w.lost() {
				w.ask(name, a)
			}
		case Planned:
			w.planned = append(w.planned, w.now)
		case Ended:
			w.ended = append(w.ended, a)
		case Violate:
			w.violations = append(w.violations, a.Text)
		}
	}
}

func (w *world) lost() bool { return w.rng.Float64() < w.loss }

// form begins a new epoch from the record, as the group does after a rank died.
func (w *world) form() {
	r := w.record()
	w.epoch++
	r.Epoch = w.epoch
	w.inForce, w.m = r.Number, r.Map
	clear(w.offered)
	clear(w.votes)
	clear(w.promised)
	value, err := r.Encode()
	require.NoError(w.t, err)
	w.write(RecordKey("s", "g"), value)
	for _, name := range w.names {
		if _, ok := w.duties[name]; ok && !w.held[name] {
			w.hand(name, Event{Kind: Told, Switch: group.Message{Kind: group.Announce, Group: "g", Epoch: r.Epoch, Record: r}})
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
	if m.Epoch != w.epoch {
		return group.Message{Kind: group.Report, Group: m.Group, Epoch: w.epoch, Vote: group.Refused, Reason: group.StaleEpoch}, true
	}
	if m.Number == 0 {
		return reply, true
	}
	if w.votes[m.Number] == nil {
		w.votes[m.Number] = make([]group.Vote, len(w.names))
	}
	v := &w.votes[m.Number][slices.Index(w.names, rank)]
	*v = w.vote(*v, m)
	reply.Vote = *v
	if *v == group.Refused {
		reply.Reason = group.LoadingTooLong
	}
	return reply, true
}

// vote is a rank's vote after a message. A promise or refusal is never taken back,
// and the group uses a map once all ranks have promised.
func (w *world) vote(v group.Vote, m group.Message) group.Vote {
	switch {
	case v == group.Refused:
		return v
	case m.Kind == group.Ask && m.Final && v < group.Promised:
		return group.Refused
	case m.Kind == group.Prepare && v == group.Unseen:
		return w.load(m)
	case m.Kind == group.Promise && v == group.Loaded:
		w.promised[m.Number]++
		if w.promised[m.Number] == len(w.names) {
			w.inForce, w.m = m.Number, w.offered[m.Number]
		}
		return group.Promised
	case m.Kind == group.Outcome && m.Vote == group.Refused:
		require.Less(w.t, w.promised[m.Number], len(w.names))
		return group.Refused
	case m.Kind == group.Outcome && m.Vote == group.Committed:
		return max(v, group.Passed)
	case m.Kind == group.Outcome:
		return group.Finished
	}
	return v
}

func (w *world) load(m group.Message) group.Vote {
	w.fences = append(w.fences, uint64(m.Number.Fence()))
	if w.refuse {
		return group.Refused
	}
	if w.offered[m.Number] == nil {
		require.Greater(w.t, m.Number, w.inForce)
		to := m.Map
		if to == nil {
			require.Equal(w.t, w.inForce, m.Base)
			var err error
			to, err = w.m.Apply(m.Changes)
			require.NoError(w.t, err)
		}
		require.Empty(w.t, to.Check())
		w.offered[m.Number] = to
	}
	return group.Loaded
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
		answer := w.ranks[r].Answer(name, q, Snapshot{Steps: w.steps, Busy: w.busy[r], Counts: slices.Clone(w.counts)})
		w.hand(name, Event{Kind: Answered, From: n, Message: answer})
	}
}

// work makes the steps of a second. Half of a step takes as long as the rank's
// part of the experts' work, and the ranks are equally fast.
func (w *world) work(weight func(e int) uint64) {
	const steps = 200
	w.steps += steps
	share := make([]float64, shape.Layers*shape.Experts)
	total := 0.0
	for e := range shape.Experts {
		total += float64(weight(e))
	}
	for i := range share {
		share[i] = float64(weight(i%shape.Experts)) / total
	}
	f, err := plan.Predict(w.m, share, []float64{1, 1, 1, 1})
	require.NoError(w.t, err)
	for r, load := range f.Ranks {
		w.busy[r] += time.Duration(steps * (0.5 + 0.5*load) * 4 * float64(time.Millisecond))
	}
}

// pass lets time pass, second by second, with tokens going to the experts by
// weight.
func (w *world) pass(d time.Duration, weight func(e int) uint64) {
	for range d / time.Second {
		w.now = w.now.Add(time.Second)
		w.work(weight)
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
