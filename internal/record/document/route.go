package document

import (
	"cmp"
	"slices"
	"strings"
)

// segment kinds, in the order of how specific they are.
const (
	literal  = iota // the text itself
	variable        // "{name}": any one segment
	rest            // "*": all segments that follow, or none
)

type segment struct {
	kind int
	text string
}

// pattern is the compiled path of a route.
type pattern struct {
	segments []segment
	route    *Route
}

// RouteFor returns the route for a method and a path as the caller sent it,
// the service's prefix included, or nil if no route matches. The most specific
// path wins: at the first segment that differs, text goes before a variable
// and a variable before "*".
//
// A path with empty, "." or ".." segments, or with an encoded slash or dot, has
// no route. A back end may resolve such a path to another one: a call that must
// not be repeated would then go by the rules of a route that allows it.
func (d *Document) RouteFor(method, path string) *Route {
	path, ok := d.within(path)
	if !ok {
		return nil
	}
	segments, ok := split(path)
	if !ok {
		return nil
	}
	for _, p := range d.routes {
		if p.matches(segments) && slices.Contains(p.route.Methods, method) {
			return p.route
		}
	}
	return nil
}

// Serves reports whether requests to a host name (without port) and path are
// for this service. Of several services, the one with the longest PathPrefix
// is meant; see [Select].
func (d *Document) Serves(hostname, path string) bool {
	if len(d.Hosts) > 0 && !slices.Contains(d.Hosts, strings.ToLower(hostname)) {
		return false
	}
	_, ok := d.within(path)
	return ok
}

// Select returns the document that serves the host name and path, or nil. The
// longest prefix wins, then a document that names the host.
func Select(documents []*Document, hostname, path string) *Document {
	var best *Document
	for _, d := range documents {
		if d.Serves(hostname, path) && (best == nil || d.moreSpecific(best)) {
			best = d
		}
	}
	return best
}

func (d *Document) moreSpecific(other *Document) bool {
	if len(d.PathPrefix) != len(other.PathPrefix) {
		return len(d.PathPrefix) > len(other.PathPrefix)
	}
	if named, otherNamed := len(d.Hosts) > 0, len(other.Hosts) > 0; named != otherNamed {
		return named
	}
	return d.Service < other.Service
}

// within returns the path behind the service's prefix.
func (d *Document) within(path string) (string, bool) {
	behind, ok := strings.CutPrefix(path, d.PathPrefix)
	if !ok || behind != "" && behind[0] != '/' {
		return "", false
	}
	return behind, true
}

// split cuts a path into its segments. It refuses paths with more than one
// reading.
func split(path string) ([]string, bool) {
	if path == "" || path == "/" {
		return nil, true
	}
	segments := strings.Split(strings.TrimPrefix(path, "/"), "/")
	for i, s := range segments {
		last := i == len(segments)-1
		if s == "." || s == ".." || s == "" && !last || strings.Contains(s, `\`) || encodedMark(s) {
			return nil, false
		}
	}
	return segments, true
}

// encodedMark reports whether a slash, backslash, dot or percent sign is
// percent-encoded in the segment.
func encodedMark(s string) bool {
	for {
		i := strings.IndexByte(s, '%')
		if i < 0 {
			return false
		}
		s = s[i+1:]
		if len(s) < 2 || slices.Contains([]string{"2f", "5c", "2e", "25", "00"}, strings.ToLower(s[:2])) {
			return true
		}
	}
}

func (p *pattern) matches(path []string) bool {
	for i, s := range p.segments {
		if s.kind == rest {
			return true
		}
		if i >= len(path) || s.kind == literal && s.text != path[i] || path[i] == "" {
			return false
		}
	}
	return len(path) == len(p.segments)
}

// compile turns the routes into patterns, the most specific first.
func compile(routes []Route) []*pattern {
	patterns := make([]*pattern, 0, len(routes))
	for i := range routes {
		patterns = append(patterns, newPattern(&routes[i]))
	}
	slices.SortStableFunc(patterns, comparePatterns)
	return patterns
}

func newPattern(r *Route) *pattern {
	p := &pattern{route: r}
	segments, _ := split(r.Path)
	for _, s := range segments {
		switch {
		case s == "*":
			p.segments = append(p.segments, segment{kind: rest})
		case strings.HasPrefix(s, "{") && strings.HasSuffix(s, "}"):
			p.segments = append(p.segments, segment{kind: variable})
		default:
			p.segments = append(p.segments, segment{kind: literal, text: s})
		}
	}
	return p
}

func comparePatterns(a, b *pattern) int {
	return slices.CompareFunc(a.segments, b.segments, func(x, y segment) int {
		return cmp.Or(cmp.Compare(x.kind, y.kind), cmp.Compare(x.text, y.text))
	})
}

// anySegment stands in a path for a segment that only variables and "*" match.
const anySegment = "{}"

// meet returns a path that both patterns match, if there is one. It has
// [anySegment] where neither asks for a text.
func (p *pattern) meet(q *pattern) (string, bool) {
	var b strings.Builder
	for i := range max(len(p.segments), len(q.segments)) {
		x, y := p.segment(i), q.segment(i)
		if x == nil || y == nil {
			return b.String(), restOf(x) || restOf(y)
		}
		if x.kind == literal && y.kind == literal && x.text != y.text {
			return "", false
		}
		b.WriteString("/" + cmp.Or(x.text, y.text, anySegment))
	}
	return b.String(), true
}

// segment returns the segment at i; "*" goes on for ever.
func (p *pattern) segment(i int) *segment {
	last := len(p.segments) - 1
	if i > last && last >= 0 && p.segments[last].kind == rest {
		return &p.segments[last]
	}
	if i > last {
		return nil
	}
	return &p.segments[i]
}

func restOf(s *segment) bool { return s != nil && s.kind == rest }
