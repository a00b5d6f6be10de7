package history

import (
	"bytes"
	"errors"
	"slices"

	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

// edit is one step of the difference between a text and the previous one: lines
// that are kept, or new text.
type edit struct {
	Keep [2]int `json:"keep,omitzero"` // first line and number of lines
	Add  string `json:"add,omitempty"`
}

var errEdit = errors.New("an edit does not fit the text before it")

// diff returns the steps that turn the text from into the text to.
func diff(from, to []byte) []edit {
	oldLines := lines(from)
	lineNumbers := make(map[string][]int, len(oldLines))
	for i, line := range oldLines {
		lineNumbers[string(line)] = append(lineNumbers[string(line)], i)
	}
	var steps []edit
	next := 0 // the line after the last one that was kept
	for _, line := range lines(to) {
		i := next
		if i >= len(oldLines) || !bytes.Equal(oldLines[i], line) {
			i = nextOrFirst(lineNumbers[string(line)], next)
		}
		if i < 0 {
			steps = appendNew(steps, line)
			continue
		}
		steps = appendKept(steps, i)
		next = i + 1
	}
	return steps
}

// nextOrFirst returns the first of the sorted line numbers that is not below next,
// else the first one, and -1 if there are none.
func nextOrFirst(numbers []int, next int) int {
	if len(numbers) == 0 {
		return -1
	}
	i, _ := slices.BinarySearch(numbers, next)
	return numbers[i%len(numbers)]
}

// appendNew adds a new line to the steps.
func appendNew(steps []edit, line []byte) []edit {
	if n := len(steps); n > 0 && steps[n-1].Keep[1] == 0 {
		steps[n-1].Add += string(line)
		return steps
	}
	return append(steps, edit{Add: string(line)})
}

// appendKept adds the number of a kept line to the steps.
func appendKept(steps []edit, line int) []edit {
	if n := len(steps); n > 0 && steps[n-1].Keep[1] > 0 && steps[n-1].Keep[0]+steps[n-1].Keep[1] == line {
		steps[n-1].Keep[1]++
		return steps
	}
	return append(steps, edit{Keep: [2]int{line, 1}})
}

// apply returns the text that the steps turn the text from into. The result is
// bounded, since the steps may come from a damaged object.
func apply(from []byte, steps []edit) ([]byte, error) {
	oldLines := lines(from)
	to := []byte{}
	for _, s := range steps {
		first, n := s.Keep[0], s.Keep[1]
		if first < 0 || n < 0 || first > len(oldLines) || n > len(oldLines)-first {
			return nil, errEdit
		}
		for _, line := range oldLines[first : first+n] {
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
