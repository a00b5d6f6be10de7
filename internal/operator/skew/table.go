package skew

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// writeTable writes the results for one scenario and number of ranks as Markdown.
func writeTable(w io.Writer, s scenario, list []result) error {
	if len(list) == 0 {
		return nil
	}
	first := list[0]
	_, err := fmt.Fprintf(w, "\n### %s, %d ranks of %d slots, %g h\n\n%s", s.name, first.shape.Ranks, first.shape.Slots, first.hours, header)
	if err != nil {
		return err
	}
	for _, r := range list {
		if err := r.writeRow(w); err != nil {
			return err
		}
	}
	return nil
}

const header = "| policy | skew, mean | skew, p99 | without noise, mean | over bound, mean | loads/h | GB/h | changes/h | fewest loads/h | plan ms, mean | plan ms, max | plan MB |\n" +
	"|---|---|---|---|---|---|---|---|---|---|---|---|\n"

func (r result) writeRow(w io.Writer) error {
	_, err := fmt.Fprintf(w, "| %s | %.4f | %.4f | %.4f | %.4f | %.0f | %.1f | %.1f | %s | %.1f | %.1f | %.1f |\n",
		r.label(),
		mean(r.skews),
		quantile(r.skews, 0.99),
		mean(r.noiseless),
		mean(r.times)/max(mean(r.bounds), 1),
		r.loadsPerHour(),
		r.loadsPerHour()*expertBytes/1e9,
		float64(r.mapSwitches)/r.hours,
		r.minLoadsPerHour(),
		milliseconds(r.meanPlanning()),
		milliseconds(r.longestPlanning()),
		float64(r.memory)/1e6,
	)
	return err
}

func (r result) label() string {
	if r.kind != planned {
		return r.name
	}
	return fmt.Sprintf("%s (%g:%g)", r.name, r.weights.Skew, r.weights.Moves)
}

func (r result) loadsPerHour() float64 {
	return float64(r.loads) / r.hours
}

// minLoadsPerHour returns the lower bound on the planner's loads for the step times that
// its plans reached. The bound is loose: it assumes that the present replicas of an
// expert can divide its tokens freely.
func (r result) minLoadsPerHour() string {
	if r.kind != planned {
		return ""
	}
	return fmt.Sprintf("%.0f", float64(r.minLoads)/r.hours)
}

func (r result) meanPlanning() time.Duration {
	sum := time.Duration(0)
	for _, d := range r.planning {
		sum += d
	}
	return sum / time.Duration(max(len(r.planning), 1))
}

func (r result) longestPlanning() time.Duration {
	if len(r.planning) == 0 {
		return 0
	}
	return slices.Max(r.planning)
}

func milliseconds(d time.Duration) float64 {
	return d.Seconds() * 1000
}
