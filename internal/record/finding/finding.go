// Package finding defines the problems that a check of settings or of a document
// reports. Each has a position in the text and a category; all problems of a text are
// reported together.
package finding

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Category is the kind of problem that a finding reports.
type Category string

// The categories of findings.
const (
	Syntax    Category = "syntax"    // the text is not well-formed
	Unknown   Category = "unknown"   // a key that does not exist
	Missing   Category = "missing"   // a required value is absent
	Invalid   Category = "invalid"   // a value is out of range or of the wrong form
	Duplicate Category = "duplicate" // a name is used twice
	Reference Category = "reference" // a name refers to nothing
	Unsafe    Category = "unsafe"    // a change needs an explicit confirmation
)

// Position is a position in a text. Line and Column start at 1; zero means that
// the position is unknown.
type Position struct {
	File   string `json:"file,omitempty"`
	Line   int    `json:"line,omitempty"`
	Column int    `json:"column,omitempty"`
}

// String formats the position as file:line:column.
func (p Position) String() string {
	if p.Line == 0 {
		return p.File
	}
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// Finding is one problem.
type Finding struct {
	Position Position `json:"position"`
	Category Category `json:"category"`
	Path     string   `json:"path,omitempty"` // path of the value, for example "targets[2].address"
	Message  string   `json:"message"`
}

// String formats the finding on one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s (%s)", f.Position, f.Message, f.Category)
}

// List is a list of findings. As an error, it reports all of them together.
type List []Finding

// Error formats the findings, one on each line.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Sort orders the findings by position.
func (l List) Sort() {
	slices.SortStableFunc(l, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(a.Position.File, b.Position.File),
			cmp.Compare(a.Position.Line, b.Position.Line),
			cmp.Compare(a.Position.Column, b.Position.Column),
		)
	})
}

// Err returns the list as an error, or nil if it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}
