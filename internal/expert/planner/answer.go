package planner

import (
	"math"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// Snapshot holds the totals that an engine has counted since its start.
type Snapshot struct {
	Steps  uint64        // steps that the engine has run
	Busy   time.Duration // time that the rank itself worked on its steps
	Counts []uint64      // tokens per layer and expert; the reporter keeps the slice
}

// Reporter answers the planner's questions for one rank. It is not safe for
// concurrent use.
//
// It keeps the snapshot of the last question only. If the next question comes from
// another host, the answer carries no figures: the time between the questions of
// two hosts is not a window of either.
type Reporter struct {
	group     string
	rank      uint16
	lastAsker host.Name
	last      Snapshot
}

// NewReporter returns a reporter for a rank of a group.
func NewReporter(group string, rank uint16) *Reporter {
	return &Reporter{group: group, rank: rank}
}

// Answer returns the answer to question q, given the engine's current totals. It
// returns nil if q is for another group or is itself an answer.
func (r *Reporter) Answer(from host.Name, q *Message, now Snapshot) *Message {
	if q.Answer != nil || q.Group != r.group {
		return nil
	}
	a := &Answer{Rank: r.rank}
	if from == r.lastAsker && r.sameEngine(now) {
		a.Steps = now.Steps - r.last.Steps
		a.Busy = min(now.Busy-r.last.Busy, maxBusy)
		if q.Counts {
			a.Counts = r.countsSinceLast(now)
		}
	}
	r.lastAsker, r.last = from, now
	return &Message{Group: q.Group, Window: q.Window, Answer: a}
}

// sameEngine reports whether now can come from the same run of the engine as the
// last snapshot. An engine that was restarted counts from zero.
func (r *Reporter) sameEngine(now Snapshot) bool {
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

// countsSinceLast returns the tokens per layer and expert since the last snapshot.
func (r *Reporter) countsSinceLast(now Snapshot) []uint32 {
	counts := make([]uint32, len(now.Counts))
	for i, n := range now.Counts {
		counts[i] = uint32(min(n-r.last.Counts[i], math.MaxUint32))
	}
	return counts
}
