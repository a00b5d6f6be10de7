package trial

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Report is the result of a trial.
type Report struct {
	Stages   []StageReport `json:"stages"`
	Breaches []breach      `json:"breaches"`
}

// StageReport counts the outcomes of one stage.
type StageReport struct {
	Name       string        `json:"name"`
	Doc        string        `json:"doc"`
	Calls      int           `json:"calls"`
	Answered   int           `json:"answered"`
	NotRun     int           `json:"notRun"`
	Unknown    int           `json:"unknown"`
	Missing    int           `json:"missing"`
	Median     time.Duration `json:"medianNanos"`
	Longest    time.Duration `json:"longestNanos"`
	Duration   time.Duration `json:"durationNanos"`
	FirstFault string        `json:"firstFault,omitempty"` // the first reason that was not answered
}

func (s *session) summary(st stage, took time.Duration) StageReport {
	rep := StageReport{Name: st.name, Doc: st.doc, Duration: took}
	var times []time.Duration
	for _, r := range s.callers.all() {
		if r.stage != st.name {
			continue
		}
		rep.count(r)
		times = append(times, r.took)
	}
	if len(times) > 0 {
		slices.Sort(times)
		rep.Median, rep.Longest = times[len(times)/2], times[len(times)-1]
	}
	return rep
}

func (rep *StageReport) count(r callResult) {
	rep.Calls++
	switch r.outcome {
	case outcomeAnswered:
		rep.Answered++
		return
	case outcomeNotRun:
		rep.NotRun++
	case outcomeUnknown:
		rep.Unknown++
	default:
		rep.Missing++
	}
	if rep.FirstFault == "" {
		rep.FirstFault = r.reason
	}
}

// WriteText prints the report for a person.
func (rep *Report) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "stage\tcalls\tanswered\tnotRun\tunknown\tmedian\tlongest\t")
	for _, st := range rep.Stages {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%s\t%s\t\n", st.Name, st.Calls, st.Answered, st.NotRun, st.Unknown,
			st.Median.Round(time.Millisecond), st.Longest.Round(time.Millisecond))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, st := range rep.Stages {
		if st.FirstFault != "" {
			fmt.Fprintf(w, "%s: first reason %s\n", st.Name, st.FirstFault)
		}
	}
	for _, b := range rep.Breaches {
		fmt.Fprintf(w, "BROKEN in %s: %s: %s\n", b.Stage, b.Promise, b.Detail)
	}
	_, err := fmt.Fprintf(w, "promises broken: %d\n", len(rep.Breaches))
	return err
}

// WriteJSON prints the report for a program.
func (rep *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(rep)
}
