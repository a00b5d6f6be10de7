// Package demand estimates how many tokens each expert of a group will be asked
// for, and how fast each rank works, from what the ranks count.
//
// Each rank counts, per layer and expert, the tokens that its own router sent
// there. A rank's tokens are a sample of the group's, so a few ranks' counts
// per window are enough; [Sampled] says whose turn it is, and keeps the
// planner's traffic constant as groups grow. Every rank sends its work and busy
// time each window, from which speeds are estimated.
//
// Shares are smoothed exponentially. Three things are kept apart:
//
//   - noise: the spread of windows around the estimate, kept per expert and
//     carried on as [Estimate.Deviation];
//   - drift: a slow estimate trails the fast one by an amount that grows with
//     the rate of change; from it follows [Estimate.Lasts], the time for which
//     the estimate will stay good;
//   - sharp shifts: a window that lies far outside the usual spread is set
//     aside, and only if the next window agrees with it does the estimate jump.
//
// The package reads no clock and starts no goroutine.
package demand
