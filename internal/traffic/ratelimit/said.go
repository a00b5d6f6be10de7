// Package ratelimit holds an entry to the rate of requests that a target names.
//
// A target names the rate that it takes from all entries together, in its responses, for as long as
// it needs the limit. Two of the entries send to it; they differ from target to target. Entries
// that don't know their index among all take an even share each.
package ratelimit

import (
	"strconv"

	"wagtailshelf.example/wagtailshelf/internal/wire/decimal"
)

// Rate is a number of requests a second.
type Rate float64

// maxRate bounds a named rate, so that times between requests stay in range.
const maxRate Rate = 1e6

// Statement is what a response states of the rate that its target takes.
type Statement struct {
	Kind Kind
	Rate Rate // if it is named
}

// Kind is whether a response names a rate.
type Kind uint8

// The kinds of responses.
const (
	NoRate     Kind = iota // it names no rate
	Named                  // it names one
	Unreadable             // it names something that is no rate
)

// NewStatement returns the statement of a rate that came as a number, from any writer.
func NewStatement(rate float64) Statement {
	if !(rate >= 0) { // also if it is not a number
		return Statement{Kind: Unreadable}
	}
	return Statement{Kind: Named, Rate: min(Rate(rate), maxRate)}
}

// Parse reads the rates that a response names, which are none if the target has no limit. Of
// several the lowest counts, as it satisfies the others too.
func Parse(values []string) Statement {
	if len(values) == 0 {
		return Statement{}
	}
	statement := Statement{Kind: Unreadable}
	for _, text := range values {
		n, ok := decimal.Parse(text)
		if !ok {
			continue
		}
		rate := min(Rate(n), maxRate)
		if statement.Kind == Unreadable || rate < statement.Rate {
			statement = Statement{Kind: Named, Rate: rate}
		}
	}
	return statement
}

// String returns the rate as it is logged.
func (s Statement) String() string {
	switch s.Kind {
	case Named:
		return strconv.FormatFloat(float64(s.Rate), 'g', 6, 64)
	case Unreadable:
		return "unreadable"
	}
	return "none"
}
