package document

import (
	"fmt"
	"regexp"

	"wagtailshelf.example/wagtailshelf/internal/record/finding"
	"wagtailshelf.example/wagtailshelf/internal/record/source"
)

// Against tells what a check compares a document with.
type Against uint8

// What checks compare with.
const (
	Itself  Against = iota
	InForce         // the document in force of the same service
	Others          // the documents in force of the other services
)

// Unit is one check of a document. The table of units is also what the schema
// page is made from.
type Unit struct {
	Name    string // in kebab case, names the check on the schema page
	Title   string // what must hold, in one sentence
	Why     string // what would go wrong otherwise
	Against Against
	run     func(p *pass)
}

// Units returns all checks: those of a document for itself, those of a change,
// then those beside other services.
func Units() []Unit {
	var all []Unit
	for _, table := range [][]Unit{serviceUnits, targetUnits, routeUnits, limitUnits, groupUnits, changeUnits, besideUnits} {
		all = append(all, table...)
	}
	return all
}

// pass is one run of the units over a document.
type pass struct {
	*Document
	src     *source.Source
	inForce *Document // nil if there is none
	others  []*Document
	list    finding.List
}

func (p *pass) check() finding.List {
	for _, u := range Units() {
		if u.Against == InForce && p.inForce == nil {
			continue
		}
		u.run(p)
	}
	return p.list
}

// report adds a finding about the value at a path.
func (p *pass) report(path string, c finding.Category, format string, args ...any) {
	if len(p.list) < source.MaxFindings {
		p.list = append(p.list, p.src.Finding(path, c, format, args...))
	}
}

// require reports that a value is absent, and returns whether it is there.
func (p *pass) require(path string, present bool) bool {
	if !present && !p.src.Has(path) {
		p.report(path, finding.Missing, "%s is missing", path)
	}
	return present
}

// positive reports a number that is not above zero.
func positive[T int | float64 | Bytes](p *pass, path string, v T) {
	if v <= 0 {
		p.report(path, finding.Invalid, "%s must be above zero", path)
	}
}

// between reports a number outside the bounds.
func between[T int | float64 | Bytes](p *pass, path string, v, low, high T) {
	if v < low || v > high {
		p.report(path, finding.Invalid, "%s must be from %v to %v, not %v", path, low, high, v)
	}
}

// unique reports a name that an earlier entry has already.
func (p *pass) unique(seen map[string]string, path, name, what string) {
	if name == "" {
		return
	}
	if earlier, ok := seen[name]; ok {
		p.report(path, finding.Duplicate, "%s %q is already used at %s", what, name, earlier)
		return
	}
	seen[name] = path
}

var nameForm = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// named checks the form of a required name.
func (p *pass) named(path, name string) {
	if p.require(path, name != "") && !nameForm.MatchString(name) {
		p.report(path, finding.Invalid,
			"%s %q must be at most 63 lower-case letters, digits, dots and hyphens, and begin and end with a letter or digit", path, name)
	}
}

func at(list string, i int, key string) string {
	return fmt.Sprintf("%s[%d].%s", list, i, key)
}

// confirmed reports whether the document has the explicit word for a change.
func (d *Document) confirmed(change Danger, name string) bool {
	for _, c := range d.Confirm {
		if c.Change == change && c.Name == name {
			return true
		}
	}
	return false
}
