// Package plan decides which experts of a group to replicate and where to put
// them, as demand changes.
//
// A replica serves an even part of its expert's tokens. In each layer all ranks
// wait for the slowest, so a layer takes as long as its hottest rank; times are
// given relative to the ideal, in which every rank works at its speed on an
// equal part of the tokens (1 is ideal). The mean over the layers is what the
// group's step pays.
//
// [Planner.Plan] searches from the map in force. In each layer it looks for
// single changes around the hottest rank: a replica elsewhere, a replica
// dropped, two experts exchanged. Their sequence gives the layer's trade-off
// between loads and time. The loads that a plan may make are then given to the
// layers in the order of what each load wins, as long as it is worth its price
// and the weight store's pacing allows it.
//
// [Resolve] computes a map from nothing, as a baseline, and [Bound] and
// [FewestLoads] give the lower bounds that no planner can beat.
//
// The package reads no clock and starts no goroutine, and draws no random
// numbers: the same input gives the same plan.
package plan
