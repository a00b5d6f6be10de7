// Package status describes what operators read about the document of a service:
// which one is applied, whether it is active in the queried processes, which text
// they refused, and how requests ended there.
//
// The applied document is read from the platform's store. Which document is active
// in a process is known only to the process itself, so each one is queried and the
// results are not stored.
package status

import (
	"fmt"
	"strings"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/record/finding"
)

// MaxFindings bounds the findings that a [Refusal] holds. After correcting these, the
// author of the text checks it again.
const MaxFindings = 50

// Applied is the document that is applied.
type Applied struct {
	Number uint64          `json:"number"` // the platform's version of documents/<service>
	Digest document.Digest `json:"digest"`
	By     string          `json:"by,omitempty"`
	At     time.Time       `json:"at,omitzero"`
}

// Refusal describes a text that a process did not activate, or only in part: it was
// written with the platform's own tools, or by a version of the program with other checks.
type Refusal struct {
	Number   uint64       `json:"number"`
	Count    int          `json:"count"` // of findings
	Findings finding.List `json:"findings"`
}

// Outcomes counts how requests ended since a process started.
type Outcomes struct {
	Answered uint64 `json:"answered"`
	NotRun   uint64 `json:"notRun"`
	Unknown  uint64 `json:"unknown"`
}

// Process is the report of a queried process about a service.
type Process struct {
	Host     host.Name `json:"host"`
	Number   uint64    `json:"number"` // of the document that is active there; 0 for none
	Since    time.Time `json:"since,omitzero"`
	Refused  *Refusal  `json:"refused,omitempty"`
	Outcomes Outcomes  `json:"outcomes"`
}

// Status is the state of the document of one service.
type Status struct {
	Service   string    `json:"service"`
	Applied   *Applied  `json:"applied,omitempty"`
	Processes []Process `json:"processes,omitempty"` // that were queried
}

// lags reports whether an older document than the applied one is active in a process.
func (s *Status) lags(p Process) bool { return s.Applied != nil && p.Number < s.Applied.Number }

// ActiveCount counts the processes in which the applied document is active.
func (s *Status) ActiveCount() int {
	n := 0
	for _, p := range s.Processes {
		if !s.lags(p) {
			n++
		}
	}
	return n
}

// ActiveEverywhere reports whether any processes were queried and the applied document is active
// in all of them.
func (s *Status) ActiveEverywhere() bool {
	return s.Applied != nil && len(s.Processes) > 0 && s.ActiveCount() == len(s.Processes)
}

// LaggingTexts returns a text for each process in which an older document is active, or none.
func (s *Status) LaggingTexts() []string {
	var out []string
	for _, p := range s.Processes {
		switch {
		case !s.lags(p):
		case p.Number == 0:
			out = append(out, fmt.Sprintf("%s has none", p.Host))
		default:
			out = append(out, fmt.Sprintf("%s has number %d", p.Host, p.Number))
		}
	}
	return out
}

// Text formats the status for people to read.
func (s *Status) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n", s.Service)
	if s.Applied == nil {
		b.WriteString("  applied:   none\n")
		return b.String()
	}
	a := s.Applied
	fmt.Fprintf(&b, "  applied:   number %d, digest %s, by %s at %s\n", a.Number, a.Digest.Short(), orUnknown(a.By), a.At.UTC().Format(time.RFC3339))
	if len(s.Processes) == 0 {
		return b.String()
	}
	fmt.Fprintf(&b, "  in force:  on %d of %d asked\n", s.ActiveCount(), len(s.Processes))
	for _, lagging := range s.LaggingTexts() {
		fmt.Fprintf(&b, "    lags:    %s\n", lagging)
	}
	var total Outcomes
	for _, p := range s.Processes {
		total.Answered += p.Outcomes.Answered
		total.NotRun += p.Outcomes.NotRun
		total.Unknown += p.Outcomes.Unknown
		writeRefusal(&b, p)
	}
	fmt.Fprintf(&b, "  requests:  %d answered, %d not run, %d unknown\n", total.Answered, total.NotRun, total.Unknown)
	return b.String()
}

func writeRefusal(b *strings.Builder, p Process) {
	r := p.Refused
	if r == nil {
		return
	}
	fmt.Fprintf(b, "  refused:   number %d at %s, with %d findings\n", r.Number, p.Host, r.Count)
	for _, f := range r.Findings {
		fmt.Fprintf(b, "    %s\n", f)
	}
}

func orUnknown(by string) string {
	if by == "" {
		return "unknown"
	}
	return by
}
