package skew

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCommand runs the command end to end over a few minutes of demand: the tables and
// the plot must be written, and the printed tables must include the planner.
func TestCommand(t *testing.T) {
	dir := t.TempDir()
	cmd := Command()
	var out bytes.Buffer
	cmd.Writer = &out
	args := []string{"skew", "--scenario", "drift", "--ranks", "16", "--curve", "16", "--hours", "0.1", "--out", dir}
	require.NoError(t, cmd.Run(context.Background(), args))
	for _, name := range []string{"skew-drift.md", "tradeoff-drift.md", "tradeoff-drift.png"} {
		info, err := os.Stat(filepath.Join(dir, name))
		require.NoError(t, err)
		require.NotZero(t, info.Size())
	}
	require.Contains(t, out.String(), "planner, sparing")
}

func TestTicksAreRound(t *testing.T) {
	labels := func(low, high float64) []string {
		var list []string
		for _, tick := range skewTicks(low, high) {
			list = append(list, tick.Label)
		}
		return list
	}
	require.Equal(t, []string{"1.08", "1.10", "1.12", "1.14", "1.16", "1.18"}, labels(1.0667, 1.1824))
	require.Equal(t, []string{"1.20", "1.40", "1.60", "1.80", "2.00"}, labels(1.17, 2.1))
}

// TestRunIsRepeatable runs the same day twice with equal results. The relation between the
// competitors that the tables show must hold even over a few minutes: no step time is below
// its bound, and repacking loads more than ten times as much as the planner.
func TestRunIsRepeatable(t *testing.T) {
	s := scenarios()[1]
	runOnce := func() []result {
		list, err := run(context.Background(), s, shapeOf(64, 0), 0.15, 1, append(baselines(), shipped()...))
		require.NoError(t, err)
		return list
	}
	a, b := runOnce(), runOnce()
	for i := range a {
		require.Equal(t, a[i].skews, b[i].skews)
		require.Equal(t, a[i].loads, b[i].loads)
		for w, time := range a[i].times {
			require.GreaterOrEqual(t, time, a[i].bounds[w]-1e-3)
		}
	}
	require.Zero(t, a[0].loads)
	require.Greater(t, a[1].loads, 10*a[3].loads)
}
