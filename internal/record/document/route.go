package document

import (
	"cmp"
	"slices"
	"strings"
)

// Kinds of segments, the most specific first.
const (
	literal  = iota // exactly this text
	variable        // "{name}": any one segment
	rest            // "*": all remaining segments, possibly none
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
// path wins: at the first segment that differs, text takes precedence over a
// variable and a variable over "*".
//
// A path with empty, "." or ".." segments, or with an encoded slash or dot, has
// no route. A back end may resolve such a path to another one: a call that must
// not be repeated would then be handled by a route that allows repeats.
func (d *Document) RouteFor(method, path string) *Route {
	path, ok := d.cutPrefix(path)
	if !ok {
		return nil
	}
	segments, ok := splitPath(path)
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
// for this service. If several services match, the one with the longest PathPrefix
// serves the request; see [Select].
func (d *Document) Serves(hostname, path string) bool {
	if len(d.Hosts) > 0 && !slices.Contains(d.Hosts, strings.ToLower(hostname)) {
		return false
	}
	_, ok := d.cutPrefix(path)
	return ok
}

// Select returns the document that serves the host name and path, or nil. The
// longest prefix wins. Of equal prefixes, a document that names the host wins.
func Select(documents []*Document, hostname, path string) *Document {
	var best *Document
	for _, d := range documents {
		if d.Serves(hostname, path) && (best == nil || d.moreSpecificThan(best)) {
			best = d
		}
	}
	return best
}

func (d *Document) moreSpecificThan(other *Document) bool {
	if len(d.PathPrefix) != len(other.PathPrefix) {
		return len(d.PathPrefix) > len(other.PathPrefix)
	}
	if named, otherNamed := len(d.Hosts) > 0, len(other.Hosts) > 0; named != otherNamed {
		return named
	}
	return d.Service < other.Service
}

// cutPrefix returns the part of the path after the service's prefix.
func (d *Document) cutPrefix(path string) (string, bool) {
	remainder, ok := strings.CutPrefix(path, d.PathPrefix)
	if !ok || remainder != "" && remainder[0] != '/' {
		return "", false
	}
	return remainder, true
}

// splitPath splits a path into its segments. It refuses ambiguous paths, which a back
// end may resolve to another path.
func splitPath(path string) ([]string, bool) {
	if path == "" || path == "/" {
		return nil, true
	}
	segments := strings.Split(strings.TrimPrefix(path, "/"), "/")
	for i, s := range segments {
		last := i == len(segments)-1
		if s == "." || s == ".." || s == "" && !last || strings.Contains(s, `\`) || hasEncodedMark(s) {
			return nil, false
		}
	}
	return segments, true
}

// hasEncodedMark reports whether a slash, backslash, dot, percent sign or NUL is
// percent-encoded in the segment, or a percent sign is not followed by two characters.
func hasEncodedMark(s string) bool {
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

// compilePatterns converts the routes to patterns, the most specific first.
func compilePatterns(routes []Route) []*pattern {
	patterns := make([]*pattern, 0, len(routes))
	for i := range routes {
		patterns = append(patterns, newPattern(&routes[i]))
	}
	slices.SortStableFunc(patterns, comparePatterns)
	return patterns
}

func newPattern(r *Route) *pattern {
	p := &pattern{route: r}
	segments, _ := splitPath(r.Path)
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

// anySegment is a segment in a path that only variables and "*" match.
const anySegment = "{}"

// overlap returns a path that both patterns match, if there is one. The path has
// [anySegment] where neither pattern requires a text.
func (p *pattern) overlap(q *pattern) (string, bool) {
	var b strings.Builder
	for i := range max(len(p.segments), len(q.segments)) {
		x, y := p.segmentAt(i), q.segmentAt(i)
		if x == nil || y == nil {
			return b.String(), isRest(x) || isRest(y)
		}
		if x.kind == literal && y.kind == literal && x.text != y.text {
			return "", false
		}
		b.WriteString("/" + cmp.Or(x.text, y.text, anySegment))
	}
	return b.String(), true
}

// segmentAt returns the segment at i, or nil. A final "*" stands for all further segments.
func (p *pattern) segmentAt(i int) *segment {
	last := len(p.segments) - 1
	if i > last && last >= 0 && p.segments[last].kind == rest {
		return &p.segments[last]
	}
	if i > last {
		return nil
	}
	return &p.segments[i]
}

func isRest(s *segment) bool { return s != nil && s.kind == rest }
