package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a part that crashes servers and is free again once it has crashed one more: it then seemed to be held
// later than another that was at the first crashes, all at once, and to be explained by it.
func TestCrashAfterSeveralAtOnce(t *testing.T) {
	q := New("a")
	q.Answered(at(-time.Minute), preamble)
	for n := range crashesAtOnce {
		crashParts(q, at(time.Duration(n-crashesAtOnce)*time.Millisecond), fmt.Sprint("i-", n), bad, topic)
	}
	require.True(t, q.Check(start, bad, topic).Quarantined)
	crashParts(q, at(5*time.Second), "i-3", bad)
	require.Equal(t, 3, q.Check(at(5*time.Second), bad).Crashes)
	require.True(t, q.Check(at(5*time.Second), bad).Quarantined)
	requireNotHeld(t, q, at(5*time.Second), topic)
}
