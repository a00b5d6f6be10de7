// Package document defines the document of a service, which is its configuration as
// its team writes it. A document is YAML; [Parse] reads and checks it and reports
// all findings together, with their positions. [Check] also checks it against the
// active document.
//
// The text itself is the record: it is stored, hashed and shown to auditors exactly
// as it was written, with its comments.
package document

import (
	"net/netip"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// Kind is the kind of the targets that serve a service.
type Kind string

// The kinds of services.
const (
	Model Kind = "model" // model engines
	Plain Kind = "plain" // plain HTTP services
)

// Document is the configuration of one service. Absent values hold their defaults.
// A Document does not change after it was parsed.
type Document struct {
	Service    string         `yaml:"service"`
	Kind       Kind           `yaml:"kind"`
	PathPrefix string         `yaml:"pathPrefix"`
	Hosts      []string       `yaml:"hosts"`
	Targets    []Target       `yaml:"targets"`
	Routes     []Route        `yaml:"routes"`
	Workspaces []Workspace    `yaml:"workspaces"`
	Limits     Limits         `yaml:"limits"`
	Retries    Retries        `yaml:"retries"`
	Affinity   Affinity       `yaml:"affinity"`
	Shares     []Share        `yaml:"shares"`
	Claims     Claims         `yaml:"claims"`
	Groups     []Group        `yaml:"groups"`
	Confirm    []Confirmation `yaml:"confirm"`

	text   []byte
	digest Digest
	routes []*pattern // in the order in which they are matched
}

// Target is one back end: a model engine or a plain service, reached through
// the sidecar on its host.
type Target struct {
	Name         string          `yaml:"name"`
	Host         host.Name       `yaml:"host"`
	Address      netip.AddrPort  `yaml:"address"` // of the sidecar
	DataCentre   host.DataCentre `yaml:"dataCentre"`
	Weight       float64         `yaml:"weight"`
	Leaving      bool            `yaml:"leaving"`
	ChecksFences bool            `yaml:"checksFences"`
	Group        string          `yaml:"group"`
	Rank         int             `yaml:"rank"`
}

// Route defines how the requests for one path are handled.
type Route struct {
	Methods    []string      `yaml:"methods"`
	Path       string        `yaml:"path"`
	Idempotent bool          `yaml:"idempotent"`
	Deadline   time.Duration `yaml:"deadline"`
	Priority   Priority      `yaml:"priority"`
	Stream     bool          `yaml:"stream"`
	MaxBody    Bytes         `yaml:"maxBody"`
	Cost       Cost          `yaml:"cost"`
}

// Cost estimates the work of a request, in tokens.
type Cost struct {
	Fixed  float64 `yaml:"fixed"`
	PerKiB float64 `yaml:"perKiB"` // of the request's body
}

// Of returns the estimate for a request with a body of n bytes.
func (c Cost) Of(n int64) float64 {
	return c.Fixed + c.PerKiB*float64(n)/1024
}

// Workspace is a customer of the service.
type Workspace struct {
	Name  string      `yaml:"name"`
	Share float64     `yaml:"share"`
	Keys  []KeyDigest `yaml:"keys"`
}

// Limits bound the work of each target.
type Limits struct {
	Concurrency int   `yaml:"concurrency"` // requests that run at once
	Queue       int   `yaml:"queue"`       // requests that wait
	MaxBody     Bytes `yaml:"maxBody"`     // longest body of a request
}

// Retries bound the retries of requests.
type Retries struct {
	Budget     float64       `yaml:"budget"`   // retries as a share of first attempts
	Attempts   int           `yaml:"attempts"` // attempts of one request, the first included
	Backoff    time.Duration `yaml:"backoff"`  // before the first retry; doubles with each further one
	MaxBackoff time.Duration `yaml:"maxBackoff"`
}

// Affinity sends requests with a common prefix to the same targets, so that they hit
// the prompt caches of these targets.
type Affinity struct {
	BlockBytes Bytes   `yaml:"blockBytes"` // length of a block; zero turns affinity off
	Blocks     int     `yaml:"blocks"`     // number of leading blocks that are compared
	LoadBound  float64 `yaml:"loadBound"`  // maximum load of a target, as a multiple of the mean
}

// Share scales the traffic of a data centre or of a target.
type Share struct {
	DataCentre host.DataCentre `yaml:"dataCentre"`
	Target     string          `yaml:"target"`
	Share      float64         `yaml:"share"`
}

// OutagePolicy defines what happens to requests that need a claim during an outage of
// the platform.
type OutagePolicy string

// The policies for an outage of the platform.
const (
	Refuse     OutagePolicy = "refuse"     // respond with notRun at once
	MemoryOnly OutagePolicy = "memoryOnly" // continue with claims in memory, which a restart loses
)

// Claims configure how repeats of a request that is not idempotent are recognised.
type Claims struct {
	OnPlatformOutage OutagePolicy  `yaml:"onPlatformOutage"`
	Retention        time.Duration `yaml:"retention"` // time for which a repeat is recognised
	Window           time.Duration `yaml:"window"`    // time over which claims are collected into one write
}

// Group is a set of targets that run in lockstep on one expert map.
type Group struct {
	Name              string  `yaml:"name"`
	Ranks             int     `yaml:"ranks"`
	Layers            int     `yaml:"layers"`
	Experts           int     `yaml:"experts"` // in each layer
	SlotsPerRank      int     `yaml:"slotsPerRank"`
	ExpertBytes       Bytes   `yaml:"expertBytes"` // weights of one expert of one layer
	SkewWeight        float64 `yaml:"skewWeight"`
	MoveWeight        float64 `yaml:"moveWeight"`
	MaxBytesPerSecond Bytes   `yaml:"maxBytesPerSecond"` // from the weight store
}

// Confirmation explicitly confirms one dangerous change.
type Confirmation struct {
	Change Danger `yaml:"change"`
	Name   string `yaml:"name"` // of the thing that is changed
}

// Text returns the text that the document was parsed from. The caller must not
// change it.
func (d *Document) Text() []byte { return d.text }

// Digest returns the digest of the text.
func (d *Document) Digest() Digest { return d.digest }

// Target returns the target with the name, or nil.
func (d *Document) Target(name string) *Target {
	for i := range d.Targets {
		if d.Targets[i].Name == name {
			return &d.Targets[i]
		}
	}
	return nil
}

// Group returns the group with the name, or nil.
func (d *Document) Group(name string) *Group {
	for i := range d.Groups {
		if d.Groups[i].Name == name {
			return &d.Groups[i]
		}
	}
	return nil
}

// Members returns the targets of a group by rank.
func (d *Document) Members(group string) []*Target {
	g := d.Group(group)
	if g == nil {
		return nil
	}
	members := make([]*Target, g.Ranks)
	for i, t := range d.Targets {
		if t.Group == group && t.Rank >= 0 && t.Rank < g.Ranks {
			members[t.Rank] = &d.Targets[i]
		}
	}
	return members
}

// Workspace returns the workspace with the name, or nil.
func (d *Document) Workspace(name string) *Workspace {
	for i := range d.Workspaces {
		if d.Workspaces[i].Name == name {
			return &d.Workspaces[i]
		}
	}
	return nil
}

// ShareOf returns the weight of a target times the shares stated for it and
// for its data centre.
func (d *Document) ShareOf(t *Target) float64 {
	weight := t.Weight
	for _, s := range d.Shares {
		if s.DataCentre == t.DataCentre || s.Target == t.Name {
			weight *= s.Share
		}
	}
	return weight
}
