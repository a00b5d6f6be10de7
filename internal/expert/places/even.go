package places

import "time"

const (
	// tightSkew is the load of the most loaded rank, relative to the mean, up to which no
	// experts of a layer are moved while steps take tightStep of their goal or more. Any more
	// skew then makes responses late: with 1.4 at all step times, groups of 32 ranks
	// delivered 0.52 instead of 0.60 of what callers were owed under the highest load.
	tightSkew = 1.25
	tightStep = 0.6
	// looseSkew is the same while steps take looseStep of their goal or less. No response is
	// late then, and copying experts has its cost and makes steps longer: with this value half
	// as many were copied on quiet days, and as many callers were served on time.
	looseSkew = 1.5
	looseStep = 0.4
)

// ToleratedSkew returns the skew of a layer up to which no experts are moved, given how long a
// step takes and how long it should take at the most. Demand shifts all the time: moving
// experts after each shift is worth its cost only while it makes responses late.
func ToleratedSkew(step, goal time.Duration) float64 {
	if step <= 0 || goal <= 0 {
		return tightSkew
	}
	part := float64(step) / float64(goal)
	slack := (tightStep - part) / (tightStep - looseStep)
	return tightSkew + (looseSkew-tightSkew)*min(max(slack, 0), 1)
}
