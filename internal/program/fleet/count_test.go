package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A dead host holds up an acceptance for seconds, and the holder says so on each
// event. The log gets a line when it is news, and one each few seconds after.
func TestWaitsAreLoggedWhenTheyAreNews(t *testing.T) {
	start := time.Unix(1000, 0)
	w := make(waits)
	steps := []struct {
		name    string
		after   time.Duration
		service string
		members int
		want    bool
	}{
		{"first", 0, "agenda", 3, true},
		{"the same", time.Second, "agenda", 3, false},
		{"another service", time.Second, "redaction", 3, true},
		{"fewer members", 2 * time.Second, "agenda", 1, true},
		{"the same again", 3 * time.Second, "agenda", 1, false},
		{"long ago", 7 * time.Second, "agenda", 1, true},
	}
	for _, step := range steps {
		require.Equal(t, step.want, w.due(start.Add(step.after), step.service, step.members), step.name)
	}
}
