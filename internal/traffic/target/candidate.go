package target

import (
	"cmp"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// Name identifies a target within its service.
type Name string

// GroupName names a set of ranks that run in lock-step. It is empty for a
// target that stands alone.
type GroupName string

// Candidate is a target that the service's document lists.
type Candidate struct {
	Name        Name
	DataCentre  host.DataCentre
	Weight      float64          // part of the requests, relative to others; zero takes no new work
	Group       GroupName        // set if the target is a rank of a lock-step group
	Incarnation host.Incarnation // of its sidecar; zero until known
	Leaving     bool             // already known to be leaving
	Suspended   bool             // silent: takes no new work until heard from
}

// Report is what a sidecar says about the load of its target.
type Report struct {
	Name        Name
	Incarnation host.Incarnation
	Outstanding int64         // tokens of work queued or running
	Capacity    float64       // tokens a second that the target can finish
	Limit       int           // requests that may run at once; zero if unknown
	Age         time.Duration // time between the measurement and now, summed over relays
}

// Prefix identifies the leading part of a prompt. The zero value stands for
// a request without one. Use [Blocks.Prefix] to make it.
type Prefix struct {
	Coarse uint64 // workspace and first block: what its prompts have in common
	Fine   uint64 // workspace and all leading blocks
}

// Query describes the request that needs a target.
type Query struct {
	Prefix Prefix
	Tokens int64  // estimated work
	Tried  []Name // targets that earlier attempts of the request went to
}

// Choice is a target for one attempt. It is handed back to [Chooser.Finish].
type Choice struct {
	Name        Name
	DataCentre  host.DataCentre
	Incarnation host.Incarnation
	Tokens      int64
	Affine      bool          // chosen for its prefix
	RetryAfter  time.Duration // if there is no target: the time until one may take work, zero if unknown

	state   *state
	started time.Duration
	prefix  uint64 // coarse
}

// EndKind says how an attempt ended.
type EndKind uint8

// The ways in which an attempt ends.
const (
	Answered  EndKind = iota + 1 // the target answered
	Refused                      // the sidecar refused before running it
	Failed                       // the attempt broke off, or nothing came in time
	Cancelled                    // the caller went away; says nothing about the target
	Declined                     // the sidecar had no room for this workspace's request
)

// End is the end of an attempt.
type End struct {
	Kind       EndKind
	RetryAfter time.Duration // Refused: the target takes no work before; Declined: nor does it of this workspace
}

// Config holds the settings of a Chooser. Loads in it are in units of the usual
// service time: a target that runs as many requests as it may has a load of
// about 1, and one with a queue has more. Zero values take the defaults of
// [DefaultConfig].
type Config struct {
	DataCentre   host.DataCentre // the entry's own
	Sharers      int             // entries that send to the same targets, this one included
	Keep         float64         // part of the requests that the own data centre takes if it can; 1 by default
	ReportFresh  time.Duration   // age up to which a report counts in full
	ReportTTL    time.Duration   // age from which a report counts for nothing
	AffinityLoad float64         // a prefix's target may be this many times as loaded as the mean
	AffinityRoom float64         // load that a prefix's target may have in any case
	SpillLoad    float64         // load of the own data centre from which others are looked at
	SpillGain    float64         // load that a target elsewhere must be better by
	Choices      int             // targets drawn and compared
	EjectAfter   int             // failures in a row that take a target out for a while
	EjectFor     time.Duration   // first time out; doubles with each further failure
	EjectMax     time.Duration   // longest time out
	EjectShare   float64         // greatest part of a service's targets taken out at once
}

// DefaultConfig returns the settings that the measurements were made with.
func DefaultConfig() Config {
	return Config{
		Sharers:      1,
		Keep:         1,
		ReportFresh:  200 * time.Millisecond,
		ReportTTL:    2 * time.Second,
		AffinityLoad: 1.25,
		AffinityRoom: 0.25,
		SpillLoad:    1,
		SpillGain:    0.5,
		Choices:      2,
		EjectAfter:   3,
		EjectFor:     500 * time.Millisecond,
		EjectMax:     30 * time.Second,
		EjectShare:   0.5,
	}
}

// fill sets the fields that are zero to their defaults.
func (cfg *Config) fill() {
	def := DefaultConfig()
	cfg.Sharers = max(cmp.Or(cfg.Sharers, def.Sharers), 1)
	cfg.Keep = cmp.Or(cfg.Keep, def.Keep)
	cfg.ReportFresh = cmp.Or(cfg.ReportFresh, def.ReportFresh)
	cfg.ReportTTL = max(cmp.Or(cfg.ReportTTL, def.ReportTTL), cfg.ReportFresh+1)
	cfg.AffinityLoad = cmp.Or(cfg.AffinityLoad, def.AffinityLoad)
	cfg.AffinityRoom = cmp.Or(cfg.AffinityRoom, def.AffinityRoom)
	cfg.SpillLoad = cmp.Or(cfg.SpillLoad, def.SpillLoad)
	cfg.SpillGain = cmp.Or(cfg.SpillGain, def.SpillGain)
	cfg.Choices = min(cmp.Or(cfg.Choices, def.Choices), maxChoices)
	cfg.EjectAfter = cmp.Or(cfg.EjectAfter, def.EjectAfter)
	cfg.EjectFor = cmp.Or(cfg.EjectFor, def.EjectFor)
	cfg.EjectMax = cmp.Or(cfg.EjectMax, def.EjectMax)
	cfg.EjectShare = cmp.Or(cfg.EjectShare, def.EjectShare)
}
