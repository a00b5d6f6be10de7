// Package status is what operators read back about a document: which one is
// applied, whether the processes that were asked have it in force, which text they
// could not take, and how requests ended there.
//
// The platform's store says what is applied. What is in force at a process only the
// process itself knows, so each is asked and nothing of it is stored.
package status

import (
	"fmt"
	"strings"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/record/finding"
)

// MaxFindings bounds the findings that are kept of a text that was not taken. Whoever
// mends these checks the text again.
const MaxFindings = 50

// Applied is the document that is applied.
type Applied struct {
	Number uint64          `json:"number"` // the platform's version of documents/<service>
	Digest document.Digest `json:"digest"`
	By     string          `json:"by,omitempty"`
	At     time.Time       `json:"at,omitzero"`
}

// Refusal is a text that a process did not put in force, or only in part: written
// with the platform's own tools, or by a program with other checks.
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

// Process is what a process that was asked says of a service.
type Process struct {
	Host     host.Name `json:"host"`
	Number   uint64    `json:"number"` // in force there; 0 for none
	Since    time.Time `json:"since,omitzero"`
	Refused  *Refusal  `json:"refused,omitempty"`
	Outcomes Outcomes  `json:"outcomes"`
}

// Status is what operators read about the document of one service.
type Status struct {
	Service   string    `json:"service"`
	Applied   *Applied  `json:"applied,omitempty"`
	Processes []Process `json:"processes,omitempty"` // that were asked
}

// lags tells whether a process has an older document in force.
func (s *Status) lags(p Process) bool { return s.Applied != nil && p.Number < s.Applied.Number }

// InForce counts the processes that have the applied document in force.
func (s *Status) InForce() int {
	n := 0
	for _, p := range s.Processes {
		if !s.lags(p) {
			n++
		}
	}
	return n
}

// Settled tells whether all processes that were asked have the applied document in
// force, and some were asked.
func (s *Status) Settled() bool {
	return s.Applied != nil && len(s.Processes) > 0 && s.InForce() == len(s.Processes)
}

// Lagging says in words, one a process, who has an older document in force.
func (s *Status) Lagging() []string {
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

// Text returns the status for a person.
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
	fmt.Fprintf(&b, "  in force:  on %d of %d asked\n", s.InForce(), len(s.Processes))
	for _, l := range s.Lagging() {
		fmt.Fprintf(&b, "    lags:    %s\n", l)
	}
	var sum Outcomes
	for _, p := range s.Processes {
		sum.Answered += p.Outcomes.Answered
		sum.NotRun += p.Outcomes.NotRun
		sum.Unknown += p.Outcomes.Unknown
		textRefused(&b, p)
	}
	fmt.Fprintf(&b, "  requests:  %d answered, %d not run, %d unknown\n", sum.Answered, sum.NotRun, sum.Unknown)
	return b.String()
}

func textRefused(b *strings.Builder, p Process) {
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
