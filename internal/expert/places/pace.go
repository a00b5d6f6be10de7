package places

import "wagtailshelf.example/wagtailshelf/internal/expert/changeover"

// Slowdowns returns the slowdown of each rank.
func Slowdowns(reports []changeover.Report) []float64 {
	list := make([]float64, len(reports))
	for rank, r := range reports {
		list[rank] = Slowdown(r)
	}
	return list
}

// minSlowdown is the slowdown from which a rank counts as slow; step times always vary a little.
const minSlowdown = 1.2

// LeaveSlowdown is the slowdown from which requests are moved away from a rank. Its own part of a
// step, the seventh that is not experts' work, then makes the steps of the whole group longer by
// a quarter or more. With a rank that is twelve times slower, the steps of its group of eight took
// 260 to 490 ms while its streams stayed, and 40 to 90 ms once its streams and experts had been
// moved away.
const LeaveSlowdown = 3

// maxSlowdown bounds the slowdown that a report can state: a rank that is slower than this has
// stopped, and the fourth power of its load must stay a finite number.
const maxSlowdown = 100

// Slowdown returns the slowdown of a rank from its report. A value below minSlowdown, such as a
// missing or impossible one, counts as 1.
func Slowdown(r changeover.Report) float64 {
	if r.Slowdown < minSlowdown {
		return 1
	}
	return min(r.Slowdown, maxSlowdown)
}
