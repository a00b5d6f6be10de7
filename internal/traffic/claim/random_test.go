package claim_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wagtailshelf.example/wagtailshelf/internal/record/object"
	"wagtailshelf.example/wagtailshelf/internal/traffic/claim"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

// holding is a grant as the test's own ledger has it.
type holding struct {
	id      request.ID
	askedAt time.Time
}

type flight struct {
	process int
	life    int
	call    object.Call
	unsaid  bool // its process has been told that no answer came
}

// world is some processes that claim a few keys through one unreliable platform.
type world struct {
	t      *rapid.T
	cfg    claim.Config
	now    time.Time
	store  *store
	shards []*claim.Shard
	lives  []int
	flying []flight
	holds  map[claim.Key]holding
	asked  map[request.ID]time.Time
	ids    uint32
	grants int
}

func newWorld(t *rapid.T) *world {
	cfg := claim.DefaultConfig("agenda", 0)
	// Small enough that a run goes several times around the ring.
	cfg.Segments, cfg.SegmentBytes, cfg.Retention = 3, 100, 5*time.Second
	w := &world{
		t: t, cfg: cfg, now: t0, store: newStore(),
		holds: make(map[claim.Key]holding), asked: make(map[request.ID]time.Time),
	}
	w.store.lagging = func() bool { return rapid.IntRange(0, 9).Draw(t, "lag") == 0 }
	for range 3 {
		w.shards = append(w.shards, claim.New(cfg, rand.New(rand.NewPCG(1, 1))))
		w.lives = append(w.lives, 0)
	}
	return w
}

func (w *world) handle(p int, ev claim.Event) {
	for _, a := range w.shards[p].Handle(w.now, ev) {
		switch a.Kind {
		case claim.Violated:
			w.t.Fatalf("%v", a.Violation)
		case claim.Corrupt:
			w.t.Fatalf("%v", a.Err)
		case claim.Call:
			w.flying = append(w.flying, flight{process: p, life: w.lives[p], call: a.Call})
		case claim.Granted:
			w.granted(p, a)
		}
	}
}

// granted is the promise itself: one request for a key, until it is freed or
// its retention is over.
func (w *world) granted(p int, a claim.Action) {
	h, held := w.holds[a.Key]
	if held && h.id != a.Request && w.now.Before(h.askedAt.Add(w.cfg.Retention)) {
		w.t.Fatalf("key granted to %s while %s holds it", a.Request, h.id)
	}
	w.grants++
	w.holds[a.Key] = holding{id: a.Request, askedAt: w.asked[a.Request]}
	switch rapid.IntRange(0, 3).Draw(w.t, "then") {
	case 1:
		moved := a.Owner
		moved.Target = "elsewhere"
		w.handle(p, claim.Event{Kind: claim.Moved, Key: a.Key, Owner: moved})
	case 0:
		delete(w.holds, a.Key)
		w.handle(p, claim.Event{Kind: claim.Released, Key: a.Key, Owner: a.Owner})
	}
}

func (w *world) ask(p int) {
	w.ids++
	owner := request.Prior{ID: request.ID{byte(w.ids), byte(w.ids >> 8), byte(w.ids >> 16)}}
	k := claim.NewKey("s", "w", fmt.Sprint(rapid.IntRange(0, 5).Draw(w.t, "key")))
	w.asked[owner.ID] = w.now
	w.handle(p, claim.Event{Kind: claim.Asked, Key: k, Owner: owner})
}

// land carries out a call that is under way, in any order, and answers it
// unless its process was told already that no answer came.
func (w *world) land(i int, answer bool) {
	f := w.flying[i]
	w.flying = append(w.flying[:i:i], w.flying[i+1:]...)
	r := w.store.do(f.call)
	if !answer {
		r = object.Reply{ID: f.call.ID, Op: f.call.Op, Status: object.Unknown}
	}
	if !f.unsaid && f.life == w.lives[f.process] {
		w.handle(f.process, claim.Event{Kind: claim.Replied, Reply: r})
	}
}

func (w *world) step() {
	p := rapid.IntRange(0, len(w.shards)-1).Draw(w.t, "process")
	what := rapid.IntRange(0, 11).Draw(w.t, "what")
	if len(w.flying) > 0 && what < 7 {
		i := rapid.IntRange(0, len(w.flying)-1).Draw(w.t, "call")
		f := &w.flying[i]
		switch {
		case what == 0 && !f.unsaid: // gives no answer, and may land much later
			f.unsaid = true
			w.handle(f.process, claim.Event{Kind: claim.Replied, Reply: object.Reply{ID: f.call.ID, Op: f.call.Op, Status: object.Unknown}})
		case what == 1: // never lands
			gone := *f
			w.flying = append(w.flying[:i:i], w.flying[i+1:]...)
			if !gone.unsaid && gone.life == w.lives[gone.process] {
				w.handle(gone.process, claim.Event{Kind: claim.Replied, Reply: object.Reply{ID: gone.call.ID, Op: gone.call.Op, Status: object.Refused}})
			}
		default:
			w.land(i, what != 2)
		}
		return
	}
	switch {
	case what == 11 && rapid.IntRange(0, 9).Draw(w.t, "restart") == 0:
		w.shards[p] = claim.New(w.cfg, rand.New(rand.NewPCG(1, 1)))
		w.lives[p]++
	case what >= 9:
		w.now = w.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(w.t, "ms")) * time.Millisecond)
		for i := range w.shards {
			w.handle(i, claim.Event{Kind: claim.Tick})
		}
	default:
		w.ask(p)
	}
}

// The caller's call runs once, whichever entries it is repeated through: three
// processes claim six keys, and the platform delays, loses, refuses and
// reorders their calls and shows old states, while processes restart.
func TestRandomClaims(t *testing.T) {
	grants := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range 400 {
			w.step()
		}
		grants += w.grants
	})
	require.Positive(t, grants)
	t.Logf("%d grants", grants)
}
