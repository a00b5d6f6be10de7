package plan

import "time"

// allowance is a token bucket that limits the bytes loaded from the weight store.
// It fills at the store's rate up to a limit, and starts full.
type allowance struct {
	rate      float64 // bytes per second
	limit     float64 // bytes
	bytes     float64 // available at the time updatedAt
	updatedAt time.Time
}

func newAllowance(c Config) allowance {
	limit := max(float64(c.StoreRate)*c.Burst.Seconds(), float64(c.ExpertBytes))
	return allowance{rate: float64(c.StoreRate), limit: limit, bytes: limit}
}

// available returns the bytes that may be loaded at a time. A clock that was set
// back doesn't lower them.
func (a *allowance) available(now time.Time) float64 {
	if a.updatedAt.IsZero() || now.Before(a.updatedAt) {
		return a.bytes
	}
	return min(a.limit, a.bytes+a.rate*now.Sub(a.updatedAt).Seconds())
}

// spend subtracts the bytes that were loaded. The allowance can become negative, for
// example when a group was formed again and had to load more than was planned. No
// load is planned until the allowance is positive again.
func (a *allowance) spend(now time.Time, bytes int64) {
	a.bytes = a.available(now) - float64(bytes)
	a.updatedAt = now
}
