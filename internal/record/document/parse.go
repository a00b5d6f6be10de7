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

// Parse reads and checks the document of a service that is not in force yet.
// The file names the text in findings.
//
// The Document is never nil. If there are findings, it holds what could be
// read, and is not fit to be put in force.
func Parse(file string, text []byte) (*Document, finding.List) {
	return Check(file, text, nil)
}

// Check reads and checks a document that is to follow the one in force, which
// may be nil, beside those of other services.
func Check(file string, text []byte, inForce *Document, others ...*Document) (*Document, finding.List) {
	d := &Document{text: text, digest: DigestOf(text)}
	d.beforeDecoding()
	src, list := source.Decode(file, text, d)
	d.setDefaults(src)
	d.routes = compile(d.Routes)
	if len(list) > 0 && d.Service == "" {
		return d, list
	}
	p := &pass{Document: d, src: src, inForce: inForce, others: others}
	list = append(list, p.check()...)
	list.Sort()
	return d, list
}

// beforeDecoding sets the defaults of values that stand once.
func (d *Document) beforeDecoding() {
	d.Kind = Model
	d.Limits = Limits{Concurrency: DefaultConcurrency, Queue: DefaultQueue, MaxBody: DefaultMaxBody}
	d.Retries = Retries{
		Budget: DefaultBudget, Attempts: DefaultAttempts,
		Backoff: DefaultBackoff, MaxBackoff: DefaultMaxBackoff,
	}
	d.Affinity = Affinity{Blocks: DefaultBlocks, LoadBound: DefaultLoadBound}
	d.Claims = Claims{OnPlatformOutage: Refuse, Retention: DefaultRetention, Window: DefaultWindow}
}

// setDefaults sets the defaults of values that the entries of lists left out.
func (d *Document) setDefaults(src *source.Source) {
	for i := range d.Targets {
		t := &d.Targets[i]
		setDefault(src, at("targets", i, "host"), &t.Host, host.Name(t.Name))
		setDefault(src, at("targets", i, "weight"), &t.Weight, DefaultWeight)
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		setDefault(src, at("routes", i, "deadline"), &r.Deadline, DefaultDeadline)
		setDefault(src, at("routes", i, "priority"), &r.Priority, DefaultPriority)
		setDefault(src, at("routes", i, "maxBody"), &r.MaxBody, d.Limits.MaxBody)
		setDefault(src, at("routes", i, "cost.fixed"), &r.Cost.Fixed, DefaultFixedCost)
	}
	for i := range d.Workspaces {
		setDefault(src, at("workspaces", i, "share"), &d.Workspaces[i].Share, DefaultShare)
	}
	for i := range d.Groups {
		g := &d.Groups[i]
		setDefault(src, at("groups", i, "skewWeight"), &g.SkewWeight, DefaultGroupWeight)
		setDefault(src, at("groups", i, "moveWeight"), &g.MoveWeight, DefaultGroupWeight)
	}
}

func setDefault[T any](src *source.Source, path string, v *T, value T) {
	if !src.Has(path) {
		*v = value
	}
}
