package ratelimit

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func ExampleParse() {
	fmt.Println(Parse([]string{"1.2"}), Parse(nil), Parse([]string{"soon"}))
	// Output: 1.2 none unreadable
}

func TestParse(t *testing.T) {
	for name, c := range map[string]struct {
		values []string
		want   Said
	}{
		"none":             {nil, Said{}},
		"whole":            {[]string{"3"}, Said{Named, 3}},
		"fraction":         {[]string{" 0.25 "}, Said{Named, 0.25}},
		"zero":             {[]string{"0"}, Said{Named, 0}},
		"twice":            {[]string{"4", "2"}, Said{Named, 2}},
		"twice, one wrong": {[]string{"x", "2"}, Said{Named, 2}},
		"empty":            {[]string{""}, Said{Kind: Unreadable}},
		"negative":         {[]string{"-1"}, Said{Kind: Unreadable}},
		"not a number":     {[]string{"NaN"}, Said{Kind: Unreadable}},
		"infinite":         {[]string{"Inf"}, Said{Kind: Unreadable}},
		"exponent":         {[]string{"1e300"}, Said{Kind: Unreadable}},
		"hexadecimal":      {[]string{"0x10"}, Said{Kind: Unreadable}},
		"unit":             {[]string{"1.2/s"}, Said{Kind: Unreadable}},
		"list":             {[]string{"1, 2"}, Said{Kind: Unreadable}},
		"long":             {[]string{strings.Repeat("9", 300)}, Said{Named, maxRate}},
		"too long":         {[]string{strings.Repeat("9", 100000)}, Said{Kind: Unreadable}},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, Parse(c.values)) })
	}
}

// FuzzParse reads any text as the value of a header. The result is a rate that can be kept to.
func FuzzParse(f *testing.F) {
	for _, text := range []string{"1.2", "", "-1", "NaN", "1e300", "0x1p-2", "1.2/s"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		s := Parse([]string{text})
		require.NotEqual(t, Nothing, s.Kind)
		require.GreaterOrEqual(t, s.Rate, Rate(0))
		require.LessOrEqual(t, s.Rate, maxRate)
	})
}
