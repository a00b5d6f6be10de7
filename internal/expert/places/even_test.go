package places

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// On a quiet day demand shifts a little, steps are short, and no response is late: copying
// experts would cost something and gain nothing. Under load any skew makes responses late, and
// experts are moved to reduce it.
func TestUnevenLayersAreLeftWhileStepsAreShort(t *testing.T) {
	const goal = 100 * time.Millisecond
	require.InDelta(t, looseSkew, ToleratedSkew(30*time.Millisecond, goal), 1e-9)
	require.InDelta(t, tightSkew, ToleratedSkew(60*time.Millisecond, goal), 1e-9)
	require.InDelta(t, tightSkew, ToleratedSkew(time.Second, goal), 1e-9)
	require.InDelta(t, (looseSkew+tightSkew)/2, ToleratedSkew(50*time.Millisecond, goal), 1e-9)
	require.InDelta(t, tightSkew, ToleratedSkew(0, goal), 1e-9, "not known yet")
	require.InDelta(t, tightSkew, ToleratedSkew(time.Second, 0), 1e-9, "no route has a goal")
}
