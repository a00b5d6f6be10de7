package places

import "wagtailshelf.example/wagtailshelf/internal/expert/changeover"

// Paces are how much longer than usual the ranks take for their work.
func Paces(reports []changeover.Report) []float64 {
	list := make([]float64, len(reports))
	for rank, r := range reports {
		list[rank] = Pace(r)
	}
	return list
}

// slowPace is from where a rank counts as slow; paces vary a little by themselves.
const slowPace = 1.2

// LeavePace is from where requests leave a slow rank. Its own part of a pass, a seventh of
// the work, then makes the passes of the whole group a quarter longer and more. With a
// rank that is twelve times slower, the passes of its group of eight took 260 to 490 ms
// while its streams stayed, and 40 to 90 ms once they had left and its experts too.
const LeavePace = 3

// mostPace bounds what a report can say: a rank that is slower still has stopped, and the
// fourth power of its load must stay a number.
const mostPace = 100

// Pace is how much longer than usual a rank takes, by its report. One that says nothing, or
// nothing that could be, counts as usual.
func Pace(r changeover.Report) float64 {
	if r.Pace < slowPace {
		return 1
	}
	return min(r.Pace, mostPace)
}
