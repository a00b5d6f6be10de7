package planner

import (
	"testing"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/expert/group"
)

// The observed active map is the base of a planner's plans. The observer must accept
// a map only if all ranks have promised it in the current epoch and its content is
// the proposed one.
func TestSwitchObserver(t *testing.T) {
	first, err := expertmap.Even(shape)
	require.NoError(t, err)
	second := first.Clone()
	second.Set(0, 0, 4, 1)
	changes, err := expertmap.SlotChanges(first, second)
	require.NoError(t, err)
	announce := group.Message{Kind: group.Announce, Epoch: 3, Record: &group.Record{Epoch: 3, Number: 5, Map: first}}
	prepare := group.Message{Kind: group.Prepare, Epoch: 3, Number: 7, Base: 5, Changes: changes, Digest: second.Digest()}
	vote := func(v group.Vote) group.Message {
		return group.Message{Kind: group.Outcome, Epoch: 3, Number: 7, Vote: v}
	}
	change := func(m group.Message, f func(*group.Message)) group.Message {
		f(&m)
		return m
	}
	cases := []struct {
		name   string
		m      group.Message
		then   group.Message
		active bool
	}{
		{"committed", prepare, vote(group.Committed), true},
		{"finished", prepare, vote(group.Finished), true},
		{"active on another rank", prepare, group.Message{Kind: group.Report, Epoch: 3, ActiveNumber: 7}, true},
		{"complete map", change(prepare, func(m *group.Message) { m.Base, m.Changes, m.Map = 1, nil, second }), vote(group.Committed), true},
		{"only promised", prepare, vote(group.Promised), false},
		{"refused", prepare, vote(group.Refused), false},
		{"another switch committed", prepare, change(vote(group.Committed), func(m *group.Message) { m.Number = 8 }), false},
		{"outcome of an older epoch", prepare, change(vote(group.Committed), func(m *group.Message) { m.Epoch = 2 }), false},
		{"proposed in an older epoch", change(prepare, func(m *group.Message) { m.Epoch = 2 }), vote(group.Committed), false},
		{"changes to a map that is not known", change(prepare, func(m *group.Message) { m.Base = 4 }), vote(group.Committed), false},
		{"other content than proposed", change(prepare, func(m *group.Message) { m.Digest[0]++ }), vote(group.Committed), false},
		{"older number", change(prepare, func(m *group.Message) { m.Number = 4 }), change(vote(group.Committed), func(m *group.Message) { m.Number = 4 }), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var o switchObserver
			o.observe(announce)
			o.observe(c.m)
			o.observe(c.then)
			require.Equal(t, c.active, o.newer(3, 5))
			require.False(t, o.newer(2, 5))
			if c.active {
				require.True(t, o.m.Equal(second))
			}
		})
	}
}
