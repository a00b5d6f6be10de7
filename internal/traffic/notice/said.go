// Package notice keeps what targets say of themselves in their answers to an entry: that they
// want rest, and that they leave.
//
// Such a word is of one life of a target, and towards this entry alone.
package notice

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/wire/decimal"
)

// Said is what an answer says of its target.
type Said struct {
	Rest   time.Duration // the target wants no request from this entry for so long; 0 if it asks for none
	Leaves bool          // the target is about to end
	// Unreadable tells that it says something else than the two.
	Unreadable bool
}

// Nothing tells whether the answer says nothing of its target.
func (s Said) Nothing() bool { return s == Said{} }

// longestRest bounds a rest, so that sums with it stay in range. A target that wants more is
// asked once in a day.
const longestRest = 24 * time.Hour

// Parse reads the words of an answer: the seconds of a rest, and whether the target leaves. Of
// several rests the longest counts: whichever is meant, it is kept to.
func Parse(rests, leaves []string) Said {
	var s Said
	for _, text := range rests {
		seconds, ok := decimal.Parse(text)
		if !ok {
			s.Unreadable = true
			continue
		}
		rest := time.Duration(min(seconds, longestRest.Seconds()) * float64(time.Second))
		s.Rest = max(s.Rest, rest)
	}
	for _, text := range leaves {
		switch text {
		case "1":
			s.Leaves = true
		case "0":
		default:
			s.Unreadable = true
		}
	}
	return s
}

// String is how logs tell it.
func (s Said) String() string {
	text := ""
	if s.Rest > 0 {
		text += " rest=" + s.Rest.String()
	}
	if s.Leaves {
		text += " leaves"
	}
	if s.Unreadable {
		text += " notice=unreadable"
	}
	return text
}
