package document

import (
	"fmt"
	"regexp"

	"wagtailshelf.example/wagtailshelf/internal/record/finding"
	"wagtailshelf.example/wagtailshelf/internal/record/source"
)

// ComparedWith is what a rule compares a document with.
type ComparedWith uint8

// What a rule compares a document with.
const (
	Nothing        ComparedWith = iota
	ActiveDocument              // the active document of the same service
	OtherServices               // the active documents of the other services
)

// Rule is one rule that a document must follow, with its check. The schema page is
// generated from the tables of rules.
type Rule struct {
	Name         string // name of the check on the schema page, in kebab case
	Title        string // what must hold, in one sentence
	Why          string // what would go wrong otherwise
	ComparedWith ComparedWith
	check        func(p *pass)
}

// Rules returns all rules: those for a document on its own, those for a change of the
// active document, and those that involve the documents of other services.
func Rules() []Rule {
	var all []Rule
	for _, table := range [][]Rule{serviceRules, targetRules, routeRules, limitRules, groupRules, changeRules, otherServiceRules} {
		all = append(all, table...)
	}
	return all
}

// pass is one run of the rules over a document.
type pass struct {
	*Document
	source *source.Source
	active *Document // nil if there is none
	others []*Document
	list   finding.List
}

// run checks all rules, those for a change only if there is an active document.
func (p *pass) run() finding.List {
	for _, rule := range Rules() {
		if rule.ComparedWith == ActiveDocument && p.active == nil {
			continue
		}
		rule.check(p)
	}
	return p.list
}

// report adds a finding about the value at a path.
func (p *pass) report(path string, c finding.Category, format string, args ...any) {
	if len(p.list) < source.MaxFindings {
		p.list = append(p.list, p.source.Finding(path, c, format, args...))
	}
}

// requireValue reports a value that is missing, and returns whether it is present.
func (p *pass) requireValue(path string, present bool) bool {
	if !present && !p.source.Has(path) {
		p.report(path, finding.Missing, "%s is missing", path)
	}
	return present
}

// requirePositive reports a number that is not above zero.
func requirePositive[T int | float64 | Bytes](p *pass, path string, v T) {
	if v <= 0 {
		p.report(path, finding.Invalid, "%s must be above zero", path)
	}
}

// requireBetween reports a number outside the bounds.
func requireBetween[T int | float64 | Bytes](p *pass, path string, v, low, high T) {
	if v < low || v > high {
		p.report(path, finding.Invalid, "%s must be from %v to %v, not %v", path, low, high, v)
	}
}

// requireUnique reports a name that an earlier entry already has. The map seen holds the
// path of each name.
func (p *pass) requireUnique(seen map[string]string, path, name, kind string) {
	if name == "" {
		return
	}
	if earlier, ok := seen[name]; ok {
		p.report(path, finding.Duplicate, "%s %q is already used at %s", kind, name, earlier)
		return
	}
	seen[name] = path
}

var nameForm = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// requireName reports a name that is missing or malformed.
func (p *pass) requireName(path, name string) {
	if p.requireValue(path, name != "") && !nameForm.MatchString(name) {
		p.report(path, finding.Invalid,
			"%s %q must be at most 63 lower-case letters, digits, dots and hyphens, and begin and end with a letter or digit", path, name)
	}
}

// entryPath returns the path of a value in an entry of a list, such as "targets[2].address".
func entryPath(list string, i int, key string) string {
	return fmt.Sprintf("%s[%d].%s", list, i, key)
}

// confirms reports whether the document explicitly confirms a change.
func (d *Document) confirms(change Danger, name string) bool {
	for _, c := range d.Confirm {
		if c.Change == change && c.Name == name {
			return true
		}
	}
	return false
}
