package source

import (
	"errors"
	"unicode/utf8"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/token"

	"wagtailshelf.example/wagtailshelf/internal/record/finding"
)

// maxLineMarks bounds the marks ("-" and ":") that nest on one line.
const maxLineMarks = 12

// refused names the constructs of YAML that texts may not use.
var refused = map[token.Type]string{
	token.AnchorType:     "anchors are not allowed; write the value out",
	token.AliasType:      "aliases are not allowed; write the value out",
	token.MergeKeyType:   "merge keys are not allowed; write the values out",
	token.TagType:        "tags are not allowed",
	token.DirectiveType:  "directives are not allowed",
	token.MappingKeyType: "explicit keys (?) are not allowed",
}

// screen looks for refused constructs and for nesting beyond the bounds.
//
// The parser calls itself for each level of nesting. A text of some hundred
// thousand opening brackets would overflow the stack, which ends the process
// and can't be recovered from; the tokens show the depth beforehand.
func (s *Source) screen(tokens token.Tokens) finding.List {
	if !utf8.Valid(s.text) {
		return s.whole(finding.Syntax, "the text is not valid UTF-8")
	}
	var list finding.List
	n := nesting{}
	for _, t := range tokens {
		if message, ok := refused[t.Type]; ok {
			list = append(list, s.about(t, finding.Syntax, message))
		}
		if !n.add(t) {
			return append(list, s.about(t, finding.Syntax, "the text is nested too deeply here"))
		}
		if len(list) == MaxFindings {
			return list
		}
	}
	return list
}

// nesting follows how deep the tokens of a text nest.
type nesting struct {
	flow  int // open brackets and braces
	line  int
	marks int // on this line since the last comma
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
	case token.SequenceEndType, token.MappingEndType:
		n.flow--
	case token.CollectEntryType:
		n.marks = 0
	case token.SequenceEntryType, token.MappingValueType:
		n.marks++
		return n.marks <= maxLineMarks && column(t) <= MaxColumn+n.flow*MaxBytes
	}
	return n.flow <= MaxDepth
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
