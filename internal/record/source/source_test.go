package source_test

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/record/finding"
	"wagtailshelf.example/wagtailshelf/internal/record/source"
)

type server struct {
	Name    string         `yaml:"name"`
	Address netip.AddrPort `yaml:"address"`
	Wait    time.Duration  `yaml:"wait"`
	Share   float64        `yaml:"share"`
	Slots   int            `yaml:"slots"`
	Spare   bool           `yaml:"spare"`
	Inner   *server        `yaml:"inner"`
}

type sample struct {
	Title   string            `yaml:"title"`
	Servers []server          `yaml:"servers"`
	Labels  map[string]string `yaml:"labels"`
	Small   uint8             `yaml:"small"`
}

func TestDecodeSetsValuesAndPositions(t *testing.T) {
	text := `title: "été"
servers:
  - name: one
    address: 127.0.0.1:80
    wait: 250ms
    share: 1
    slots: 0x10
    spare: true
  - {name: two, inner: {name: three}}
labels:
  a: b
small: 255
`
	var got sample
	s, list := source.Decode("f.yaml", []byte(text), &got)
	require.Empty(t, list)
	require.Len(t, got.Servers, 2)
	assert.Equal(t, server{
		Name: "one", Address: netip.MustParseAddrPort("127.0.0.1:80"),
		Wait: 250 * time.Millisecond, Share: 1, Slots: 16, Spare: true,
	}, got.Servers[0])
	assert.Equal(t, "three", got.Servers[1].Inner.Name)
	assert.Equal(t, map[string]string{"a": "b"}, got.Labels)
	assert.Equal(t, "f.yaml:4:14", s.At("servers[0].address").String())
	assert.Equal(t, "f.yaml:4:5", s.KeyAt("servers[0].address").String())
	assert.Equal(t, "f.yaml:9:5", s.At("servers[1].wait").String(), "an absent value has the position of the value that encloses it")
	assert.True(t, s.Has("small"))
	assert.False(t, s.Has("servers[1].wait"))
}

func TestDecodeReportsAllFindingsWithPositions(t *testing.T) {
	text := `tilte: x
servers:
  - name: 12
    address: nowhere
    wait: 5
    share: a
    slots: 1.5
    spare: yes
  - just text
  - name: a
    name: b
    Wait: 5s
labels: [a]
small: 256
title:
`
	var got sample
	_, list := source.Decode("f", []byte(text), &got)
	assert.Equal(t, `f:1:1: unknown key "tilte", did you mean title? (unknown)
f:3:11: name must be text; put it in quotes (invalid)
f:4:14: address: not an ip:port (invalid)
f:5:11: wait must be a duration with its unit, for example 250ms or 4s (invalid)
f:6:12: share must be a number (invalid)
f:7:12: slots must be a whole number (invalid)
f:8:12: spare must be true or false (invalid)
f:9:5: servers[1] must be a mapping of keys to values (invalid)
f:11:5: key "name" is given twice (duplicate)
f:12:5: unknown key "Wait", did you mean wait? (unknown)
f:13:9: labels must be a mapping of keys to values (invalid)
f:14:8: small is out of range (invalid)
f:15:8: title has no value; give one or leave it out (missing)`, list.Error())
}

func TestDecodeRefusesUnsafeAndMalformedTexts(t *testing.T) {
	cases := map[string]struct {
		text string
		want string
	}{
		"empty":          {"", "empty"},
		"only comments":  {"# nothing\n", "empty"},
		"anchor":         {"title: &a x\n", "anchors"},
		"alias":          {"title: *a\n", "aliases"},
		"merge":          {"<<: {title: a}\n", "merge keys"},
		"tag":            {"title: !!str x\n", "tags"},
		"explicit key":   {"? title\n: x\n", "explicit keys"},
		"two documents":  {"title: a\n---\ntitle: b\n", "second document"},
		"too long":       {strings.Repeat("#", source.MaxBytes+1), "at most"},
		"not UTF-8":      {"title: \xff\n", "UTF-8"},
		"open bracket":   {"title: [a\n", "1:"},
		"deep brackets":  {"title: " + strings.Repeat("[", 500_000), "too deeply"},
		"deep braces":    {"title: " + strings.Repeat("{a: ", 100_000), "too deeply"},
		"deep entries":   {strings.Repeat("- ", 100_000), "too deeply"},
		"deep one line":  {strings.Repeat("a: ", 100_000), "too deeply"},
		"blank lines":    {"title: |\n x" + strings.Repeat("\n", 500_000), "blank lines"},
		"many keys":      {strings.Repeat("a:\n", 200_000), "too many keys"},
		"many flow keys": {"{" + strings.Repeat("a: 1,", 100_000) + "}", "too many keys"},
		"deep by indent": {stairs(200), "too deeply"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var got sample
			_, list := source.Decode("f", []byte(c.text), &got)
			require.NotEmpty(t, list)
			assert.Contains(t, list.Error(), c.want)
		})
	}
}

// stairs returns n nested mappings, each on a line of its own, indented by one more space.
func stairs(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(strings.Repeat(" ", i) + "a:\n")
	}
	return b.String()
}

func TestDecodeBoundsItsFindings(t *testing.T) {
	var got sample
	text := "servers:\n" + strings.Repeat("  - 1\n", 2000)
	_, list := source.Decode("f", []byte(text), &got)
	assert.Len(t, list, source.MaxFindings+1)
	assert.Contains(t, list[source.MaxFindings].Message, "left out")
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte("title: a\nservers:\n  - {name: x, wait: 1s}\n"))
	f.Add([]byte("a: [[{b: *c}]]\n- - ? x\n"))
	f.Add([]byte("title: |\n  two\n  lines\nlabels: {a: 'b', \"c\": d}\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		var got sample
		s, list := source.Decode("f", text, &got)
		require.LessOrEqual(t, len(list), source.MaxFindings+1)
		for _, each := range list {
			require.NotEqual(t, finding.Position{}, each.Position)
			require.NotEmpty(t, each.Message)
		}
		require.Positive(t, s.At("servers[0].name").Line)
	})
}
