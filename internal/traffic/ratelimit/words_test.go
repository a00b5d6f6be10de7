package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func namedRate(target string, rate Rate, age time.Duration) Report {
	return Report{Target: target, Statement: Statement{Kind: Named, Rate: rate}, Age: age}
}

func TestReports(t *testing.T) {
	var w Reports
	require.Empty(t, w.Recent(start, time.Minute, 4, 0))
	w.Add(start, namedRate("a", 1, 0))
	w.Add(start, namedRate("a", 2, time.Second)) // older
	w.Add(start, namedRate("b", 3, -time.Hour))  // an age below zero counts as none
	later := start.Add(time.Second)
	require.Equal(t, []Report{namedRate("a", 1, time.Second), namedRate("b", 3, time.Second)}, w.Recent(later, time.Minute, 4, 0))
	w.Add(later, Report{Target: "a"})
	require.Equal(t, []Report{{Target: "a"}}, w.Recent(later, time.Second/2, 4, 0))
	require.Empty(t, w.Recent(later.Add(time.Second), time.Second/2, 4, 0))
}

// Hundreds of targets are rate-limited at once, and a datagram has room for sixteen of them. All
// are sent in turn.
func TestAllReportsAreListedInTurn(t *testing.T) {
	for _, targets := range []int{17, 48, 100, maxReports} {
		const most = 16
		var w Reports
		for n := range targets {
			w.Add(start, namedRate(fmt.Sprint(n), 1, 0))
		}
		listed := make(map[string]bool)
		for turn := range uint64(targets) {
			list := w.Recent(start, time.Minute, most, turn)
			require.Len(t, list, most)
			for _, report := range list {
				listed[report.Target] = true
			}
		}
		require.Len(t, listed, targets)
	}
}

// Ever new targets name rates. The memory stays bounded, and the newest reports stay.
func TestReportsAreBounded(t *testing.T) {
	var w Reports
	for n := range 2 * maxReports {
		w.Add(start.Add(time.Duration(n)*time.Millisecond), namedRate(fmt.Sprint(n), 1, 0))
	}
	list := w.Recent(start.Add(2*maxReports*time.Millisecond), time.Minute, maxReports+1, 0)
	require.Len(t, list, maxReports)
	for _, report := range list {
		require.LessOrEqual(t, report.Age, (maxReports+1)*time.Millisecond)
	}
}
