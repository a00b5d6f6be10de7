package group

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// stage is what a rank is doing for a switch. It is finer than the vote.
type stage uint8

const (
	loadingWeights stage = iota + 1
	preparing            // all loads are ordered; the engine takes the map once it holds them
	loaded
	promising // the limit is ordered
	promised
	switching // the outcome is known; the switch is ordered
	lifting   // then the limit is lifted
	committed
	passed
	cancelling // refused: the engine forgets the map
	releasing  // then the limit is lifted
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

// open is the switch that a rank takes part in.
type open struct {
	number   Number
	m        *expertmap.Map // nil after a restart
	step     uint64         // first step with the new map; 0 until it is named
	stage    stage
	since    time.Time // start of the stage
	proposer host.Name
	load     loading
	until    time.Time // what is not promised by then is refused
	adopted  bool      // the outcome was learnt from another rank after a restart

	tally *tally
	askAt time.Time // when to ask the other ranks next; zero if not at all
	asked time.Time // when this rank began to ask
}

func (o *open) enter(now time.Time, st stage) {
	o.stage = st
	o.since = now
	o.askAt = time.Time{}
	o.asked = time.Time{}
}

func (o *open) vote() Vote {
	return votes[o.stage]
}

// undecided tells whether the rank can still refuse on its own.
func (o *open) undecided() bool {
	return o.stage <= loaded
}

// collects tells whether the stage ends by what other ranks say.
func (o *open) collects() bool {
	return o.stage == promised || o.stage == passed
}

func (o *open) deadline() time.Time {
	if o.stage <= promising {
		return o.until
	}
	if o.collects() {
		return o.askAt
	}
	return time.Time{}
}
