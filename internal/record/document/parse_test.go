package document_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/record/finding"
	"wagtailshelf.example/wagtailshelf/internal/record/source"
)

var services = []string{"redaction", "agenda", "wordsmith", "deckapp"}

func TestExamplesAreWithoutFindings(t *testing.T) {
	targets := map[string]int{"redaction": 16, "agenda": 3, "wordsmith": 16, "deckapp": 3}
	for _, service := range services {
		t.Run(service, func(t *testing.T) {
			d := parsed(t, string(example(t, service)))
			assert.Equal(t, service, d.Service)
			assert.Len(t, d.Targets, targets[service])
			assert.Len(t, d.Workspaces, 10)
			for _, g := range d.Groups {
				assert.NotContains(t, d.Members(g.Name), (*document.Target)(nil))
			}
			for _, target := range d.Targets {
				assert.True(t, target.Address.Addr().IsLoopback())
			}
		})
	}
}

const minimal = `service: s
kind: plain
pathPrefix: /s
targets:
  - {name: t, address: 127.0.0.1:1, dataCentre: d}
routes:
  - {methods: [GET], path: /*}
workspaces:
  - {name: w, keys: [0000000000000000000000000000000000000000000000000000000000000001]}
`

func TestAbsentValuesHaveTheirDefaults(t *testing.T) {
	d := parsed(t, minimal)
	assert.Equal(t, "t", string(d.Targets[0].Host))
	assert.Equal(t, document.DefaultWeight, d.Targets[0].Weight)
	assert.Equal(t, document.DefaultDeadline, d.Routes[0].Deadline)
	assert.Equal(t, document.Normal, d.Routes[0].Priority)
	assert.Equal(t, document.DefaultMaxBody, d.Routes[0].MaxBody)
	assert.Equal(t, document.Cost{Fixed: 1}, d.Routes[0].Cost)
	assert.False(t, d.Routes[0].Idempotent, "requests of a route are not repeated unless the document allows it")
	assert.Equal(t, document.Refuse, d.Claims.OnPlatformOutage)
	assert.Equal(t, 10*time.Minute, d.Claims.Retention)
	assert.InDelta(t, 1.0, d.Workspaces[0].Share, 0)
}

// Each file in testdata/check holds a text with mistakes. The golden file of the same
// name holds the findings. The file may begin with the active document, which ends at
// a line of equals signs.
func TestFindings(t *testing.T) {
	files, err := filepath.Glob("testdata/check/*.yaml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			_, list := check(t, string(text))
			assertGolden(t, strings.TrimSuffix(file, ".yaml")+".golden", list.Error()+"\n")
		})
	}
}

func check(t *testing.T, text string) (*document.Document, finding.List) {
	before, after, change := strings.Cut(text, "\n==========\n")
	if !change {
		return document.Parse("f.yaml", []byte(text))
	}
	return document.Check("f.yaml", []byte(after), parsed(t, before))
}

func TestATextCanReplaceItself(t *testing.T) {
	text := strings.Replace(minimal, "t, address", "t, leaving: true, address", 1) + "confirm: [{change: noTarget}]\n"
	d := parsed(t, text)
	_, list := document.Check("f", []byte(text), d)
	assert.Empty(t, list)
}

func TestAConfirmationCountsForOneChangeOnly(t *testing.T) {
	two := strings.Replace(minimal, "workspaces:", "workspaces:\n  - {name: x, keys: ["+strings.Repeat("f", 64)+"]}", 1)
	dropped := minimal + "confirm: [{change: dropWorkspace, name: x}]\n"

	_, list := document.Check("f", []byte(minimal), parsed(t, two))
	require.Len(t, list, 1)
	assert.Equal(t, finding.Unsafe, list[0].Category)

	after, list := document.Check("f", []byte(dropped), parsed(t, two))
	require.Empty(t, list)

	_, list = document.Check("f", []byte(dropped), after)
	assert.Empty(t, list, "the active text may be applied again")

	_, list = document.Check("f", []byte(dropped+"# edited\n"), after)
	require.Len(t, list, 1)
	assert.Contains(t, list[0].Message, "take the word out")
}

// By mistake, or by copying a document, a team uses the prefix of another team. The
// requests of one of the two would be misrouted, so the second document is refused.
func TestAServiceCantTakeAnothersRouting(t *testing.T) {
	other := strings.Replace(minimal, "service: s", "service: other", 1)
	hosts := func(text, list string) string {
		return strings.Replace(text, "pathPrefix: /s", "hosts: "+list, 1)
	}
	cases := map[string]struct {
		text, other string
		findings    int
	}{
		"same prefix":          {minimal, other, 1},
		"longer prefix":        {strings.Replace(minimal, "/s\n", "/s/t\n", 1), other, 0},
		"one host shared":      {hosts(minimal, "[a, b]"), hosts(other, "[b, c]"), 1},
		"hosts differ":         {hosts(minimal, "[a]"), hosts(other, "[b]"), 0},
		"named against all":    {minimal + "hosts: [a]\n", other, 0},
		"the service's own":    {minimal, minimal, 0},
		"two prefixes, a host": {minimal + "hosts: [a]\n", strings.Replace(other, "/s\n", "/o\n", 1) + "hosts: [a]\n", 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, list := document.Check("f", []byte(c.text), nil, parsed(t, c.other))
			assert.Len(t, list, c.findings, list.Error())
		})
	}
}

func TestDigestIsThatOfTheText(t *testing.T) {
	d := parsed(t, minimal)
	assert.Equal(t, document.DigestOf([]byte(minimal)), d.Digest())
	assert.NotEqual(t, d.Digest(), parsed(t, minimal+"# a comment counts\n").Digest())
	var back document.Digest
	require.NoError(t, back.UnmarshalText([]byte(d.Digest().String())))
	assert.Equal(t, d.Digest(), back)
}

func FuzzParse(f *testing.F) {
	for _, service := range services {
		f.Add(example(f, service))
	}
	f.Add([]byte(minimal))
	f.Add([]byte("service: s\ntargets: [{group: g, rank: -1}]\ngroups: [{name: g, ranks: 1000000000}]\n"))
	f.Add([]byte("shares: [{share: .inf}, {target: a, dataCentre: b}]\nconfirm: [{change: x}]\n"))
	active := parsed(f, string(example(f, "redaction")))
	f.Fuzz(func(t *testing.T, text []byte) {
		d, list := document.Check("f", text, active)
		require.NotNil(t, d)
		for _, each := range list {
			require.Positive(t, each.Position.Line, each.Message)
			require.NotEmpty(t, each.Message)
		}
		d.RouteFor("GET", d.PathPrefix+"/a/b")
		document.Diff(active, d)
		if len(list) == 0 {
			again, list := document.Check("f", text, d)
			require.Empty(t, list, "a text may replace itself")
			require.Empty(t, document.Diff(d, again))
		}
	})
}

// large returns a document of a given size, up to the largest in use today, for the
// benchmarks and for the test of the bound on the text.
func large(targets, workspaces int) string {
	var b strings.Builder
	b.WriteString("service: s\npathPrefix: /s\nroutes: [{methods: [GET], path: /*}]\ntargets:\n")
	for i := range targets {
		fmt.Fprintf(&b, "  - {name: t%d, address: 127.0.%d.%d:8443, dataCentre: dc-%d}\n", i, i/256, i%256, i%22)
	}
	b.WriteString("workspaces:\n")
	for i := range workspaces {
		fmt.Fprintf(&b, "  - {name: w%d, keys: [\"%064x\"]}\n", i, i+1)
	}
	return b.String()
}

func TestALargeDocumentFits(t *testing.T) {
	text := large(1300, 5000)
	assert.Less(t, len(text), source.MaxBytes)
	parsed(t, text)
}

func BenchmarkParse(b *testing.B) {
	for _, size := range []struct{ targets, workspaces int }{{16, 10}, {1300, 300}, {1300, 5000}} {
		text := []byte(large(size.targets, size.workspaces))
		b.Run(fmt.Sprintf("targets=%d/workspaces=%d", size.targets, size.workspaces), func(b *testing.B) {
			b.SetBytes(int64(len(text)))
			b.ReportAllocs()
			for b.Loop() {
				document.Parse("f", text)
			}
		})
	}
}

func BenchmarkCheckAndDiff(b *testing.B) {
	text := large(1300, 300)
	active, _ := document.Parse("f", []byte(text))
	next := []byte(strings.Replace(text, "name: t7,", "name: t7, weight: 2,", 1))
	for b.Loop() {
		d, _ := document.Check("f", next, active)
		document.Diff(active, d)
	}
}

func BenchmarkRouteFor(b *testing.B) {
	d := parsed(b, string(example(b, "agenda")))
	for b.Loop() {
		d.RouteFor("POST", "/agenda/calls/4711/outcome")
	}
}
