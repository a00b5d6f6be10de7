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

// world simulates a group whose ranks accept every map unless refuse is set, the
// platform, and controllers on some of the ranks' hosts.
type world struct {
	t            require.TestingT
	now          time.Time
	objects      map[object.Key]object.Object
	version      object.Version
	platformDown bool    // platform calls have no reply
	loseReplies  int     // how many of the next writes of the record take effect but have their reply lost
	loseWrites   int     // how many of the next writes of the record are lost
	refuse       bool    // ranks refuse to load
	messageLoss  float64 // fraction of the messages that are lost
	rng          *rand.Rand
	epoch        uint64

	names       []host.Name
	active      group.Number
	m           *expertmap.Map
	proposed    map[group.Number]*expertmap.Map // maps proposed in this epoch
	votes       map[group.Number][]group.Vote
	promised    map[group.Number]int
	counts      []uint64
	steps       uint64
	busy        []time.Duration
	ranks       []*Reporter
	controllers map[host.Name]*Controller
	paused      map[host.Name]bool // hosts whose process is paused

	planned    []time.Time
	ended      []Action
	violations []string
	fences     []uint64 // fences of the maps that ranks were asked to load, in order
}

func newWorld(t require.TestingT) *world {
	m, err := expertmap.Even(shape)
	require.NoError(t, err)
	w := &world{
		t: t, now: time.Unix(1e9, 0), objects: map[object.Key]object.Object{}, m: m, active: 1,
		proposed: map[group.Number]*expertmap.Map{}, votes: map[group.Number][]group.Vote{}, promised: map[group.Number]int{}, counts: make([]uint64, shape.Layers*shape.Experts),
		controllers: map[host.Name]*Controller{}, paused: map[host.Name]bool{}, epoch: 1, rng: rand.New(rand.NewPCG(1, 1)),
		busy: make([]time.Duration, shape.Ranks),
	}
	record := group.Record{Name: "g", Epoch: 1, Fence: 0, Number: 1, Map: m}
	for r := range shape.Ranks {
		name := host.Name(fmt.Sprintf("rank-%d", r))
		w.names = append(w.names, name)
		w.ranks = append(w.ranks, NewReporter("g", uint16(r)))
		record.Ranks = append(record.Ranks, name)
		record.Incarnations = append(record.Incarnations, 1)
	}
	value, err := record.Encode()
	require.NoError(t, err)
	w.write(RecordKey("s", "g"), value)
	return w
}

// write stores an object under a new version.
func (w *world) write(key object.Key, value []byte) {
	w.version++
	w.objects[key] = object.Object{Key: key, Version: w.version, Value: value}
}

// add starts a controller on a host.
func (w *world) add(name host.Name) *Controller {
	c := New(Config{Service: "s", Group: "g", Self: host.Identity{Name: name, Incarnation: 1}}, rand.New(rand.NewPCG(1, uint64(len(w.controllers)))))
	w.controllers[name] = c
	w.handle(name, Event{Kind: Settings, Weights: plan.LowSkew, StoreRate: 1e9, ExpertBytes: 1e6})
	w.handle(name, Event{Kind: SwitchReceived, Switch: group.Message{Kind: group.Announce, Group: "g", Epoch: 1, Record: w.record()}})
	w.handle(name, Event{Kind: Seek})
	return c
}

// handle passes an event to the controller of a host and carries out its actions.
func (w *world) handle(name host.Name, ev Event) {
	for _, a := range w.controllers[name].Handle(w.now, ev) {
		switch a.Kind {
		case Call:
			w.handle(name, Event{Kind: CallDone, Reply: w.call(a.Call)})
		case SendSwitch:
			if w.lost() {
				continue
			}
			if _, ok := w.controllers[a.To]; ok && !w.paused[a.To] {
				w.handle(a.To, Event{Kind: SwitchReceived, From: name, Switch: a.Switch})
			}
			if reply, ok := w.replyOf(a.To, a.Switch); ok {
				w.handle(name, Event{Kind: SwitchReceived, From: a.To, Switch: reply})
			}
		case SendQuestion:
			if !w.lost() {
				w.answer(name, a)
			}
		case Planned:
			w.planned = append(w.planned, w.now)
		case SwitchEnded:
			w.ended = append(w.ended, a)
		case Violate:
			w.violations = append(w.violations, a.Text)
		}
	}
}

// lost reports whether the next message is lost.
func (w *world) lost() bool { return w.rng.Float64() < w.messageLoss }

// form starts a new epoch from the record, as the group does when a rank has died.
func (w *world) form() {
	r := w.record()
	w.epoch++
	r.Epoch = w.epoch
	w.active, w.m = r.Number, r.Map
	clear(w.proposed)
	clear(w.votes)
	clear(w.promised)
	value, err := r.Encode()
	require.NoError(w.t, err)
	w.write(RecordKey("s", "g"), value)
	for _, name := range w.names {
		if _, ok := w.controllers[name]; ok && !w.paused[name] {
			w.handle(name, Event{Kind: SwitchReceived, Switch: group.Message{Kind: group.Announce, Group: "g", Epoch: r.Epoch, Record: r}})
		}
	}
}

// call carries out a platform call.
func (w *world) call(c object.Call) object.Reply {
	r := object.Reply{ID: c.ID, Op: c.Op, Status: object.Unknown}
	if w.platformDown {
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
	case w.loseWrites > 0 && c.Key == RecordKey("s", "g"):
		w.loseWrites--
	default:
		w.write(c.Key, c.Value)
		r.Status, r.Object = object.Done, w.objects[c.Key]
		if w.loseReplies > 0 && c.Key == RecordKey("s", "g") {
			w.loseReplies--
			r = object.Reply{ID: c.ID, Op: c.Op, Status: object.Unknown}
		}
	}
	return r
}

// replyOf returns a rank's reply to a message of a map switch.
func (w *world) replyOf(rank host.Name, m group.Message) (group.Message, bool) {
	reply := group.Message{
		Kind: group.Report, Group: m.Group, Epoch: m.Epoch, Number: m.Number, Incarnation: 1,
		ActiveNumber: w.active, Next: w.steps, Step: m.Step, Vote: group.Unseen, Floor: w.active,
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

// vote returns a rank's vote after a message, given its vote before. A rank never
// withdraws a promise or refusal, and the group uses a map once all ranks have
// promised.
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
			w.active, w.m = m.Number, w.proposed[m.Number]
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

// load checks a proposed map and returns the vote of a rank that is asked to load it.
func (w *world) load(m group.Message) group.Vote {
	w.fences = append(w.fences, uint64(m.Number.Fence()))
	if w.refuse {
		return group.Refused
	}
	if w.proposed[m.Number] == nil {
		require.Greater(w.t, m.Number, w.active)
		to := m.Map
		if to == nil {
			require.Equal(w.t, w.active, m.Base)
			var err error
			to, err = w.m.Apply(m.Changes)
			require.NoError(w.t, err)
		}
		require.Empty(w.t, to.Problems())
		w.proposed[m.Number] = to
	}
	return group.Loaded
}

// answer passes a rank's answer to a question back to the controller that asked.
func (w *world) answer(name host.Name, a Action) {
	b, err := a.Message.Encode()
	require.NoError(w.t, err)
	q, err := Decode(b)
	require.NoError(w.t, err)
	for r, n := range w.names {
		if n != a.To {
			continue
		}
		answer := w.ranks[r].Answer(name, q, Snapshot{Steps: w.steps, Busy: w.busy[r], Counts: slices.Clone(w.counts)})
		w.handle(name, Event{Kind: AnswerReceived, From: n, Message: answer})
	}
}

// runSteps runs the steps of one second. Half of a step's time depends on the rank's
// part of the experts' work, and the ranks are equally fast.
func (w *world) runSteps(weight func(e int) uint64) {
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
	for r, work := range f.Ranks {
		w.busy[r] += time.Duration(steps * (0.5 + 0.5*work) * 4 * float64(time.Millisecond))
	}
}

// advance advances the time by d, second by second, with the tokens distributed over
// the experts by weight.
func (w *world) advance(d time.Duration, weight func(e int) uint64) {
	for range d / time.Second {
		w.now = w.now.Add(time.Second)
		w.runSteps(weight)
		for i := range w.counts {
			w.counts[i] += weight(i % shape.Experts)
		}
		for _, name := range w.names {
			c, ok := w.controllers[name]
			if !ok || w.paused[name] || c.Deadline().IsZero() || w.now.Before(c.Deadline()) {
				continue
			}
			w.handle(name, Event{Kind: Tick})
			at := c.Deadline()
			require.True(w.t, at.IsZero() || at.After(w.now), "a deadline in the past makes the caller spin")
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

// steep gives each expert more tokens than the one before it.
func steep(e int) uint64 { return 10 + 10*uint64(e) }
