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

// model is what the caller knows of the targets.
type model struct {
	c    *Chooser
	now  time.Time
	out  map[Name]bool      // leaving or suspended
	wait map[Name]time.Time // refused until
	open []Choice
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
	require.False(t, m.out[ch.Name], "%s is out", ch.Name)
	require.False(t, m.now.Before(m.wait[ch.Name]), "%s refuses", ch.Name)
	m.open = append(m.open, ch)
}

func (m *model) finish(t *rapid.T) {
	if len(m.open) == 0 {
		t.Skip("none open")
	}
	i := rapid.IntRange(0, len(m.open)-1).Draw(t, "open")
	ch := m.open[i]
	m.open = append(m.open[:i:i], m.open[i+1:]...)
	end := End{Kind: EndKind(rapid.IntRange(1, 4).Draw(t, "kind")), RetryAfter: time.Duration(rapid.IntRange(0, 900).Draw(t, "after")) * time.Millisecond}
	m.c.Finish(m.now, ch, end)
	s := m.c.states[ch.Name]
	if end.Kind == Refused && s != nil && s.Incarnation == ch.Incarnation {
		m.wait[ch.Name] = m.now.Add(end.RetryAfter)
	}
}

// TestRandomised sends random events in random order. Whatever the hints say, no
// target gets a request that is out, refuses, or was tried; and the sums come
// out even.
func TestRandomised(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := append(candidates("mtl-a", "t", 4), candidates("mtl-b", "u", 2)...)
		all[4].Name, all[5].Name = "t4", "t5"
		m := &model{c: New(epoch, Config{DataCentre: "mtl-a"}, rand.New(rand.NewPCG(1, 1))), now: epoch, out: map[Name]bool{}, wait: map[Name]time.Time{}}
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
				m.out[n] = true
			},
			"suspend": func(t *rapid.T) {
				n := m.name(t)
				m.c.Suspend(n)
				m.out[n] = true
			},
			"resume": func(t *rapid.T) {
				n := m.name(t)
				m.c.Resume(n, 1)
				m.out[n] = false
			},
		})
		for len(m.open) > 0 {
			m.finish(t)
		}
		require.Empty(t, m.c.Violations())
		for _, s := range m.c.states {
			require.Zero(t, s.inFlight)
			require.Zero(t, s.own)
			require.Zero(t, s.since)
		}
	})
}
