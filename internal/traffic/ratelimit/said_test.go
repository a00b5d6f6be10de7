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
		want   Statement
	}{
		"none":             {nil, Statement{}},
		"whole":            {[]string{"3"}, Statement{Named, 3}},
		"fraction":         {[]string{" 0.25 "}, Statement{Named, 0.25}},
		"zero":             {[]string{"0"}, Statement{Named, 0}},
		"twice":            {[]string{"4", "2"}, Statement{Named, 2}},
		"twice, one wrong": {[]string{"x", "2"}, Statement{Named, 2}},
		"empty":            {[]string{""}, Statement{Kind: Unreadable}},
		"negative":         {[]string{"-1"}, Statement{Kind: Unreadable}},
		"not a number":     {[]string{"NaN"}, Statement{Kind: Unreadable}},
		"infinite":         {[]string{"Inf"}, Statement{Kind: Unreadable}},
		"exponent":         {[]string{"1e300"}, Statement{Kind: Unreadable}},
		"hexadecimal":      {[]string{"0x10"}, Statement{Kind: Unreadable}},
		"unit":             {[]string{"1.2/s"}, Statement{Kind: Unreadable}},
		"list":             {[]string{"1, 2"}, Statement{Kind: Unreadable}},
		"long":             {[]string{strings.Repeat("9", 300)}, Statement{Named, maxRate}},
		"too long":         {[]string{strings.Repeat("9", 100000)}, Statement{Kind: Unreadable}},
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
		require.NotEqual(t, NoRate, s.Kind)
		require.GreaterOrEqual(t, s.Rate, Rate(0))
		require.LessOrEqual(t, s.Rate, maxRate)
	})
}
