package target

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// TestMain sets the seed and the number of checks of the randomised test, unless the
// command line sets them.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	m.Run()
}

// model drives a chooser with random events and records the caller's view of the
// targets.
type model struct {
	c            *Chooser
	now          time.Time
	unavailable  map[Name]bool // leaving or suspended
	refusedUntil map[Name]time.Time
	openChoices  []Choice
}

func (m *model) name(t *rapid.T) Name {
	return Name(fmt.Sprint("t", rapid.IntRange(0, 5).Draw(t, "target")))
}

func (m *model) pick(t *rapid.T) {
	tried := []Name{m.name(t)}
	q := Query{Tokens: rapid.Int64Range(1, 100).Draw(t, "tokens"), Tried: tried}
	if rapid.Bool().Draw(t, "prefixed") {
		q.Prefix = Prefix{Coarse: rapid.Uint64Range(0, 3).Draw(t, "coarse"), Fine: 1}
	}
	ch, ok := m.c.Pick(m.now, q)
	if !ok {
		return
	}
	require.NotContains(t, tried, ch.Name)
	require.False(t, m.unavailable[ch.Name], "%s is leaving or suspended", ch.Name)
	require.False(t, m.now.Before(m.refusedUntil[ch.Name]), "%s still refuses requests", ch.Name)
	m.openChoices = append(m.openChoices, ch)
}

func (m *model) finish(t *rapid.T) {
	if len(m.openChoices) == 0 {
		t.Skip("no open choice")
	}
	i := rapid.IntRange(0, len(m.openChoices)-1).Draw(t, "open")
	ch := m.openChoices[i]
	m.openChoices = append(m.openChoices[:i:i], m.openChoices[i+1:]...)
	end := End{Kind: EndKind(rapid.IntRange(1, 4).Draw(t, "kind")), RetryAfter: time.Duration(rapid.IntRange(0, 900).Draw(t, "after")) * time.Millisecond}
	m.c.Finish(m.now, ch, end)
	s := m.c.states[ch.Name]
	if end.Kind == Refused && s != nil && s.Incarnation == ch.Incarnation {
		m.refusedUntil[ch.Name] = m.now.Add(end.RetryAfter)
	}
}

// TestRandomised sends random events in random order. With any loads and prefixes, no
// target gets a request while it is leaving, suspended or refusing, or if the request
// has tried it. After all choices have ended, the work in flight is zero.
func TestRandomised(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := append(candidates("mtl-a", "t", 4), candidates("mtl-b", "u", 2)...)
		all[4].Name, all[5].Name = "t4", "t5"
		m := &model{c: New(epoch, Config{DataCentre: "mtl-a"}, rand.New(rand.NewPCG(1, 1))), now: epoch, unavailable: map[Name]bool{}, refusedUntil: map[Name]time.Time{}}
		m.c.Update(all)
		t.Repeat(map[string]func(*rapid.T){
			"pick":   m.pick,
			"finish": m.finish,
			"pass": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"report": func(t *rapid.T) {
				m.c.Report(m.now, Report{
					Name:        m.name(t),
					Incarnation: 1,
					Outstanding: rapid.Int64Range(-5, 1000).Draw(t, "outstanding"),
					Capacity:    rapid.Float64().Draw(t, "capacity"),
					Age:         time.Duration(rapid.IntRange(0, 9000).Draw(t, "age")) * time.Millisecond,
				})
			},
			"update": func(*rapid.T) {
				m.c.Update(all)
			},
			"leave": func(t *rapid.T) {
				n := m.name(t)
				m.c.Leave(n, host.Incarnation(rapid.IntRange(0, 1).Draw(t, "incarnation")))
				m.unavailable[n] = true
			},
			"suspend": func(t *rapid.T) {
				n := m.name(t)
				m.c.Suspend(n)
				m.unavailable[n] = true
			},
			"resume": func(t *rapid.T) {
				n := m.name(t)
				m.c.Resume(n, 1)
				m.unavailable[n] = false
			},
		})
		for len(m.openChoices) > 0 {
			m.finish(t)
		}
		require.Empty(t, m.c.Violations())
		for _, s := range m.c.states {
			require.Zero(t, s.inFlight)
			require.Zero(t, s.ownTokens)
			require.Zero(t, s.sentSinceReport)
		}
	})
}
