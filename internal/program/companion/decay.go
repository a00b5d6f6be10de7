package companion

import (
	"math"
	"time"
)

// decay returns the weight that counts keep after a time: half of it is lost in each
// demandHalfLife.
func decay(d time.Duration) float64 {
	return math.Exp2(-d.Seconds() / demandHalfLife.Seconds())
}
