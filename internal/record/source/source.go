// Package source decodes YAML texts that people write: settings and documents.
//
// Decoding is strict and records the positions of values. A key that the Go type
// does not have, a key that is given twice, a value of the wrong form: each becomes
// a finding with line and column, and all of them are reported together. Anchors,
// aliases, tags and explicit keys are refused: they let a short text expand without
// bound, and an auditor can't see the value at the place where it is used.
package source

import (
	"fmt"
	"reflect"
	"strings"
	"unicode/utf8"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"

	"wagtailshelf.example/wagtailshelf/internal/record/finding"
)

// Bounds of a text.
const (
	MaxBytes    = 768 << 10 // longest text; leaves room for other fields in an object of the platform
	MaxDepth    = 16        // deepest nesting of lists and mappings in flow style
	MaxColumn   = 96        // rightmost column at which a key or a list entry may begin
	MaxFindings = 100       // findings after which decoding reports no more
)

// Source is a decoded text with the positions of its values.
type Source struct {
	file         string
	text         []byte
	positions    map[string]finding.Position
	keyPositions map[string]finding.Position // of the keys that name the values
}

// Decode reads the YAML text into the struct that into points to. Fields are
// matched by their yaml tag. Values may be strings, booleans, numbers,
// time.Duration, types with UnmarshalText, and structs, slices, pointers and
// maps with string keys of those.
//
// Values without findings are set even if others have some, so that further
// checks can add their findings. The Source is never nil.
func Decode(file string, text []byte, into any) (*Source, finding.List) {
	s := &Source{
		file:         file,
		text:         text,
		positions:    make(map[string]finding.Position),
		keyPositions: make(map[string]finding.Position),
	}
	root, list := s.parse()
	if root == nil || len(list) > 0 {
		return s, list
	}
	d := decoder{source: s}
	d.value(root, reflect.ValueOf(into).Elem(), "")
	d.findings.Sort()
	return s, d.findings
}

// At returns the position of the value at a path, for example
// "targets[2].address". For an absent value it is the position of the innermost
// enclosing value that is present.
func (s *Source) At(path string) finding.Position {
	for {
		if p, ok := s.positions[path]; ok {
			return p
		}
		if path == "" {
			return finding.Position{File: s.file, Line: 1, Column: 1}
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
}

// KeyAt returns the position of the key that names the value at a path, or the
// position of the value if it has no key.
func (s *Source) KeyAt(path string) finding.Position {
	if p, ok := s.keyPositions[path]; ok {
		return p
	}
	return s.At(path)
}

// Has reports whether the text gives a value at the path.
func (s *Source) Has(path string) bool {
	_, ok := s.positions[path]
	return ok
}

// Finding returns a finding about the value at a path.
func (s *Source) Finding(path string, c finding.Category, format string, args ...any) finding.Finding {
	return finding.Finding{
		Position: s.At(path),
		Category: c,
		Path:     path,
		Message:  fmt.Sprintf(format, args...),
	}
}

// parse returns the syntax tree of the text, or the findings if it can't be parsed.
func (s *Source) parse() (ast.Node, finding.List) {
	if len(s.text) > MaxBytes {
		return nil, s.textFinding(finding.Invalid, "the text has %d bytes; at most %d are allowed", len(s.text), MaxBytes)
	}
	if !utf8.Valid(s.text) {
		return nil, s.textFinding(finding.Syntax, "the text is not valid UTF-8")
	}
	if line := s.excessBlankLine(); line > 0 {
		return nil, finding.List{{
			Position: finding.Position{File: s.file, Line: line, Column: 1},
			Category: finding.Syntax,
			Message:  "too many blank lines follow each other here",
		}}
	}
	tokens := lexer.Tokenize(string(s.text))
	if list := s.checkTokens(tokens); len(list) > 0 {
		return nil, list
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, finding.List{s.syntaxFinding(err)}
	}
	body := documentBodies(file)
	switch len(body) {
	case 0:
		return nil, s.textFinding(finding.Missing, "the text is empty")
	case 1:
		return body[0], nil
	}
	return nil, finding.List{{
		Position: s.position(body[1].GetToken()),
		Category: finding.Syntax,
		Message:  "a second document begins here; a text holds one",
	}}
}

// documentBodies returns the non-empty YAML documents of a file.
func documentBodies(file *ast.File) []ast.Node {
	var nodes []ast.Node
	for _, doc := range file.Docs {
		if doc.Body != nil {
			nodes = append(nodes, doc.Body)
		}
	}
	return nodes
}

// textFinding returns a finding about the text as a whole.
func (s *Source) textFinding(c finding.Category, format string, args ...any) finding.List {
	return finding.List{s.Finding("", c, format, args...)}
}
