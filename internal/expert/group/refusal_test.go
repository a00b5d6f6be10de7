package group_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/expert/group"
	"wagtailshelf.example/wagtailshelf/internal/expert/order"
	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// prepareFor returns a valid proposal to rank 0 of a world.
func prepareFor(w *world, n group.Number) group.Message {
	base, m := w.activeMap()
	return group.Message{
		Kind: group.Prepare, Group: w.record.Name, Epoch: w.record.Epoch, Number: n, Base: base, Digest: m.Digest(),
		Rate: 1 << 30, ExpertBytes: 1, Remaining: time.Minute, Incarnation: w.nodes[0].incarnation,
	}
}

func TestRefusedForGood(t *testing.T) {
	// A rank gets a proposal that it must never promise: one that was made to an
	// earlier incarnation or by an older planner, that it has refused because
	// another rank asked it to end the switch, or whose map is invalid, for example
	// with an expert without replica. If the rank promised, a switch could be
	// committed that other ranks know as refused.
	number, older := group.NumberOf(9, 3), group.NumberOf(8, 7)
	ask := func(w *world) group.Message {
		return group.Message{Kind: group.Ask, Group: w.record.Name, Epoch: 1, Number: number, Final: true}
	}
	tests := []struct {
		name     string
		messages func(w *world) []group.Message
		want     group.Reason
	}{
		{"earlier incarnation", func(w *world) []group.Message {
			m := prepareFor(w, number)
			m.Incarnation--
			return []group.Message{m}
		}, group.OtherIncarnation},
		{"older planner", func(w *world) []group.Message {
			m := prepareFor(w, older)
			w.applySwitch(w.nodes[0], w.nodes[0].sidecar.Handle(w.now(), group.Event{Kind: group.FenceRead, Fence: 9}))
			return []group.Message{m}
		}, group.StaleNumber},
		{"asked to end before the proposal arrived", func(w *world) []group.Message {
			return []group.Message{ask(w), prepareFor(w, number)}
		}, group.StaleNumber},
		{"asked to end while loading", func(w *world) []group.Message {
			return []group.Message{prepareFor(w, number), ask(w), prepareFor(w, number)}
		}, group.StaleNumber},
		{"lower number", func(w *world) []group.Message {
			return []group.Message{ask(w), prepareFor(w, number-1)}
		}, group.StaleNumber},
		{"expert without replica", func(w *world) []group.Message {
			m := prepareFor(w, number)
			m.Changes = []expertmap.SlotChange{{Cell: 0, Expert: expertmap.Empty}}
			bad, _ := w.record.Map.Apply(m.Changes)
			m.Digest = bad.Digest()
			return []group.Message{m}
		}, group.MapInvalid},
		{"another map than announced", func(w *world) []group.Message {
			m := prepareFor(w, number)
			m.Digest[0]++
			return []group.Message{m}
		}, group.MapInvalid},
		{"unknown base", func(w *world) []group.Message {
			m := prepareFor(w, number)
			m.Base++
			return []group.Message{m}
		}, group.BaseUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(1, 2, order.Capabilities{ChecksFences: true, ReadsBack: true})
			w.run(4 * time.Second)
			require.True(t, w.agreed())
			var last group.Message
			w.onSend = func(_ host.Name, m group.Message) bool {
				last = m
				return true
			}
			for _, m := range tt.messages(w) {
				w.deliver("planner-9", w.nodes[0].name, m)
			}
			assert.Equal(t, group.Refused, last.Vote)
			assert.Equal(t, tt.want, last.Reason)
			assert.Empty(t, w.failures)
		})
	}
}

func TestMessageBounds(t *testing.T) {
	good := group.Message{Kind: group.Prepare, Group: "redaction", Epoch: 1, Number: 1, Rate: 1, ExpertBytes: 1}
	require.NoError(t, good.Check())
	tests := map[string]func(m *group.Message){
		"kind":     func(m *group.Message) { m.Kind = group.Announce + 1 },
		"group":    func(m *group.Message) { m.Group = "" },
		"vote":     func(m *group.Message) { m.Vote = group.Unsure + 1 },
		"changes":  func(m *group.Message) { m.Changes = make([]expertmap.SlotChange, group.MaxChanges+1) },
		"patience": func(m *group.Message) { m.Remaining = group.MaxPatience + 1 },
		"rate":     func(m *group.Message) { m.Rate = 0 },
		"step":     func(m *group.Message) { m.Kind = group.Promise },
		"outcome":  func(m *group.Message) { m.Kind = group.Outcome },
		"record":   func(m *group.Message) { m.Kind = group.Announce },
		"other group's record": func(m *group.Message) {
			m.Kind, m.Record = group.Announce, desired(t, 1, "a", "b")
		},
	}
	for name, corrupt := range tests {
		t.Run(name, func(t *testing.T) {
			m := good
			corrupt(&m)
			assert.ErrorIs(t, m.Check(), group.ErrMessage)
			b, err := m.Encode()
			require.NoError(t, err)
			_, err = group.Decode(b)
			assert.ErrorIs(t, err, group.ErrMessage)
		})
	}
}

func FuzzDecode(f *testing.F) {
	m := desired(f, 1, "a", "b")
	m.Epoch, m.Incarnations = 1, []host.Incarnation{1, 2}
	for _, seed := range []group.Message{
		{Kind: group.Prepare, Group: "redaction", Number: 1, Rate: 1, ExpertBytes: 1, Changes: []expertmap.SlotChange{{Cell: 1}}},
		{Kind: group.Announce, Group: "redaction", Epoch: 1, Record: m},
		{Kind: group.Report, Group: "redaction", Vote: group.Promised, Step: 7},
	} {
		b, err := seed.Encode()
		require.NoError(f, err)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := group.Decode(b)
		if err != nil {
			return
		}
		again, err := m.Encode()
		require.NoError(t, err)
		_, err = group.Decode(again)
		require.NoError(t, err)
	})
}
