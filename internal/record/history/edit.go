package history

import (
	"bytes"
	"errors"
	"slices"

	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

// edit is one step that makes a text from the one before it: lines that are
// kept, or new text.
type edit struct {
	Keep [2]int `json:"keep,omitzero"` // first line and number of lines
	Add  string `json:"add,omitempty"`
}

var errEdit = errors.New("an edit does not fit the text before it")

// edits returns the steps that make a text from another one.
func edits(from, to []byte) []edit {
	before := lines(from)
	places := make(map[string][]int, len(before))
	for i, line := range before {
		places[string(line)] = append(places[string(line)], i)
	}
	var steps []edit
	next := 0 // line that continues the last one kept
	for _, line := range lines(to) {
		i := next
		if i >= len(before) || !bytes.Equal(before[i], line) {
			i = nearest(places[string(line)], next)
		}
		if i < 0 {
			steps = add(steps, line)
			continue
		}
		steps = keep(steps, i)
		next = i + 1
	}
	return steps
}

// nearest returns the first place at or behind next, else the first of all.
func nearest(places []int, next int) int {
	if len(places) == 0 {
		return -1
	}
	i, _ := slices.BinarySearch(places, next)
	return places[i%len(places)]
}

func add(steps []edit, line []byte) []edit {
	if n := len(steps); n > 0 && steps[n-1].Keep[1] == 0 {
		steps[n-1].Add += string(line)
		return steps
	}
	return append(steps, edit{Add: string(line)})
}

func keep(steps []edit, line int) []edit {
	if n := len(steps); n > 0 && steps[n-1].Keep[1] > 0 && steps[n-1].Keep[0]+steps[n-1].Keep[1] == line {
		steps[n-1].Keep[1]++
		return steps
	}
	return append(steps, edit{Keep: [2]int{line, 1}})
}

// apply returns the text that the steps make. The result is bounded, since the
// steps may come from a damaged object.
func apply(from []byte, steps []edit) ([]byte, error) {
	before := lines(from)
	to := []byte{}
	for _, s := range steps {
		first, n := s.Keep[0], s.Keep[1]
		if first < 0 || n < 0 || first > len(before) || n > len(before)-first {
			return nil, errEdit
		}
		for _, line := range before[first : first+n] {
			if to = append(to, line...); len(to) > object.MaxValueBytes {
				return nil, errEdit
			}
		}
		if to = append(to, s.Add...); len(to) > object.MaxValueBytes {
			return nil, errEdit
		}
	}
	return to, nil
}

func lines(text []byte) [][]byte {
	return slices.Collect(bytes.Lines(text))
}
