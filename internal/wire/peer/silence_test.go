package peer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSilence(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	steps := []struct {
		name      string
		now       int
		lastFrame int
		want      verdict
	}{
		{"quiet for less than the bound", 100, 0, verdict{next: 150 * time.Millisecond}},
		{"quiet for the bound", 250, 0, verdict{ping: true, next: 250 * time.Millisecond}},
		{"pinged just now", 300, 0, verdict{next: 250 * time.Millisecond}},
		{"frame after the ping", 350, 340, verdict{next: 240 * time.Millisecond}},
		{"quiet again", 600, 340, verdict{ping: true, next: 250 * time.Millisecond}},
		{"last ping before the end", 1200, 340, verdict{ping: true, next: 140 * time.Millisecond}},
		{"closed as silent", 1340, 340, verdict{silent: true}},
	}
	s := silenceDetector{pingAfter: 250 * time.Millisecond, silentAfter: time.Second}
	s.expect(start)
	for _, step := range steps {
		require.Equal(t, step.want, s.check(at(step.now), at(step.lastFrame)), step.name)
	}
}

// A connection that was unused for an hour is not silent when the next request
// begins: the quiet time counts from the moment a frame is expected.
func TestQuietBeforeExpectProvesNothing(t *testing.T) {
	start := time.Unix(1000, 0)
	s := silenceDetector{pingAfter: 250 * time.Millisecond, silentAfter: time.Second}
	s.expect(start.Add(time.Hour))
	require.False(t, s.check(start.Add(time.Hour+time.Millisecond), start).silent)
}
