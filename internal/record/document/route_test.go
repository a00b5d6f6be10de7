package document_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"wagtailshelf.example/wagtailshelf/internal/record/document"
)

const routed = `service: s
pathPrefix: /s
targets:
  - {name: t, address: 127.0.0.1:1, dataCentre: d}
routes:
  - {methods: [GET], path: /}
  - {methods: [GET, POST], path: /calls/*}
  - {methods: [POST], path: "/calls/{call}/outcome"}
  - {methods: [POST], path: /calls/latest/outcome}
  - {methods: [GET], path: "/calls/{call}"}
workspaces:
  - {name: w, keys: [0000000000000000000000000000000000000000000000000000000000000001]}
`

func TestRouteForPicksTheMostSpecificPath(t *testing.T) {
	d := parsed(t, routed)
	cases := []struct{ method, path, want string }{
		{"GET", "/s", "/"},
		{"GET", "/s/", "/"},
		{"POST", "/s/", ""},
		{"GET", "/s/calls", "/calls/*"},
		{"GET", "/s/calls/", "/calls/*"},
		{"GET", "/s/calls/7", "/calls/{call}"},
		{"POST", "/s/calls/7", "/calls/*"},
		{"POST", "/s/calls/7/outcome", "/calls/{call}/outcome"},
		{"GET", "/s/calls/7/outcome", "/calls/*"},
		{"POST", "/s/calls/latest/outcome", "/calls/latest/outcome"},
		{"POST", "/s/calls/7/outcome/x", "/calls/*"},
		{"GET", "/s/other", ""},
		{"GET", "/sx", ""},
		{"GET", "/", ""},
		{"DELETE", "/s/calls/7", ""},
	}
	for _, c := range cases {
		t.Run(c.method+" "+c.path, func(t *testing.T) {
			got := ""
			if r := d.RouteFor(c.method, c.path); r != nil {
				got = r.Path
			}
			assert.Equal(t, c.want, got)
		})
	}
}

// A caller sends POST /calls/x/../7/outcome. Its segments match the wide route, which
// may allow repeats; but a back end that resolves the dots logs the outcome of call 7,
// which must not be logged twice. RouteFor must find no route, so that the request is
// refused before it reaches a target.
func TestRouteForRefusesAmbiguousPaths(t *testing.T) {
	d := parsed(t, routed)
	for _, path := range []string{
		"/s/calls/x/../7/outcome", "/s/calls/./7", "/s/calls//7", "/s//calls/7",
		"/s/calls/x%2f7", "/s/calls/x%2F7", "/s/calls/%2e%2e/7", "/s/calls/%252e", `/s/calls/x\7`,
		"/s/calls/7%", "/s/calls/%5c",
	} {
		assert.Nil(t, d.RouteFor("GET", path), path)
	}
	assert.NotNil(t, d.RouteFor("GET", "/s/calls/%C3%A9t%C3%A9"))
}

func TestSelectTakesTheLongestPrefix(t *testing.T) {
	byHost := parsed(t, "hosts: [a.example]\n"+routed[len("service: s\npathPrefix: /s\n"):]+"service: h\n")
	short := parsed(t, routed)
	long := parsed(t, "service: l\npathPrefix: /s/calls\n"+routed[len("service: s\npathPrefix: /s\n"):])
	all := []*document.Document{short, byHost, long}
	assert.Same(t, long, document.Select(all, "b.example", "/s/calls/7"))
	assert.Same(t, short, document.Select(all, "b.example", "/s/callsx"))
	assert.Same(t, byHost, document.Select(all, "A.example", "/t"))
	assert.Nil(t, document.Select(all, "b.example", "/t"))
}

func TestDiffNamesEntriesAndIgnoresOrder(t *testing.T) {
	from := parsed(t, string(example(t, "agenda")))
	to := parsed(t, string(example(t, "wordsmith")))
	assert.Empty(t, document.Diff(from, from))
	all := ""
	for _, c := range document.Diff(from, to) {
		all += c.String() + "\n"
	}
	assertGolden(t, "testdata/diff.golden", all)
}
