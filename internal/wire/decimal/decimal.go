// Package decimal parses the numbers in header fields.
package decimal

import (
	"math"
	"regexp"
	"strconv"
	"strings"
)

// form matches a number: digits, with an optional decimal point.
var form = regexp.MustCompile(`^[0-9]{1,300}(\.[0-9]{0,300})?$`)

// Parse parses a non-negative number. It rejects signs, exponents, units and words such as "Inf",
// some of which [strconv.ParseFloat] accepts. A number that is too large for a float64 is returned
// as infinity.
func Parse(text string) (n float64, ok bool) {
	text = strings.TrimSpace(text)
	if !form.MatchString(text) {
		return 0, false
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil && !math.IsInf(n, 1) {
		return 0, false
	}
	return n, true
}
