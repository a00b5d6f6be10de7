// Package demand estimates how many tokens each expert of a group will process,
// and how fast each rank works, from the ranks' counts.
//
// Each rank counts, per layer and expert, the tokens that its own router sent
// there. A rank's tokens are a sample of the group's, so a few ranks' counts
// per window are enough; [Sampled] selects the ranks that send counts in a
// window, and keeps the planner's traffic constant as groups grow. Every rank
// sends its work and busy time in each window; speeds are estimated from these.
//
// Shares are smoothed exponentially. Three things are kept apart:
//
//   - noise: the spread of windows around the estimate, kept per expert and
//     returned as [Estimate.Deviation];
//   - drift: a slow estimate trails the fast one by an amount that grows with
//     the rate of change; [Estimate.ValidFor], the time for which the estimate
//     stays accurate, follows from it;
//   - sharp shifts: a window that lies far outside the usual spread is set
//     aside, and the estimate jumps only if the next window agrees with it.
//
// The package reads no clock and starts no goroutine.
package demand
