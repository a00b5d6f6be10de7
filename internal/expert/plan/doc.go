// Package plan decides which experts of a group to replicate and which ranks
// hold the replicas, as the demand changes.
//
// All replicas of an expert serve equal parts of its tokens. In each layer all
// ranks wait for the slowest, so a layer takes as long as its hottest rank, which
// is the one that takes the longest. Times are relative to the ideal (1), in which
// the tokens are divided over the ranks in proportion to their speeds. The time of
// a step is the mean over the layers.
//
// [Planner.Plan] searches from the active map. In each layer it looks for single
// changes around the hottest rank: a further replica on another rank, a replica
// dropped, two experts exchanged. Most changes cost loads: a load fetches the
// weights of one expert of one layer from the weight store. The sequence of the
// changes gives the layer's trade-off between loads and time. The plan then
// accepts changes from all layers, those that gain the most time per load first,
// as long as the gain is worth the cost and the load allowance, which limits the
// rate of loads, suffices.
//
// A cell is one expert slot of one rank in one layer. A replica that was loaded
// lately is on hold: it stays in its cell for a time.
//
// [Resolve] computes a map without regard to the active one, as a baseline, and
// [Bound] and [FewestLoads] give lower bounds that no planner can beat.
//
// The package reads no clock, starts no goroutine and draws no random numbers:
// the same input gives the same plan.
package plan
