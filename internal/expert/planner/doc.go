// Package planner decides when a group's expert map is planned anew, and leads
// the group to it: it collects what the ranks count, plans with package plan, and
// hands the map to the group's switch.
//
// Any process may carry a [Duty]; the lease of the group chooses which one acts.
// The fence of the lease is part of each map's number, so what a paused holder
// still sends is refused by the ranks.
//
// Each window the holder asks every rank what it did, and a few ranks in turn for
// their counts per expert. It plans after each window unless a switch is under
// way. When a new map is in force it is written to the group's record, from which
// the group forms again and the next holder begins. During an outage of the
// platform the lease ends, planning with it, and the group keeps its map.
//
// The package reads no clock and opens no socket.
package planner
