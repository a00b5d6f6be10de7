package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A hundred callers waited for a group and are refused in the same moment. If all were told
// the same they would come back as one wave, and most of them be refused once more.
func TestRefusedCallersComeBackSpread(t *testing.T) {
	b := newBench(t)
	now := time.Now()
	c := &call{f: b.Forwarder, deadline: now.Add(6 * time.Second)}
	b.Now = func() time.Time { return now }
	longest := c.comeBack()
	require.Equal(t, 2*time.Second, longest)
	early, late := 0, 0
	for range 200 {
		after := c.comeBackSpread()
		require.GreaterOrEqual(t, after, time.Duration(leastReturn*float64(longest)))
		require.LessOrEqual(t, after, longest)
		if after < longest*6/10 {
			early++
		}
		if after > longest*8/10 {
			late++
		}
	}
	require.Greater(t, early, 20)
	require.Greater(t, late, 20)
}
