package document

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/record/finding"
	"wagtailshelf.example/wagtailshelf/internal/record/source"
)

// Defaults of absent values.
const (
	DefaultWeight      = 1.0
	DefaultShare       = 1.0
	DefaultDeadline    = 30 * time.Second
	DefaultPriority    = Normal
	DefaultMaxBody     = Bytes(1 << 20)
	DefaultConcurrency = 32
	DefaultQueue       = 128
	DefaultBudget      = 0.08
	DefaultAttempts    = 3
	DefaultBackoff     = 20 * time.Millisecond
	DefaultMaxBackoff  = time.Second
	DefaultBlocks      = 16
	DefaultLoadBound   = 1.25
	DefaultRetention   = 10 * time.Minute
	DefaultWindow      = 5 * time.Millisecond
	DefaultFixedCost   = 1.0
	DefaultGroupWeight = 1.0
)

// Parse reads and checks the document of a service that has no active document yet.
// The file is the name of the text in findings.
//
// The Document is never nil. If there are findings, it holds the values that could be
// read, and must not be activated.
func Parse(file string, text []byte) (*Document, finding.List) {
	return Check(file, text, nil)
}

// Check reads and checks a document that is to replace the active one, which may be
// nil. It also checks the document against those of other services.
func Check(file string, text []byte, active *Document, others ...*Document) (*Document, finding.List) {
	d := &Document{text: text, digest: DigestOf(text)}
	d.setSingleDefaults()
	src, list := source.Decode(file, text, d)
	d.setEntryDefaults(src)
	d.routes = compilePatterns(d.Routes)
	if len(list) > 0 && d.Service == "" {
		return d, list
	}
	p := &pass{Document: d, source: src, active: active, others: others}
	list = append(list, p.run()...)
	list.Sort()
	return d, list
}

// setSingleDefaults sets the defaults of values that occur once in a document. It is
// called before decoding, which overwrites them.
func (d *Document) setSingleDefaults() {
	d.Kind = Model
	d.Limits = Limits{Concurrency: DefaultConcurrency, Queue: DefaultQueue, MaxBody: DefaultMaxBody}
	d.Retries = Retries{
		Budget: DefaultBudget, Attempts: DefaultAttempts,
		Backoff: DefaultBackoff, MaxBackoff: DefaultMaxBackoff,
	}
	d.Affinity = Affinity{Blocks: DefaultBlocks, LoadBound: DefaultLoadBound}
	d.Claims = Claims{OnPlatformOutage: Refuse, Retention: DefaultRetention, Window: DefaultWindow}
}

// setEntryDefaults sets the defaults of values that are absent in entries of lists.
func (d *Document) setEntryDefaults(src *source.Source) {
	for i := range d.Targets {
		t := &d.Targets[i]
		setDefault(src, entryPath("targets", i, "host"), &t.Host, host.Name(t.Name))
		setDefault(src, entryPath("targets", i, "weight"), &t.Weight, DefaultWeight)
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		setDefault(src, entryPath("routes", i, "deadline"), &r.Deadline, DefaultDeadline)
		setDefault(src, entryPath("routes", i, "priority"), &r.Priority, DefaultPriority)
		setDefault(src, entryPath("routes", i, "maxBody"), &r.MaxBody, d.Limits.MaxBody)
		setDefault(src, entryPath("routes", i, "cost.fixed"), &r.Cost.Fixed, DefaultFixedCost)
	}
	for i := range d.Workspaces {
		setDefault(src, entryPath("workspaces", i, "share"), &d.Workspaces[i].Share, DefaultShare)
	}
	for i := range d.Groups {
		g := &d.Groups[i]
		setDefault(src, entryPath("groups", i, "skewWeight"), &g.SkewWeight, DefaultGroupWeight)
		setDefault(src, entryPath("groups", i, "moveWeight"), &g.MoveWeight, DefaultGroupWeight)
	}
}

func setDefault[T any](src *source.Source, path string, v *T, value T) {
	if !src.Has(path) {
		*v = value
	}
}
