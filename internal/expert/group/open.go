package group

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// stage is the progress of a switch on a rank, in smaller steps than the vote.
type stage uint8

const (
	loadingWeights stage = iota + 1
	preparing            // all loads are ordered; the engine accepts the map once it holds the weights
	loaded
	promising // the limit is ordered and not confirmed
	promised
	switching // the switch is committed; the switch of maps is ordered
	lifting   // the switch of maps is confirmed; lifting the limit is ordered
	committed
	passed
	cancelling // the switch is refused; the engine is ordered to forget the map
	releasing  // the map is forgotten; lifting the limit is ordered
)

var votes = [...]Vote{
	loadingWeights: Loading,
	preparing:      Loading,
	loaded:         Loaded,
	promising:      Loaded,
	promised:       Promised,
	switching:      Committed,
	lifting:        Committed,
	committed:      Committed,
	passed:         Passed,
	cancelling:     Refused,
	releasing:      Refused,
}

// open is the switch in progress on a rank.
type open struct {
	number     Number
	newMap     *expertmap.Map // nil after a restart
	step       uint64         // first step with the new map; 0 until the planner has chosen it
	stage      stage
	stageSince time.Time // when the stage began
	proposer   host.Name
	load       loading
	refuseAt   time.Time // when the rank refuses if it has not promised
	adopted    bool      // the outcome comes from another rank, after a restart of the sidecar

	tally       *tally    // the votes of all ranks, once this rank asks
	askAt       time.Time // when to ask the other ranks next; zero if not scheduled
	askingSince time.Time // when this rank first asked in this stage
}

func (o *open) enter(now time.Time, st stage) {
	o.stage = st
	o.stageSince = now
	o.askAt = time.Time{}
	o.askingSince = time.Time{}
}

func (o *open) vote() Vote {
	return votes[o.stage]
}

// undecided reports whether the rank can still refuse on its own.
func (o *open) undecided() bool {
	return o.stage <= loaded
}

// needsOtherVotes reports whether the stage ends only by the votes of other ranks.
func (o *open) needsOtherVotes() bool {
	return o.stage == promised || o.stage == passed
}

func (o *open) deadline() time.Time {
	if o.stage <= promising {
		return o.refuseAt
	}
	if o.needsOtherVotes() {
		return o.askAt
	}
	return time.Time{}
}
