// Package decimal reads numbers as headers hold them.
package decimal

import (
	"math"
	"regexp"
	"strconv"
	"strings"
)

// form is how a number is written: digits, maybe with a point.
var form = regexp.MustCompile(`^[0-9]{1,300}(\.[0-9]{0,300})?$`)

// Parse reads a number that is not negative. Signs, exponents, units and words like "Inf",
// which a parser of numbers would take, are none; what is too large for a number is infinite.
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
