package source

import (
	"bytes"
	"errors"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/token"

	"wagtailshelf.example/wagtailshelf/internal/record/finding"
)

// Bounds on the form of a text.
const (
	maxLineMarks  = 12  // marks ("-" and ":") that nest on one line
	maxBlankLines = 64  // blank lines that follow each other
	maxKeys       = 512 // keys of one mapping
)

// refused names the constructs of YAML that texts may not use.
var refused = map[token.Type]string{
	token.AnchorType:     "anchors are not allowed; write the value out",
	token.AliasType:      "aliases are not allowed; write the value out",
	token.MergeKeyType:   "merge keys are not allowed; write the values out",
	token.TagType:        "tags are not allowed",
	token.DirectiveType:  "directives are not allowed",
	token.MappingKeyType: "explicit keys (?) are not allowed",
}

// blank returns the line at which more blank lines follow each other than are
// allowed, or zero.
//
// The library reads the blank lines at the end of a block of text again for
// each of them: a text of 150 KB takes it more than 20 seconds.
func (s *Source) blank() int {
	run, line := 0, 0
	for each := range bytes.Lines(s.text) {
		line++
		if len(bytes.TrimSpace(each)) > 0 {
			run = 0
			continue
		}
		if run++; run > maxBlankLines {
			return line
		}
	}
	return 0
}

// screen looks for refused constructs and for nesting beyond the bounds.
//
// The parser calls itself for each level of nesting. A text of some hundred
// thousand opening brackets would overflow the stack, which ends the process
// and can't be recovered from; the tokens show the depth beforehand.
func (s *Source) screen(tokens token.Tokens) finding.List {
	var list finding.List
	n := nesting{}
	for _, t := range tokens {
		if message, ok := refused[t.Type]; ok {
			list = append(list, s.about(t, finding.Syntax, message))
		}
		if !n.add(t) {
			return append(list, s.about(t, finding.Syntax, "the text is nested too deeply or a mapping has too many keys here"))
		}
		if len(list) == MaxFindings {
			return list
		}
	}
	return list
}

// nesting follows how deep the tokens of a text nest, and how many keys each
// mapping has. The parser compares each key with all others of its mapping.
type nesting struct {
	flow  int // open brackets and braces
	line  int
	marks int                // on this line since the last comma
	open  [MaxDepth + 1]int  // keys of each that is open
	block [MaxColumn + 1]int // keys of the mapping at each column
}

// add takes the next token and reports whether it keeps to the bounds.
func (n *nesting) add(t *token.Token) bool {
	if t.Position.Line != n.line {
		n.line = t.Position.Line
		n.marks = 0
	}
	switch t.Type {
	case token.SequenceStartType, token.MappingStartType:
		n.flow++
		if n.flow > MaxDepth {
			return false
		}
		n.open[n.flow] = 0
	case token.SequenceEndType, token.MappingEndType:
		n.flow = max(n.flow-1, 0)
	case token.CollectEntryType:
		n.marks = 0
	case token.SequenceEntryType, token.MappingValueType:
		n.marks++
		return n.marks <= maxLineMarks && n.entry(t)
	}
	return true
}

// entry counts a key or the beginning of a list's entry.
func (n *nesting) entry(t *token.Token) bool {
	if n.flow > 0 {
		n.open[n.flow]++
		return n.open[n.flow] <= maxKeys
	}
	c := column(t)
	if c > MaxColumn {
		return false
	}
	clear(n.block[c+1:])
	if t.Type == token.MappingValueType {
		n.block[c]++
	}
	return n.block[c] <= maxKeys
}

// column returns where an entry or a key begins. In block style the depth
// can't exceed it.
func column(t *token.Token) int {
	if t.Type == token.MappingValueType && t.Prev != nil {
		return t.Prev.Position.Column
	}
	return t.Position.Column
}

func (s *Source) about(t *token.Token, c finding.Category, message string) finding.Finding {
	return finding.Finding{Position: s.place(t), Category: c, Message: message}
}

func (s *Source) place(t *token.Token) finding.Position {
	if t == nil || t.Position == nil {
		return finding.Position{File: s.file, Line: 1, Column: 1}
	}
	return finding.Position{File: s.file, Line: t.Position.Line, Column: t.Position.Column}
}

// syntax turns an error of the parser into a finding.
func (s *Source) syntax(err error) finding.Finding {
	var e yaml.Error
	if errors.As(err, &e) {
		return s.about(e.GetToken(), finding.Syntax, e.GetMessage())
	}
	return s.about(nil, finding.Syntax, err.Error())
}
