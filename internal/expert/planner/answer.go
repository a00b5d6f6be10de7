package planner

import (
	"math"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// Snapshot is what an engine says it did since its start.
type Snapshot struct {
	Steps  uint64
	Busy   time.Duration // time that the rank itself took for its steps
	Counts []uint64      // tokens per layer and expert; kept by the reporter
}

// Reporter answers a rank's questions. It is not safe for concurrent use.
//
// It keeps one snapshot, the one of the last question. A question from another
// process begins anew, with an answer without numbers: what lies between the two
// processes' questions is no window of either.
type Reporter struct {
	group string
	rank  uint16
	asker host.Name
	last  Snapshot
}

// NewReporter returns a reporter for a rank of a group.
func NewReporter(group string, rank uint16) *Reporter {
	return &Reporter{group: group, rank: rank}
}

// Answer returns the answer to a question, given what the engine says now. It is
// nil for a question that is not for this group or is none.
func (r *Reporter) Answer(from host.Name, q *Message, now Snapshot) *Message {
	if q.Answer != nil || q.Group != r.group {
		return nil
	}
	a := &Answer{Rank: r.rank}
	if from == r.asker && r.follows(now) {
		a.Steps = now.Steps - r.last.Steps
		a.Busy = min(now.Busy-r.last.Busy, maxBusy)
		if q.Counts {
			a.Counts = r.since(now)
		}
	}
	r.asker, r.last = from, now
	return &Message{Group: q.Group, Window: q.Window, Answer: a}
}

// follows tells whether the engine is still the one of the last snapshot. One
// that was started again counts from zero.
func (r *Reporter) follows(now Snapshot) bool {
	if now.Steps < r.last.Steps || now.Busy < r.last.Busy || len(now.Counts) != len(r.last.Counts) {
		return false
	}
	for i, n := range now.Counts {
		if n < r.last.Counts[i] {
			return false
		}
	}
	return true
}

func (r *Reporter) since(now Snapshot) []uint32 {
	counts := make([]uint32, len(now.Counts))
	for i, n := range now.Counts {
		counts[i] = uint32(min(n-r.last.Counts[i], math.MaxUint32))
	}
	return counts
}
