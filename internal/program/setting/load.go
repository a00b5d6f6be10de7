package setting

import (
	"wagtailshelf.example/wagtailshelf/internal/record/finding"
	"wagtailshelf.example/wagtailshelf/internal/record/source"
)

// Load reads and checks the text of a settings file. The list holds all that
// is wrong with it, in the order of the text; file names it there. Settings
// with findings must not be used.
func Load(file string, text []byte) (Settings, finding.List) {
	s := Default()
	src, list := source.Decode(file, text, &s)
	p := &pass{s: &s, src: src, bad: make(map[string]bool)}
	for _, f := range list {
		p.list = append(p.list, f)
		p.bad[f.Path] = true
	}
	if len(list) > 0 && !src.Has("") {
		return s, list // nothing could be read, so that all would be missing
	}
	for _, c := range checks {
		c.run(p)
	}
	p.list.Sort()
	return s, p.list
}

// pass is one run of the checks.
type pass struct {
	s    *Settings
	src  *source.Source
	list finding.List
	bad  map[string]bool // paths with a finding
}

// report adds a finding, unless the same value has one already.
func (p *pass) report(path string, c finding.Category, format string, args ...any) {
	if p.bad[path] {
		return
	}
	p.bad[path] = true
	p.list = append(p.list, p.src.Finding(path, c, format, args...))
}

// missing adds a finding for a value that the text does not give.
func (p *pass) missing(path, format string, args ...any) {
	p.report(path, finding.Missing, format, args...)
}

// invalid adds a finding for a value that is out of range.
func (p *pass) invalid(path, format string, args ...any) {
	p.report(path, finding.Invalid, format, args...)
}
