// Package retry decides whether an attempt that did not run may be repeated, and when.
//
// Each service has one [Budget] at each entry. First attempts pay a fraction of a retry into it, for
// their workspace, and each retry takes a whole one out. So when many targets fail, the work
// offered to the rest grows by that fraction and no more. Unbounded retries would multiply it just
// when capacity is short.
package retry
