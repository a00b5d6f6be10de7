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
	maxLineMarks  = 12  // marks ("-" and ":") on one line, each of which begins a level of nesting
	maxBlankLines = 64  // consecutive blank lines
	maxKeys       = 512 // keys of one mapping
)

// forbidden holds the messages for the YAML constructs that texts may not use.
var forbidden = map[token.Type]string{
	token.AnchorType:     "anchors are not allowed; write the value out",
	token.AliasType:      "aliases are not allowed; write the value out",
	token.MergeKeyType:   "merge keys are not allowed; write the values out",
	token.TagType:        "tags are not allowed",
	token.DirectiveType:  "directives are not allowed",
	token.MappingKeyType: "explicit keys (?) are not allowed",
}

// excessBlankLine returns the line at which there are more consecutive blank lines
// than allowed, or zero if there is none.
//
// For each blank line at the end of a block of text, the YAML library reads all of
// them again: a text of 150 KB takes it more than 20 seconds.
func (s *Source) excessBlankLine() int {
	consecutive, line := 0, 0
	for each := range bytes.Lines(s.text) {
		line++
		if len(bytes.TrimSpace(each)) > 0 {
			consecutive = 0
			continue
		}
		if consecutive++; consecutive > maxBlankLines {
			return line
		}
	}
	return 0
}

// checkTokens reports forbidden constructs and nesting beyond the bounds.
//
// The parser calls itself for each level of nesting. A text of a few hundred
// thousand opening brackets would overflow the stack, which ends the process
// and can't be recovered from. The tokens show the depth before the text is parsed.
func (s *Source) checkTokens(tokens token.Tokens) finding.List {
	var list finding.List
	n := nesting{}
	for _, t := range tokens {
		if message, ok := forbidden[t.Type]; ok {
			list = append(list, s.findingAt(t, finding.Syntax, message))
		}
		if !n.add(t) {
			return append(list, s.findingAt(t, finding.Syntax, "the text is nested too deeply or a mapping has too many keys here"))
		}
		if len(list) == MaxFindings {
			return list
		}
	}
	return list
}

// nesting tracks how deep the tokens of a text nest, and how many keys each mapping
// has. The keys are bounded since the parser compares each one with all others of
// its mapping.
type nesting struct {
	flowDepth int // open brackets and braces
	line      int
	lineMarks int                // "-" and ":" on this line since the last comma
	flowKeys  [MaxDepth + 1]int  // keys in each open bracket or brace, by depth
	blockKeys [MaxColumn + 1]int // keys of the block-style mapping at each column
}

// add processes the next token and reports whether the text is still within the bounds.
func (n *nesting) add(t *token.Token) bool {
	if t.Position.Line != n.line {
		n.line = t.Position.Line
		n.lineMarks = 0
	}
	switch t.Type {
	case token.SequenceStartType, token.MappingStartType:
		n.flowDepth++
		if n.flowDepth > MaxDepth {
			return false
		}
		n.flowKeys[n.flowDepth] = 0
	case token.SequenceEndType, token.MappingEndType:
		n.flowDepth = max(n.flowDepth-1, 0)
	case token.CollectEntryType:
		n.lineMarks = 0
	case token.SequenceEntryType, token.MappingValueType:
		n.lineMarks++
		return n.lineMarks <= maxLineMarks && n.countEntry(t)
	}
	return true
}

// countEntry counts a key or the beginning of a list entry, and reports whether the
// text is still within the bounds.
func (n *nesting) countEntry(t *token.Token) bool {
	if n.flowDepth > 0 {
		n.flowKeys[n.flowDepth]++
		return n.flowKeys[n.flowDepth] <= maxKeys
	}
	c := column(t)
	if c > MaxColumn {
		return false
	}
	clear(n.blockKeys[c+1:])
	if t.Type == token.MappingValueType {
		n.blockKeys[c]++
	}
	return n.blockKeys[c] <= maxKeys
}

// column returns the column at which an entry or a key begins. In block style the
// depth of nesting can't exceed it.
func column(t *token.Token) int {
	if t.Type == token.MappingValueType && t.Prev != nil {
		return t.Prev.Position.Column
	}
	return t.Position.Column
}

// findingAt returns a finding at the position of a token.
func (s *Source) findingAt(t *token.Token, c finding.Category, message string) finding.Finding {
	return finding.Finding{Position: s.position(t), Category: c, Message: message}
}

// position returns the position of a token, or the beginning of the text.
func (s *Source) position(t *token.Token) finding.Position {
	if t == nil || t.Position == nil {
		return finding.Position{File: s.file, Line: 1, Column: 1}
	}
	return finding.Position{File: s.file, Line: t.Position.Line, Column: t.Position.Column}
}

// syntaxFinding converts an error of the parser to a finding.
func (s *Source) syntaxFinding(err error) finding.Finding {
	var e yaml.Error
	if errors.As(err, &e) {
		return s.findingAt(e.GetToken(), finding.Syntax, e.GetMessage())
	}
	return s.findingAt(nil, finding.Syntax, err.Error())
}
