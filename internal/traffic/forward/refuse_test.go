package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A hundred callers waited for a group and are refused at the same moment. If all received the
// same Retry-After, they would retry together, and most of them would be refused once more.
func TestRefusedCallersComeBackSpread(t *testing.T) {
	b := newTestbed(t)
	now := time.Now()
	c := &call{f: b.Forwarder, deadline: now.Add(6 * time.Second)}
	b.Now = func() time.Time { return now }
	longest := c.retryDelay()
	require.Equal(t, 2*time.Second, longest)
	early, late := 0, 0
	for range 200 {
		after := c.retryDelaySpread()
		require.GreaterOrEqual(t, after, time.Duration(minRetryShare*float64(longest)))
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
