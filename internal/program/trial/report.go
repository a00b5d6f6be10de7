package trial

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// maxShownBreaches is how many breaches the text report lists at the most.
const maxShownBreaches = 10

// Report is the result of a trial.
type Report struct {
	Stages   []StageReport   `json:"stages"`
	Promises []PromiseReport `json:"promises"`
	Breaches []breach        `json:"breaches"`
}

// PromiseReport counts how often a promise was checked and broken.
type PromiseReport struct {
	Promise string `json:"promise"`
	Checked int    `json:"checked"`
	Broken  int    `json:"broken"`
}

// StageReport counts the outcomes of one stage.
type StageReport struct {
	Name     string        `json:"name"`
	Doc      string        `json:"doc"`
	Calls    int           `json:"calls"`
	Answered int           `json:"answered"`
	NotRun   int           `json:"notRun"`
	Unknown  int           `json:"unknown"`
	Broken   int           `json:"broken"` // the entry was killed during the call
	Missing  int           `json:"missing"`
	Median   time.Duration `json:"medianNanos"`
	Longest  time.Duration `json:"longestNanos"`
	Duration time.Duration `json:"durationNanos"`
	Reasons  []Reason      `json:"reasons,omitempty"` // why calls were not answered
}

// Reason counts the calls that were not answered for one reason.
type Reason struct {
	Reason string `json:"reason"`
	Calls  int    `json:"calls"`
}

// stageReport counts the results of a stage.
func (s *session) stageReport(st stage, duration time.Duration) StageReport {
	rep := StageReport{Name: st.name, Doc: st.doc, Duration: duration}
	var durations []time.Duration
	for _, r := range s.callers.allResults() {
		if r.stage != st.name {
			continue
		}
		rep.add(r)
		durations = append(durations, r.duration)
	}
	if len(durations) > 0 {
		slices.Sort(durations)
		rep.Median, rep.Longest = durations[len(durations)/2], durations[len(durations)-1]
	}
	return rep
}

func (rep *StageReport) add(r callResult) {
	rep.Calls++
	switch r.outcome {
	case outcomeAnswered:
		rep.Answered++
		return
	case outcomeNotRun:
		rep.NotRun++
	case outcomeUnknown:
		rep.Unknown++
	case outcomeBroken:
		rep.Broken++
	default:
		rep.Missing++
	}
	rep.addReason(r)
}

func (rep *StageReport) addReason(r callResult) {
	name := r.reason
	if r.outcome == outcomeBroken {
		name = "the entry died" // the text of the network error differs from run to run
	}
	for i := range rep.Reasons {
		if rep.Reasons[i].Reason == name {
			rep.Reasons[i].Calls++
			return
		}
	}
	rep.Reasons = append(rep.Reasons, Reason{Reason: name, Calls: 1})
}

// WriteText prints the report as text.
func (rep *Report) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "stage\tcalls\tanswered\tnotRun\tunknown\tbroken\tmedian\tlongest\t")
	for _, st := range rep.Stages {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t\n", st.Name, st.Calls, st.Answered, st.NotRun, st.Unknown, st.Broken,
			st.Median.Round(time.Millisecond), st.Longest.Round(time.Millisecond))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, st := range rep.Stages {
		for _, r := range st.Reasons {
			fmt.Fprintf(w, "%s: %d x %s\n", st.Name, r.Calls, r.Reason)
		}
	}
	fmt.Fprintln(w)
	if err := rep.writePromises(w); err != nil {
		return err
	}
	for i, b := range rep.Breaches {
		if i == maxShownBreaches {
			fmt.Fprintf(w, "and %d more; --json has all\n", len(rep.Breaches)-i)
			break
		}
		fmt.Fprintf(w, "BROKEN in %s: %s: %s\n", b.Stage, b.Promise, b.Detail)
	}
	_, err := fmt.Fprintf(w, "promises broken: %d\n", len(rep.Breaches))
	return err
}

func (rep *Report) writePromises(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "promise\tchecked\tbroken")
	for _, p := range rep.Promises {
		fmt.Fprintf(table, "%s\t%d\t%d\n", p.Promise, p.Checked, p.Broken)
	}
	return table.Flush()
}

// WriteJSON prints the report as JSON.
func (rep *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(rep)
}
