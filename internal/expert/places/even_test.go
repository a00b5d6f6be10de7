package places

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A quiet day: demand moves a little, passes are short, and nobody is late. Copies would
// cost and win nothing. Under load each bit of skew makes callers late, and is moved away.
func TestUnevenLayersAreLeftWhilePassesAreShort(t *testing.T) {
	const aim = 100 * time.Millisecond
	require.InDelta(t, evenLoose, EvenEnough(30*time.Millisecond, aim), 1e-9)
	require.InDelta(t, evenTight, EvenEnough(60*time.Millisecond, aim), 1e-9)
	require.InDelta(t, evenTight, EvenEnough(time.Second, aim), 1e-9)
	require.InDelta(t, (evenLoose+evenTight)/2, EvenEnough(50*time.Millisecond, aim), 1e-9)
	require.InDelta(t, evenTight, EvenEnough(0, aim), 1e-9, "not known yet")
	require.InDelta(t, evenTight, EvenEnough(time.Second, 0), 1e-9, "no route aims at anything")
}
