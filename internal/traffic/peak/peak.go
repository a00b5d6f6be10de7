// Package peak keeps the largest of recent values.
package peak

import (
	"cmp"
	"time"
)

// Peak is the largest of the values that were added within the last span, or up to two of them. When values
// cease to be added, it stays. The zero value is that of no values.
type Peak[T cmp.Ordered] struct {
	begin             time.Time // of the current span
	current, previous T
}

// Add adds a value, which is kept for a span at least.
func (p *Peak[T]) Add(now time.Time, span time.Duration, v T) {
	var none T
	switch age := now.Sub(p.begin); {
	case age >= 2*span:
		p.begin, p.previous, p.current = now, none, none
	case age >= span:
		p.begin, p.previous, p.current = now, p.current, none
	}
	p.current = max(p.current, v)
}

// Value returns the largest value; the zero value if there was none.
func (p *Peak[T]) Value() T { return max(p.current, p.previous) }
