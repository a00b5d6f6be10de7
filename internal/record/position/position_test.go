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
	list := []Position{{}, {0, 1}, {0, 1 << 50}, {1, 0}, {1, 7}, {2, 1}, {maxEra, 1 << 50}}
	for i, p := range list[1:] {
		require.Negative(t, list[i].Compare(p))
		require.Less(t, list[i].Term(), p.Term())
	}
}

// requireObserved passes one response's era to [Eras.Observe] and checks the result.
func requireObserved(t *testing.T, e *Eras, now time.Time, reported int64, era Era, ok bool) {
	t.Helper()
	got, gotOK := e.Observe(now, reported)
	require.Equal(t, ok, gotOK)
	require.Equal(t, era, got)
	require.Equal(t, era, e.Era())
}

// newEras returns an [Eras] and the list of the eras that it has begun.
func newEras() (*Eras, *[]Era) {
	var begun []Era
	e := &Eras{Changed: func(_, next Era, _ int64) { begun = append(begun, next) }}
	return e, &begun
}

// The store is restored from backups. A late response from the previous era is dropped.
func TestErasRise(t *testing.T) {
	e, begun := newEras()
	requireObserved(t, e, start, 4, 4, true)
	require.Empty(t, *begun, "the first report is no change")
	next := e.Next()
	requireObserved(t, e, start, 5, 5, true)
	<-next
	requireObserved(t, e, start.Add(time.Second), 4, 5, false)
	requireObserved(t, e, start.Add(time.Second), 9, 9, true)
	require.Equal(t, []Era{5, 9}, *begun)
}

// Restores of a store that reports no era are recognised by a falling revision. Several feeds
// see it fall, which begins one new era only.
func TestErasOfAStoreWithoutEras(t *testing.T) {
	e, begun := newEras()
	requireObserved(t, e, start, 0, 0, true)
	e.RevisionFell(start, 0)
	e.RevisionFell(start, 0)
	requireObserved(t, e, start, 0, 1, true)
	requireObserved(t, e, start, -7, 1, true)
	require.Equal(t, []Era{1}, *begun)
	requireObserved(t, e, start, 1, 1, true) // the store starts to report eras
	requireObserved(t, e, start, 2, 2, true)
}

// The store was set up anew and its era falls permanently. The process accepts the lower era
// after some seconds. Its own eras go on rising, so that later positions still compare as later.
func TestEraFallsForGood(t *testing.T) {
	e, begun := newEras()
	requireObserved(t, e, start, 7, 7, true)
	requireObserved(t, e, start.Add(time.Second), 1, 7, false)
	requireObserved(t, e, start.Add(2*lowerEraDelay), 1, 8, true)
	requireObserved(t, e, start.Add(2*lowerEraDelay), 2, 9, true)
	require.Equal(t, []Era{8, 9}, *begun)
}

// Two restored stores respond in turn behind a load balancer. The process stays with the later
// era, and doesn't read everything again with each response.
func TestErasThatAlternate(t *testing.T) {
	e, begun := newEras()
	for n := range 100 {
		_, ok := e.Observe(start.Add(time.Duration(n)*100*time.Millisecond), int64(5+n%2))
		require.Equal(t, n == 0 || n%2 == 1, ok)
	}
	require.Equal(t, []Era{6}, *begun)
}

// The store reports an absurdly high era once and then its old era again.
func TestAbsurdEra(t *testing.T) {
	e, _ := newEras()
	requireObserved(t, e, start, 3, 3, true)
	_, ok := e.Observe(start, 1<<62)
	require.True(t, ok)
	last := e.Era()
	requireObserved(t, e, start.Add(2*lowerEraDelay), 3, last+1, true)
	require.Positive(t, Position{Era: last + 1}.Term())
}
