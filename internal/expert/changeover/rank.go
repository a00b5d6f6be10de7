// Package changeover brings a new expert map into force at all ranks of a group in
// the same pass, and frees a group that was left in the middle of that.
//
// Engines carry orders out without knowing who gave them, some of them lost or
// seconds late. Safety rests on what engines check by themselves:
//
//   - An arm order works only for the version that was prepared last at the rank,
//     and only before its pass has begun. Preparing another version makes any arm
//     order that is still under way void.
//   - A group does not begin a pass that any one of its ranks holds. While a
//     process has a hold of its own on a pass, nobody else's go begins it.
//
// So one that switches first holds the pass at one rank, then arms all ranks, looks
// that all are armed, and lets go. It is alone in completing its version: whoever
// finds it in the middle only ever takes it back, behind a hold of its own.
package changeover

import (
	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
)

// Report is what a rank says about itself.
type Report struct {
	Group    roster.GroupName // "" if the engine is in none
	Epoch    int64            // counts the times that the group was formed
	Rank     int
	Ranks    int
	Open     bool  // the group takes requests
	Step     int64 // the pass that was begun last
	Map      int64 // version of the map in force
	Prepared int64 // version that is ready to be armed; 0 if there is none
	Armed    *Arming
	Held     int64 // the pass that waits for a go at this rank; 0 if there is none
	Running  int
	Waiting  int
	Pace     float64 // above 1 is slow
}

// Arming is a change of map that a rank is going to make.
type Arming struct {
	Version int64
	Step    int64 // as this pass begins
}

// Operation names an order.
type Operation uint8

// The orders of a change of map.
const (
	Prepare Operation = iota + 1
	Arm
	Disarm
	Hold
	Go
)

// String names the operation as logs do.
func (o Operation) String() string {
	return [...]string{"none", "prepare", "arm", "disarm", "hold", "go"}[o]
}

// Order is one order to one rank. It is void in another epoch of the group.
type Order struct {
	Operation Operation
	Epoch     int64
	Version   int64          // of prepare, arm and disarm
	Step      int64          // of arm, hold and go
	Map       *expertmap.Map // of prepare
}

// Result tells what came of an order.
type Result uint8

// The results of orders.
const (
	NoAnswer Result = iota // it may have been carried out, or may yet be
	Accepted
	Ready // of prepare: accepted, and the copying is over
	Unfit // it does not fit the state of the rank, and was not carried out
	Invalid
)

// Lists are the experts that a rank holds, by layer.
type Lists struct {
	Version int64
	Experts [][]int
}
