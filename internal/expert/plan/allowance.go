package plan

import "time"

// allowance is what may be loaded from the weight store: it grows at the
// store's rate and saves up to a limit, which is also what it starts with.
type allowance struct {
	rate  float64 // bytes a second
	limit float64 // bytes
	bytes float64
	at    time.Time
}

func newAllowance(c Config) allowance {
	limit := max(float64(c.StoreRate)*c.Burst.Seconds(), float64(c.ExpertBytes))
	return allowance{rate: float64(c.StoreRate), limit: limit, bytes: limit}
}

// now is the allowance at a time. A clock that went back doesn't lower it.
func (a *allowance) now(now time.Time) float64 {
	if a.at.IsZero() || now.Before(a.at) {
		return a.bytes
	}
	return min(a.limit, a.bytes+a.rate*now.Sub(a.at).Seconds())
}

// spend takes what was loaded. It may go below zero, as when a group formed
// anew had to load more than was planned; then nothing is planned until it is
// above zero again.
func (a *allowance) spend(now time.Time, bytes int64) {
	a.bytes = a.now(now) - float64(bytes)
	a.at = now
}
