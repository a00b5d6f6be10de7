package setting

import (
	"wagtailshelf.example/wagtailshelf/internal/record/finding"
	"wagtailshelf.example/wagtailshelf/internal/record/source"
)

// Load decodes and checks the text of a settings file. The list holds all
// findings, in the order of the text; they give file as the file's name.
// Settings with findings must not be used.
func Load(file string, text []byte) (Settings, finding.List) {
	s := Default()
	src, list := source.Decode(file, text, &s)
	p := &checker{s: &s, src: src, reported: make(map[string]bool)}
	for _, f := range list {
		p.list = append(p.list, f)
		p.reported[f.Path] = true
	}
	if len(list) > 0 && !src.Has("") {
		return s, list // nothing could be decoded, so every required value would be reported as missing
	}
	for _, c := range checks {
		c.run(p)
	}
	p.list.Sort()
	return s, p.list
}

// checker runs the checks on one text and collects the findings.
type checker struct {
	s        *Settings
	src      *source.Source
	list     finding.List
	reported map[string]bool // paths that have a finding
}

// report adds a finding, unless the value already has one.
func (p *checker) report(path string, c finding.Category, format string, args ...any) {
	if p.reported[path] {
		return
	}
	p.reported[path] = true
	p.list = append(p.list, p.src.Finding(path, c, format, args...))
}

// missing adds a finding for a value that is missing in the text.
func (p *checker) missing(path, format string, args ...any) {
	p.report(path, finding.Missing, format, args...)
}

// invalid adds a finding for a value that is not valid.
func (p *checker) invalid(path, format string, args ...any) {
	p.report(path, finding.Invalid, format, args...)
}
