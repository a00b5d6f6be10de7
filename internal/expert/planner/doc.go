// Package planner decides when to compute a new expert map for a group and leads
// the group's switch to it: it collects the ranks' counts, computes the map with
// package plan, and proposes it to the ranks through package group.
//
// Any process may run a [Controller]; the group's lease decides which one acts.
// The lease's fence is part of each map's number, so the ranks refuse what a former
// holder sends after it was paused.
//
// In each window the holder asks every rank for its steps and busy time, and some
// of the ranks, in turn, for their counts per expert. It plans after each window
// unless a map switch is under way. When a new map is active, the holder writes it
// to the group's record. The group forms again from this record, and the next
// holder starts from it. During an outage of the platform the lease ends, and
// planning with it; the group keeps its map.
//
// The package reads no clock and opens no socket.
package planner
