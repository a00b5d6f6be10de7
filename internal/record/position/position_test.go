package position

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)

func ExamplePosition_Before() {
	before := Position{Era: 1, Revision: 100}
	after := Position{Era: 2, Revision: 41}
	fmt.Println(before.Before(after), after.Before(before), after)
	// Output: true false 2.41
}

func TestTermRisesWithPositions(t *testing.T) {
	list := []Position{{}, {0, 1}, {0, 1 << 50}, {1, 0}, {1, 7}, {2, 1}, {mostEra, 1 << 50}}
	for i, p := range list[1:] {
		require.Negative(t, list[i].Compare(p))
		require.Less(t, list[i].Term(), p.Term())
	}
}

// requireHeard has an answer tell an era.
func requireHeard(t *testing.T, e *Eras, now time.Time, told int64, era Era, ok bool) {
	t.Helper()
	got, taken := e.Heard(now, told)
	require.Equal(t, ok, taken)
	require.Equal(t, era, got)
	require.Equal(t, era, e.Era())
}

// newEras returns eras that note each change.
func newEras() (*Eras, *[]Era) {
	var seen []Era
	e := &Eras{Changed: func(_, is Era, _ int64) { seen = append(seen, is) }}
	return e, &seen
}

// The store comes back from copies. An answer of before that comes late is dropped.
func TestErasRise(t *testing.T) {
	e, seen := newEras()
	requireHeard(t, e, start, 4, 4, true)
	require.Empty(t, *seen, "the first word is no change")
	news := e.News()
	requireHeard(t, e, start, 5, 5, true)
	<-news
	requireHeard(t, e, start.Add(time.Second), 4, 5, false)
	requireHeard(t, e, start.Add(time.Second), 9, 9, true)
	require.Equal(t, []Era{5, 9}, *seen)
}

// A store that tells no era is followed by its revisions, which several feeds see fall.
func TestErasOfAStoreThatTellsNone(t *testing.T) {
	e, seen := newEras()
	requireHeard(t, e, start, 0, 0, true)
	e.Fell(start, 0)
	e.Fell(start, 0)
	requireHeard(t, e, start, 0, 1, true)
	requireHeard(t, e, start, -7, 1, true)
	require.Equal(t, []Era{1}, *seen)
	requireHeard(t, e, start, 1, 1, true) // it begins to tell them
	requireHeard(t, e, start, 2, 2, true)
}

// The era falls for good, as the store was set up anew: the process follows it after some
// seconds. Its own eras go on rising, so that what is later stays later.
func TestEraFallsForGood(t *testing.T) {
	e, seen := newEras()
	requireHeard(t, e, start, 7, 7, true)
	requireHeard(t, e, start.Add(time.Second), 1, 7, false)
	requireHeard(t, e, start.Add(2*settles), 1, 8, true)
	requireHeard(t, e, start.Add(2*settles), 2, 9, true)
	require.Equal(t, []Era{8, 9}, *seen)
}

// A load balancer before two copies: their answers come by turns. The process stays with the
// later one, and doesn't read all anew with each answer.
func TestErasThatAlternate(t *testing.T) {
	e, seen := newEras()
	for n := range 100 {
		_, ok := e.Heard(start.Add(time.Duration(n)*100*time.Millisecond), int64(5+n%2))
		require.Equal(t, n == 0 || n%2 == 1, ok)
	}
	require.Equal(t, []Era{6}, *seen)
}

// An absurd number comes once, and what the store told before goes on.
func TestAbsurdEra(t *testing.T) {
	e, _ := newEras()
	requireHeard(t, e, start, 3, 3, true)
	_, ok := e.Heard(start, 1<<62)
	require.True(t, ok)
	is := e.Era()
	requireHeard(t, e, start.Add(2*settles), 3, is+1, true)
	require.Positive(t, Position{Era: is + 1}.Term())
}
