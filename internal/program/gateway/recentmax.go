package gateway

import "time"

// recentMaxSpan is how long the largest value of a recentMax is kept at least.
const recentMaxSpan = 10 * time.Minute

// recentMax is the largest of the values that were added within the last span, or up to two of
// them. When values cease to be added, it stays. The zero value is 0.
type recentMax struct {
	begin             time.Time // of the current span
	current, previous int
}

func (m *recentMax) add(now time.Time, n int) {
	switch age := now.Sub(m.begin); {
	case age >= 2*recentMaxSpan:
		m.begin, m.previous, m.current = now, 0, 0
	case age >= recentMaxSpan:
		m.begin, m.previous, m.current = now, m.current, 0
	}
	m.current = max(m.current, n)
}

func (m *recentMax) value() int { return max(m.current, m.previous) }
