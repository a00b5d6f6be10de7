package companion

import (
	"math"
	"time"
)

// decay is what older counts still weigh after some time.
func decay(d time.Duration) float64 {
	return math.Exp2(-d.Seconds() / demandHalfLife.Seconds())
}
