// Package notice keeps the notices that targets give of themselves in their responses to an entry:
// that they ask for a back-off, and that they leave.
//
// A notice is of one incarnation of a target, and holds for the entry that received it alone.
package notice

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/wire/decimal"
)

// Notice is the target notice in a response.
type Notice struct {
	BackOff time.Duration // no requests from this entry for so long; 0 if the target asks for no back-off
	Leaves  bool          // the target is about to end
	// Unreadable is set if the response holds a notice that is neither of the two.
	Unreadable bool
}

// Empty reports whether the response holds no notice.
func (n Notice) Empty() bool { return n == Notice{} }

// longestBackOff bounds a back-off, so that sums with it stay in range. A target that asks for more
// gets a request once a day.
const longestBackOff = 24 * time.Hour

// Parse reads the notices of a response: the seconds of a back-off, and whether the target leaves.
// Of several back-offs the longest counts, as it satisfies the others too.
func Parse(backOffs, leaves []string) Notice {
	var n Notice
	for _, text := range backOffs {
		seconds, ok := decimal.Parse(text)
		if !ok {
			n.Unreadable = true
			continue
		}
		backOff := time.Duration(min(seconds, longestBackOff.Seconds()) * float64(time.Second))
		n.BackOff = max(n.BackOff, backOff)
	}
	for _, text := range leaves {
		switch text {
		case "1":
			n.Leaves = true
		case "0":
		default:
			n.Unreadable = true
		}
	}
	return n
}

// String returns the notice as it is logged.
func (n Notice) String() string {
	text := ""
	if n.BackOff > 0 {
		text += " rest=" + n.BackOff.String()
	}
	if n.Leaves {
		text += " leaves"
	}
	if n.Unreadable {
		text += " notice=unreadable"
	}
	return text
}
