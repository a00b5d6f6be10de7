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

// ownership is the test's own record of a granted claim.
type ownership struct {
	id      request.ID
	askedAt time.Time
}

// platformCall is a call that has not taken effect yet.
type platformCall struct {
	process     int
	incarnation int
	call        object.Call
	ended       bool // its process has already received Unknown as the reply
}

// world simulates some processes that claim a few keys through one unreliable
// platform.
type world struct {
	t            *rapid.T
	cfg          claim.Config
	now          time.Time
	store        *store
	shards       []*claim.Shard
	incarnations []int // of the processes
	calls        []platformCall
	owners       map[claim.Key]ownership
	asked        map[request.ID]time.Time
	ids          uint32
	grants       int
}

func newWorld(t *rapid.T) *world {
	cfg := claim.DefaultConfig("agenda", 0)
	// These are small enough for a run to go around the ring several times.
	cfg.Segments, cfg.SegmentBytes, cfg.Retention = 3, 100, 5*time.Second
	w := &world{
		t: t, cfg: cfg, now: t0, store: newStore(),
		owners: make(map[claim.Key]ownership), asked: make(map[request.ID]time.Time),
	}
	w.store.lagging = func() bool { return rapid.IntRange(0, 9).Draw(t, "lag") == 0 }
	for range 3 {
		w.shards = append(w.shards, claim.New(cfg, rand.New(rand.NewPCG(1, 1))))
		w.incarnations = append(w.incarnations, 0)
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
			w.calls = append(w.calls, platformCall{process: p, incarnation: w.incarnations[p], call: a.Call})
		case claim.Granted:
			w.granted(p, a)
		}
	}
}

// granted checks what claims guarantee: a key belongs to one request until it is
// freed or its retention is over.
func (w *world) granted(p int, a claim.Action) {
	o, owned := w.owners[a.Key]
	if owned && o.id != a.Request && w.now.Before(o.askedAt.Add(w.cfg.Retention)) {
		w.t.Fatalf("key granted to %s while %s owns it", a.Request, o.id)
	}
	w.grants++
	w.owners[a.Key] = ownership{id: a.Request, askedAt: w.asked[a.Request]}
	switch rapid.IntRange(0, 3).Draw(w.t, "then") {
	case 1:
		moved := a.Owner
		moved.Target = "elsewhere"
		w.handle(p, claim.Event{Kind: claim.Moved, Key: a.Key, Owner: moved})
	case 0:
		delete(w.owners, a.Key)
		w.handle(p, claim.Event{Kind: claim.Released, Key: a.Key, Owner: a.Owner})
	}
}

func (w *world) ask(p int) {
	w.ids++
	owner := request.Prior{ID: request.ID{byte(w.ids), byte(w.ids >> 8), byte(w.ids >> 16)}}
	k := claim.NewKey("s", "w", fmt.Sprint(rapid.IntRange(0, 5).Draw(w.t, "key")))
	w.asked[owner.ID] = w.now
	w.handle(p, claim.Event{Kind: claim.ClaimRequested, Key: k, Owner: owner})
}

// complete carries out call i, which may be any pending one, and passes on the
// reply unless the process has already received Unknown or has restarted. If
// answered is false, the call takes effect but the reply is Unknown.
func (w *world) complete(i int, answered bool) {
	c := w.calls[i]
	w.calls = append(w.calls[:i:i], w.calls[i+1:]...)
	r := w.store.do(c.call)
	if !answered {
		r = object.Reply{ID: c.call.ID, Op: c.call.Op, Status: object.Unknown}
	}
	if !c.ended && c.incarnation == w.incarnations[c.process] {
		w.handle(c.process, claim.Event{Kind: claim.Replied, Reply: r})
	}
}

func (w *world) step() {
	p := rapid.IntRange(0, len(w.shards)-1).Draw(w.t, "process")
	choice := rapid.IntRange(0, 11).Draw(w.t, "what")
	if len(w.calls) > 0 && choice < 7 {
		i := rapid.IntRange(0, len(w.calls)-1).Draw(w.t, "call")
		c := &w.calls[i]
		switch {
		case choice == 0 && !c.ended: // is unanswered, and may take effect much later
			c.ended = true
			w.handle(c.process, claim.Event{Kind: claim.Replied, Reply: object.Reply{ID: c.call.ID, Op: c.call.Op, Status: object.Unknown}})
		case choice == 1: // never takes effect
			gone := *c
			w.calls = append(w.calls[:i:i], w.calls[i+1:]...)
			if !gone.ended && gone.incarnation == w.incarnations[gone.process] {
				w.handle(gone.process, claim.Event{Kind: claim.Replied, Reply: object.Reply{ID: gone.call.ID, Op: gone.call.Op, Status: object.Refused}})
			}
		default:
			w.complete(i, choice != 2)
		}
		return
	}
	switch {
	case choice == 11 && rapid.IntRange(0, 9).Draw(w.t, "restart") == 0:
		w.shards[p] = claim.New(w.cfg, rand.New(rand.NewPCG(1, 1)))
		w.incarnations[p]++
	case choice >= 9:
		w.now = w.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(w.t, "ms")) * time.Millisecond)
		for i := range w.shards {
			w.handle(i, claim.Event{Kind: claim.Tick})
		}
	default:
		w.ask(p)
	}
}

// A call runs only once, whichever entries it is repeated through. Three
// processes claim six keys while the platform delays, loses, refuses and
// reorders their calls and returns old states, and while processes restart.
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
