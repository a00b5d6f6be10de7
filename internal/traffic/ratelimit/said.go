// Package ratelimit holds an entry to the rate of requests that a target in need names.
//
// A target names the rate that it takes from all entries together, in its answers, for as
// long as it needs it. Two of the entries send to it, others for each target. Entries that
// don't know their place among all take an even share each.
package ratelimit

import (
	"strconv"

	"wagtailshelf.example/wagtailshelf/internal/wire/decimal"
)

// Rate is a number of requests a second.
type Rate float64

// mostRate bounds a named rate, so that times between requests stay in range.
const mostRate Rate = 1e6

// Said is what an answer says of the rate that its target takes.
type Said struct {
	Kind Kind
	Rate Rate // if it is named
}

// Kind tells whether an answer names a rate.
type Kind uint8

// The kinds of what an answer says.
const (
	Nothing    Kind = iota // it names no rate
	Named                  // it names one
	Unreadable             // it names something that is no rate
)

// NewSaid is the word for a rate that came as a number, from any writer.
func NewSaid(rate float64) Said {
	if !(rate >= 0) { // also what is no number
		return Said{Kind: Unreadable}
	}
	return Said{Kind: Named, Rate: min(Rate(rate), mostRate)}
}

// Parse reads the rates that an answer names, which is one if the target is sound. Of several
// the lowest counts: whichever is meant, it is kept to.
func Parse(values []string) Said {
	if len(values) == 0 {
		return Said{}
	}
	said := Said{Kind: Unreadable}
	for _, text := range values {
		n, ok := decimal.Parse(text)
		if !ok {
			continue
		}
		rate := min(Rate(n), mostRate)
		if said.Kind == Unreadable || rate < said.Rate {
			said = Said{Kind: Named, Rate: rate}
		}
	}
	return said
}

// String is how logs tell it.
func (s Said) String() string {
	switch s.Kind {
	case Named:
		return strconv.FormatFloat(float64(s.Rate), 'g', 6, 64)
	case Unreadable:
		return "unreadable"
	}
	return "none"
}
