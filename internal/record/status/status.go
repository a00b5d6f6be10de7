// Package status keeps what operators read back about each document: which one
// is accepted, on how many processes it is in force and who lags, what an
// acceptance waits for, why a document was refused, and how requests ended.
//
// The status of a service is one object, status/<service>, in JSON. It is
// written by the process that holds the lease for accepting; [Board] decides
// when. Its size is bounded: of long lists it has the first entries and the
// count.
package status

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/record/finding"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

// ObjectKind is the kind of the objects that hold a status.
const ObjectKind = "status"

// Key returns the key of a service's status.
func Key(service string) object.Key { return object.Key(ObjectKind + "/" + service) }

// Bounds of a status.
const (
	MaxNames        = 64 // named of a list of processes
	MaxFindings     = 50
	MaxMessageBytes = 400 // of a finding
	MaxBytes        = 128 << 10
)

// Accepted is the document that is accepted.
type Accepted struct {
	Number  uint64          `json:"number"`
	Digest  document.Digest `json:"digest"`
	By      string          `json:"by,omitempty"`
	At      time.Time       `json:"at"`
	Version object.Version  `json:"version"` // of documents/<service>
}

// Lag is a process that has an older document in force.
type Lag struct {
	Host   host.Name `json:"host"`
	Number uint64    `json:"number"` // in force there; 0 if that is not known
	// Silent means that it has not answered its neighbours for so long that it
	// takes no new work.
	Silent bool `json:"silent,omitempty"`
}

// String says what is known of the process.
func (l Lag) String() string {
	if l.Silent {
		return string(l.Host) + " does not answer, and takes no new work"
	}
	if l.Number == 0 {
		return string(l.Host) + " is not known to have any"
	}
	return fmt.Sprintf("%s has number %d", l.Host, l.Number)
}

// Wait is an acceptance that is under way.
type Wait struct {
	Version object.Version `json:"version"` // of documents/<service>
	Since   time.Time      `json:"since"`
	Holding int            `json:"holding"`       // processes that hold the text
	Of      int            `json:"of"`            // processes that are known
	For     []host.Name    `json:"for,omitempty"` // those that can't be left out and are silent
}

// Refusal is a document that was applied and failed a check.
type Refusal struct {
	Version  object.Version `json:"version"` // of documents/<service>
	At       time.Time      `json:"at"`
	Count    int            `json:"count"` // of findings
	Findings finding.List   `json:"findings"`
}

// Outcomes counts how requests ended since the processes that report started.
type Outcomes struct {
	Answered uint64 `json:"answered"`
	NotRun   uint64 `json:"notRun"`
	Unknown  uint64 `json:"unknown"`
}

// Add adds other counts.
func (o *Outcomes) Add(other Outcomes) {
	o.Answered += other.Answered
	o.NotRun += other.NotRun
	o.Unknown += other.Unknown
}

// Status is what operators read about the document of one service.
type Status struct {
	Service  string    `json:"service"`
	At       time.Time `json:"at"` // when it was written
	Fence    uint64    `json:"fence"`
	Holder   host.Name `json:"holder"` // the process that wrote it
	Accepted *Accepted `json:"accepted,omitempty"`
	InForce  int       `json:"inForce"`          // processes that have the accepted document in force
	Silent   int       `json:"silent,omitempty"` // of the others, those that take no new work
	Of       int       `json:"of"`               // processes that are known
	Lagging  []Lag     `json:"lagging,omitempty"`
	Waiting  *Wait     `json:"waiting,omitempty"`
	Refused  *Refusal  `json:"refused,omitempty"`
	Outcomes Outcomes  `json:"outcomes"`
}

// Settled tells whether the accepted document is in force on all processes that
// take new work and no other one is under way.
func (s *Status) Settled() bool {
	return s.Accepted != nil && s.Waiting == nil && s.InForce > 0 && s.InForce+s.Silent == s.Of
}

// Encode returns the status as it is stored, within its bounds.
func (s *Status) Encode() []byte {
	for names, findings := MaxNames, MaxFindings; ; names, findings = names/2, findings/2 {
		b, err := json.Marshal(s.bounded(names, findings))
		if err != nil {
			panic(err) // structs of numbers, strings and times always encode
		}
		// Control characters take six bytes each in JSON, so that few entries
		// can be large too.
		if len(b) <= MaxBytes || names == 0 {
			return b
		}
	}
}

// bounded returns the status with at most so many names and findings in a list.
func (s *Status) bounded(names, findings int) Status {
	bounded := *s
	bounded.Lagging = s.Lagging[:min(len(s.Lagging), names)]
	if s.Waiting != nil {
		w := *s.Waiting
		w.For = w.For[:min(len(w.For), names)]
		bounded.Waiting = &w
	}
	if s.Refused != nil {
		r := *s.Refused
		r.Findings = shortened(r.Findings, findings)
		bounded.Refused = &r
	}
	return bounded
}

func shortened(list finding.List, n int) finding.List {
	short := slices.Clone(list[:min(len(list), n)])
	for i := range short {
		short[i].Message = cut(short[i].Message)
		short[i].Path = cut(short[i].Path)
		short[i].Position.File = cut(short[i].Position.File)
	}
	return short
}

func cut(s string) string {
	if len(s) <= MaxMessageBytes {
		return s
	}
	return strings.ToValidUTF8(s[:MaxMessageBytes], "") + "…"
}

// Decode reads a stored status.
func Decode(value []byte) (Status, error) {
	var s Status
	if len(value) > MaxBytes {
		return s, fmt.Errorf("the status has %d bytes; at most %d are allowed", len(value), MaxBytes)
	}
	err := json.Unmarshal(value, &s)
	return s, err
}

// StaleAfter is the age from which a status is out of date: whoever wrote it
// would have done so again.
const StaleAfter = 3 * refreshEvery

// Text returns the status for a person who reads it at now.
func (s *Status) Text(now time.Time) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n", s.Service)
	s.textAccepted(&b)
	s.textWaiting(&b, now)
	s.textRefused(&b)
	if s.At.IsZero() {
		b.WriteString("  as of:     no status is written yet\n")
		return b.String()
	}
	o := s.Outcomes
	fmt.Fprintf(&b, "  requests:  %d answered, %d not run, %d unknown\n", o.Answered, o.NotRun, o.Unknown)
	age := now.Sub(s.At).Round(time.Second)
	fmt.Fprintf(&b, "  as of:     %s, %v ago, by %s\n", s.At.UTC().Format(time.RFC3339), age, s.Holder)
	if age > StaleAfter {
		b.WriteString("  OUT OF DATE: nobody writes the status; the platform may be out\n")
	}
	return b.String()
}

func (s *Status) textAccepted(b *strings.Builder) {
	a := s.Accepted
	if a == nil {
		b.WriteString("  accepted:  none yet\n")
		return
	}
	fmt.Fprintf(b, "  accepted:  number %d, digest %s, by %s at %s\n",
		a.Number, a.Digest.Short(), orUnknown(a.By), a.At.UTC().Format(time.RFC3339))
	if s.Of > 0 {
		fmt.Fprintf(b, "  in force:  on %d of %d\n", s.InForce, s.Of)
	}
	for _, l := range s.Lagging {
		fmt.Fprintf(b, "    lags:    %s\n", l)
	}
	if more := s.Of - s.InForce - len(s.Lagging); more > 0 && len(s.Lagging) > 0 {
		fmt.Fprintf(b, "    and %d more\n", more)
	}
}

func (s *Status) textWaiting(b *strings.Builder, now time.Time) {
	w := s.Waiting
	if w == nil {
		return
	}
	fmt.Fprintf(b, "  waiting:   version %d, for %v: %d of %d hold it\n",
		w.Version, now.Sub(w.Since).Round(time.Second), w.Holding, w.Of)
	for _, name := range w.For {
		fmt.Fprintf(b, "    for:     %s\n", name)
	}
}

func (s *Status) textRefused(b *strings.Builder) {
	r := s.Refused
	if r == nil {
		return
	}
	fmt.Fprintf(b, "  refused:   version %d, with %d findings\n", r.Version, r.Count)
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
