package leaving

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestMain fixes the seed and the length of the randomised run, unless the command
// line gives them.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	m.Run()
}

// cfg has a shorter silence than the default, so that the tests have round times.
var cfg = Config{Silence: 2 * time.Second, Probe: 700 * time.Millisecond}

func at(d time.Duration) time.Time { return epoch.Add(d) }

func liveness(inc host.Incarnation) Event {
	return Event{Kind: Liveness, Name: "t", Incarnation: inc}
}

func statement(src Source, leaving bool, inc host.Incarnation) Event {
	return Event{Kind: Statement, Name: "t", Source: src, Leaving: leaving, Incarnation: inc}
}

// newServing returns a tracker that knows the target t, which serves in incarnation 1.
func newServing(t require.TestingT) *Tracker {
	tr := New(cfg)
	tr.Handle(at(0), liveness(1))
	requireServing(t, tr, true)
	return tr
}

func requireServing(t require.TestingT, tr *Tracker, want bool) {
	_, ok := tr.Serving("t")
	require.Equal(t, want, ok)
}

func kinds(actions []Action) []ActionKind {
	var out []ActionKind
	for _, a := range actions {
		if a.Kind != SetTimer {
			out = append(out, a.Kind)
		}
	}
	return out
}

func TestFirstStatementCounts(t *testing.T) {
	for _, src := range []Source{FromList, FromDocument, FromSignal, FromSidecar} {
		t.Run([...]string{"list", "document", "signal", "sidecar"}[src], func(t *testing.T) {
			tr := newServing(t)
			actions := tr.Handle(at(1), statement(src, true, 1))
			assert.Equal(t, []Action{{Kind: Left, Name: "t", Incarnation: 1, Source: src}}, actions)
			for _, other := range []Source{FromList, FromDocument, FromSignal, FromSidecar} {
				assert.Empty(t, tr.Handle(at(2), statement(other, true, 1)), "reported once")
				assert.Empty(t, tr.Handle(at(3), statement(other, false, 1)), "a statement is final")
			}
			assert.Empty(t, tr.Handle(at(4), liveness(1)))
			requireServing(t, tr, false)
			assert.Equal(t, []ActionKind{Suspend, Resume}, kinds(tr.Handle(at(5), liveness(2))))
		})
	}
}

func TestLateStatements(t *testing.T) {
	t.Run("a statement of an earlier incarnation is ignored", func(t *testing.T) {
		tr := newServing(t)
		tr.Handle(at(1), liveness(2))
		assert.Empty(t, tr.Handle(at(2), statement(FromSidecar, true, 1)))
		requireServing(t, tr, true)
	})
	t.Run("a late report of an earlier incarnation is ignored", func(t *testing.T) {
		tr := newServing(t)
		tr.Handle(at(1), liveness(2))
		tr.Handle(at(3*time.Second), Event{Kind: Tick})
		requireServing(t, tr, false)
		assert.Empty(t, kinds(tr.Handle(at(3*time.Second), liveness(1))))
	})
	t.Run("the first report of a new incarnation is late", func(t *testing.T) {
		// A target left, and its next incarnation sent one liveness report before it
		// began to leave too. That report arrives after Config.Silence. It proves
		// that the new incarnation exists, but not that it serves now.
		tr := newServing(t)
		tr.Handle(at(1), statement(FromSidecar, true, 1))
		late := liveness(2)
		late.Age = 2500 * time.Millisecond
		tr.Handle(at(3*time.Second), late)
		requireServing(t, tr, false)
		assert.Equal(t, []ActionKind{Resume}, kinds(tr.Handle(at(3*time.Second), liveness(2))))
	})
	t.Run("the list lags over a restart", func(t *testing.T) {
		// A host is replaced. The list states that it is leaving, and still does so
		// after the new incarnation has begun. The new incarnation gets no work
		// until the list is up to date.
		tr := newServing(t)
		tr.Handle(at(1), statement(FromList, true, 0))
		assert.Equal(t, []Action{
			{Kind: Suspend, Name: "t"},
			{Kind: Left, Name: "t", Incarnation: 2, Source: FromList},
		}, tr.Handle(at(2), liveness(2)))
		requireServing(t, tr, false)
		assert.Equal(t, []Action{{Kind: Resume, Name: "t", Incarnation: 2}}, tr.Handle(at(3), statement(FromList, false, 0)))
	})
	t.Run("stated before the incarnation was known", func(t *testing.T) {
		tr := New(Config{})
		tr.Handle(at(0), statement(FromList, true, 0))
		tr.Handle(at(1), statement(FromList, false, 0))
		tr.Handle(at(2), liveness(3))
		requireServing(t, tr, false)
		tr.Handle(at(3), liveness(4))
		requireServing(t, tr, true)
	})
}

func TestSilence(t *testing.T) {
	tick := Event{Kind: Tick}
	t.Run("silence suspends, a report resumes", func(t *testing.T) {
		// The list is outdated and the connection to the sidecar is cut, so the
		// statement that the target is leaving can't arrive. Two seconds after the
		// last liveness report the target gets no more work.
		tr := newServing(t)
		assert.Equal(t, []ActionKind{Probe}, kinds(tr.Handle(at(700*time.Millisecond), tick)))
		assert.Empty(t, kinds(tr.Handle(at(900*time.Millisecond), tick)), "probed already")
		assert.Equal(t, []ActionKind{Suspend, Probe}, kinds(tr.Handle(at(2*time.Second), tick)))
		requireServing(t, tr, false)
		assert.Equal(t, []ActionKind{Resume}, kinds(tr.Handle(at(3*time.Second), liveness(1))))
	})
	t.Run("a relayed report counts from when it was sent", func(t *testing.T) {
		tr := newServing(t)
		ev := liveness(1)
		ev.Age = 1500 * time.Millisecond
		tr.Handle(at(2*time.Second), ev)
		tr.Handle(at(2400*time.Millisecond), tick)
		requireServing(t, tr, true)
		tr.Handle(at(2500*time.Millisecond), tick)
		requireServing(t, tr, false)
		ev.Age = 10 * time.Second
		assert.Empty(t, kinds(tr.Handle(at(3*time.Second), ev)), "too old to resume the target")
	})
	t.Run("a new target waits for a report", func(t *testing.T) {
		tr := New(cfg)
		assert.Equal(t, []ActionKind{Probe}, kinds(tr.Handle(at(0), statement(FromList, false, 0))))
		requireServing(t, tr, false)
		assert.Equal(t, []ActionKind{Probe}, kinds(tr.Handle(at(time.Second), tick)))
	})
	t.Run("a target that left is only probed, until its next incarnation responds", func(t *testing.T) {
		// Its sidecar has drained and ends, and gets no work. The next incarnation at
		// the same address sends reports only to entries that probe it. Without a
		// probe it would never get work.
		tr := newServing(t)
		tr.Handle(at(1), statement(FromSidecar, true, 1))
		var probed []time.Duration
		for now := 100 * time.Millisecond; now < 9*time.Second; now += 100 * time.Millisecond {
			if got := kinds(tr.Handle(at(now), tick)); len(got) > 0 {
				assert.Equal(t, []ActionKind{Probe}, got)
				probed = append(probed, now)
			}
			requireServing(t, tr, false)
		}
		assert.Equal(t, []time.Duration{2 * time.Second, 4 * time.Second, 6 * time.Second, 8 * time.Second}, probed)
		tr.Handle(at(9*time.Second), liveness(1))
		requireServing(t, tr, false)
		tr.Handle(at(9*time.Second), liveness(2))
		requireServing(t, tr, true)
	})
}

// world is a sidecar and an entry with an unreliable connection between them.
type world struct {
	tr       *Tracker
	now      time.Time
	inc      host.Incarnation
	left     time.Time // when the present incarnation began to leave; zero if it hasn't
	inFlight []Event
	sentAt   []time.Time
	cut      bool
	listLag  bool
}

// bound is the time after which a target that leaves gets no new work, even if
// the connection is cut and the list is outdated.
const bound = 2*time.Second + 700*time.Millisecond/4

func (w *world) send(*rapid.T) {
	if w.cut {
		return
	}
	ev := liveness(w.inc)
	if !w.left.IsZero() {
		ev = statement(FromSidecar, true, w.inc)
	}
	w.inFlight = append(w.inFlight, ev)
	w.sentAt = append(w.sentAt, w.now)
}

func (w *world) deliver(t *rapid.T) {
	if len(w.inFlight) == 0 {
		t.Skip("no message in flight")
	}
	i := rapid.IntRange(0, len(w.inFlight)-1).Draw(t, "frame")
	ev := w.inFlight[i]
	ev.Age = w.now.Sub(w.sentAt[i])
	if rapid.Bool().Draw(t, "once") {
		w.inFlight = append(w.inFlight[:i:i], w.inFlight[i+1:]...)
		w.sentAt = append(w.sentAt[:i:i], w.sentAt[i+1:]...)
	}
	w.handle(t, ev)
}

func (w *world) handle(t *rapid.T, ev Event) {
	for _, a := range w.tr.Handle(w.now, ev) {
		require.NotEqual(t, Violated, a.Kind, "%v", a.Violation)
	}
}

func (w *world) advance(t *rapid.T) {
	for range rapid.IntRange(1, 20).Draw(t, "ticks") {
		w.now = w.now.Add(cfg.Probe / 4)
		w.handle(t, Event{Kind: Tick})
	}
}

func (w *world) check(t *rapid.T) {
	inc, ok := w.tr.Serving("t")
	if !ok || w.left.IsZero() || inc < w.inc {
		return
	}
	require.LessOrEqual(t, w.now.Sub(w.left), bound, "new work to a leaving target")
}

// TestRandomised has a sidecar leave and restart at random, while its messages are
// lost, duplicated, delayed and reordered and the list is outdated at times. The entry
// never gives work to an incarnation that began to leave longer ago than the bound.
func TestRandomised(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{tr: New(cfg), now: epoch, inc: 1}
		t.Repeat(map[string]func(*rapid.T){
			"":        w.check,
			"speak":   w.send,
			"deliver": w.deliver,
			"pass":    w.advance,
			"cut":     func(*rapid.T) { w.cut = !w.cut },
			"freeze":  func(*rapid.T) { w.listLag = !w.listLag },
			"list": func(t *rapid.T) {
				if !w.listLag {
					w.handle(t, statement(FromList, !w.left.IsZero(), 0))
				}
			},
			"leave": func(*rapid.T) {
				if w.left.IsZero() {
					w.left = w.now
				}
			},
			"restart": func(*rapid.T) {
				w.inc++
				w.left = time.Time{}
			},
		})
	})
}
