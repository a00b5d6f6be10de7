package target

import (
	"cmp"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// Name identifies a target within its service.
type Name string

// GroupName names a set of ranks that run in lock-step. It is empty for a
// target that belongs to no group.
type GroupName string

// Candidate is a target that the service's document lists.
type Candidate struct {
	Name        Name
	DataCentre  host.DataCentre
	Weight      float64          // share of the requests, relative to other targets; a target of weight zero gets no new work
	Group       GroupName        // set if the target is a rank of a lock-step group
	Incarnation host.Incarnation // incarnation of the sidecar; zero until known
	Leaving     bool             // already known to be leaving
	Suspended   bool             // silent; gets no new work until Resume
}

// Report is a sidecar's load report for its target.
type Report struct {
	Name        Name
	Incarnation host.Incarnation
	Outstanding int64         // tokens of work queued or running
	Capacity    float64       // tokens per second that the target can finish
	Limit       int           // requests that may run at once; zero if unknown
	Age         time.Duration // time since the measurement, summed over all relays of the report
}

// Prefix identifies the leading part of a prompt. The zero value is for a
// request without a prefix. Use [Blocks.Prefix] to compute it.
type Prefix struct {
	Coarse uint64 // hash of the workspace and the first block, which the workspace's prompts have in common
	Fine   uint64 // hash of the workspace and all leading blocks
}

// Query describes the request that needs a target.
type Query struct {
	Prefix Prefix
	Tokens int64  // estimated work
	Tried  []Name // targets of earlier attempts of the request
}

// Choice is the target chosen for one attempt. Pass it to [Chooser.Finish] when the
// attempt has ended.
type Choice struct {
	Name        Name
	DataCentre  host.DataCentre
	Incarnation host.Incarnation
	Tokens      int64
	Affine      bool          // chosen for its prefix
	RetryAfter  time.Duration // if no target was chosen: the time until one may get work, zero if unknown

	state   *state
	started time.Duration
	prefix  uint64 // Prefix.Coarse of the request
}

// EndKind states how an attempt ended.
type EndKind uint8

// The ways in which an attempt ends.
const (
	Answered  EndKind = iota + 1 // the target responded
	Refused                      // the sidecar refused the request before running it
	Failed                       // the attempt failed, or there was no response in time
	Cancelled                    // the end says nothing about the target, for example because the caller left
	Declined                     // the sidecar had no room for a further request of this workspace
)

// End is the end of an attempt.
type End struct {
	Kind       EndKind
	RetryAfter time.Duration // Refused: time until the target takes work again; Declined: time until it takes this workspace's work again
}

// Config holds the settings of a Chooser. Its loads are in units of the usual
// service time: a target that runs as many requests as its limit allows has a load
// of about 1, and a target with a queue has more. Zero values take the defaults of
// [DefaultConfig].
type Config struct {
	DataCentre    host.DataCentre // the entry's own data centre
	Entries       int             // number of entries that send to the same targets, including this one
	LocalShare    float64         // part of the requests that stays in the entry's own data centre if possible
	ReportFresh   time.Duration   // age up to which a report has full weight
	ReportTTL     time.Duration   // age from which a report is ignored
	AffinityLoad  float64         // maximum load of a prefix's target, as a multiple of the mean
	AffinitySlack float64         // load that a prefix's target may have in addition to that
	SpillLoad     float64         // local load above which other data centres are considered
	SpillGain     float64         // a target in another data centre must have at least this much less load
	Choices       int             // number of targets drawn and compared
	EjectAfter    int             // consecutive failures after which a target is ejected
	EjectFor      time.Duration   // duration of the first ejection; doubles with each further failure
	EjectMax      time.Duration   // maximum duration of an ejection
	EjectShare    float64         // maximum part of a service's targets that are ejected at once
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		Entries:       1,
		LocalShare:    1,
		ReportFresh:   200 * time.Millisecond,
		ReportTTL:     2 * time.Second,
		AffinityLoad:  1.25,
		AffinitySlack: 0.25,
		SpillLoad:     1,
		SpillGain:     0.5,
		Choices:       2,
		EjectAfter:    3,
		EjectFor:      500 * time.Millisecond,
		EjectMax:      30 * time.Second,
		EjectShare:    0.5,
	}
}

// fill sets fields that are zero to their defaults.
func (cfg *Config) fill() {
	def := DefaultConfig()
	cfg.Entries = max(cmp.Or(cfg.Entries, def.Entries), 1)
	cfg.LocalShare = cmp.Or(cfg.LocalShare, def.LocalShare)
	cfg.ReportFresh = cmp.Or(cfg.ReportFresh, def.ReportFresh)
	cfg.ReportTTL = max(cmp.Or(cfg.ReportTTL, def.ReportTTL), cfg.ReportFresh+1)
	cfg.AffinityLoad = cmp.Or(cfg.AffinityLoad, def.AffinityLoad)
	cfg.AffinitySlack = cmp.Or(cfg.AffinitySlack, def.AffinitySlack)
	cfg.SpillLoad = cmp.Or(cfg.SpillLoad, def.SpillLoad)
	cfg.SpillGain = cmp.Or(cfg.SpillGain, def.SpillGain)
	cfg.Choices = min(cmp.Or(cfg.Choices, def.Choices), maxChoices)
	cfg.EjectAfter = cmp.Or(cfg.EjectAfter, def.EjectAfter)
	cfg.EjectFor = cmp.Or(cfg.EjectFor, def.EjectFor)
	cfg.EjectMax = cmp.Or(cfg.EjectMax, def.EjectMax)
	cfg.EjectShare = cmp.Or(cfg.EjectShare, def.EjectShare)
}
