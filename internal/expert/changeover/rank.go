// Package changeover activates a new expert map at all ranks of a group in the same
// step, and releases a group that an unfinished map switch has left held or armed.
//
// Engines carry out orders without knowing who sent them, and orders may be lost or
// arrive seconds late. Safety rests on what each engine checks:
//
//   - An arm order works only for the version that was prepared last at the rank,
//     and only before its step has begun. Preparing another version makes any arm
//     order that is still under way void.
//   - A group does not begin a step that any one of its ranks holds. While a
//     process has a hold of its own on a step, no other process's release order begins it.
//
// So a process that switches the map first holds the step at one rank, then arms all
// ranks, checks that all are armed, and releases the step. Only this process ever
// completes its version: any other that finds the switch unfinished rolls it back,
// behind a hold of its own.
package changeover

import (
	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
)

// Report is the state that a rank reports.
type Report struct {
	Group    roster.GroupName // "" if the engine is in none
	Epoch    int64            // counts the times that the group was formed
	Rank     int
	Ranks    int
	Open     bool  // the group takes requests
	Step     int64 // the step that was begun last
	Map      int64 // version of the active map
	Prepared int64 // version that is ready to be armed; 0 if there is none
	Armed    *Arming
	Held     int64 // the step that this rank holds until a release order; 0 if there is none
	Running  int
	Waiting  int
	Slowdown float64 `json:"Pace"` // step time relative to the usual one; above 1 is slow
}

// Arming is a map switch that a rank is armed for.
type Arming struct {
	Version int64
	Step    int64 // the switch happens as this step begins
}

// Operation names an order.
type Operation uint8

// The orders of a map switch.
const (
	Prepare Operation = iota + 1
	Arm
	Disarm
	Hold
	Release
)

// String returns the name of the operation as it stands in logs.
func (o Operation) String() string {
	return [...]string{"none", "prepare", "arm", "disarm", "hold", "go"}[o]
}

// Order is one order to one rank. A rank does not carry it out in another epoch of the group.
type Order struct {
	Operation Operation
	Epoch     int64
	Version   int64          // of prepare, arm and disarm
	Step      int64          // of arm, hold and go
	Map       *expertmap.Map // of prepare
}

// Result is the outcome of an order.
type Result uint8

// The results of orders.
const (
	Unanswered Result = iota // the order may have been carried out, or may still be
	Accepted
	Ready      // of prepare: accepted, and all experts are copied
	WrongState // the order does not fit the state of the rank, and was not carried out
	Invalid
)

// Lists are the experts that a rank holds, by layer.
type Lists struct {
	Version int64
	Experts [][]int
}
