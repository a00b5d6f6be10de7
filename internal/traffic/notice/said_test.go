package notice

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a back-off that is cut short, and against a notice read from an invalid text.
func TestParse(t *testing.T) {
	type list = []string
	backOff := func(d time.Duration) Notice { return Notice{BackOff: d} }
	unreadable := Notice{Unreadable: true}
	for name, c := range map[string]struct {
		backOffs, leaves list
		want             Notice
	}{
		"none":               {nil, nil, Notice{}},
		"seconds":            {list{"3"}, nil, backOff(3 * time.Second)},
		"a fraction":         {list{" 0.25 "}, nil, backOff(250 * time.Millisecond)},
		"zero":               {list{"0"}, nil, Notice{}},
		"an hour":            {list{"3600"}, nil, backOff(time.Hour)},
		"absurd":             {list{strings.Repeat("9", 300)}, nil, backOff(longestBackOff)},
		"too large to read":  {list{strings.Repeat("9", 301)}, nil, unreadable},
		"twice":              {list{"2", "3", "1"}, nil, backOff(3 * time.Second)},
		"one that is broken": {list{"3", "soon"}, nil, Notice{BackOff: 3 * time.Second, Unreadable: true}},
		"empty":              {list{""}, nil, unreadable},
		"negative":           {list{"-1"}, nil, unreadable},
		"no number":          {list{"NaN"}, nil, unreadable},
		"infinite":           {list{"Inf"}, nil, unreadable},
		"exponent":           {list{"1e300"}, nil, unreadable},
		"unit":               {list{"3s"}, nil, unreadable},
		"date":               {list{"Thu, 03 Dec 2026 07:28:00 GMT"}, nil, unreadable},
		"leaves":             {nil, list{"1"}, Notice{Leaves: true}},
		"does not leave":     {nil, list{"0"}, Notice{}},
		"leaves, twice":      {nil, list{"0", "1"}, Notice{Leaves: true}},
		"leaves, other word": {nil, list{"true"}, unreadable},
		"leaves, empty":      {nil, list{""}, unreadable},
		"both":               {list{"3"}, list{"1"}, Notice{BackOff: 3 * time.Second, Leaves: true}},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, Parse(c.backOffs, c.leaves))
		})
	}
}

func FuzzParse(f *testing.F) {
	for _, text := range []string{"", "3", "0.5", "-1", "NaN", "1e300", "1"} {
		f.Add(text, text)
	}
	f.Fuzz(func(t *testing.T, backOff, leaves string) {
		s := Parse([]string{backOff}, []string{leaves})
		require.GreaterOrEqual(t, s.BackOff, time.Duration(0))
		require.LessOrEqual(t, s.BackOff, longestBackOff)
		require.Less(t, s.BackOff, time.Duration(math.MaxInt64/4))
	})
}
