package source

import (
	"maps"
	"math"
	"reflect"
	"slices"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// mappingOf returns the pairs of a mapping.
func mappingOf(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := n.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	}
	return nil, false
}

// first returns the token at which a node begins for a reader.
func first(n ast.Node) *token.Token {
	values, ok := mappingOf(n)
	if m, flow := n.(*ast.MappingNode); flow && m.IsFlowStyle {
		return m.Start
	}
	if ok && len(values) > 0 {
		return values[0].Key.GetToken()
	}
	return n.GetToken()
}

// text returns the value of a node that is text in YAML's eyes.
func text(n ast.Node) (string, bool) {
	switch n := n.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		return n.Value.Value, true
	}
	return "", false
}

// literal returns a scalar as it is written, whatever its type.
func literal(n ast.Node) (string, bool) {
	if s, ok := text(n); ok {
		return s, true
	}
	switch n.(type) {
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		return n.GetToken().Value, true
	}
	return "", false
}

// numberOf returns the value of a number and whether it is a whole one.
func numberOf(n ast.Node) (x float64, whole, ok bool) {
	switch n := n.(type) {
	case *ast.IntegerNode:
		switch i := n.Value.(type) {
		case int64:
			return float64(i), true, true
		case uint64:
			return float64(i), true, true
		}
	case *ast.FloatNode:
		return n.Value, false, !math.IsInf(n.Value, 0) && !math.IsNaN(n.Value)
	}
	return 0, false, false
}

// name says what a finding is about.
func name(path string) string {
	if path == "" {
		return "the text"
	}
	return path[strings.LastIndexByte(path, '.')+1:]
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// suggestion proposes the known key that an unknown one was likely meant for:
// the same but for case or for one slip of the keyboard.
func suggestion(key string, fields map[string]reflect.Value) string {
	for _, known := range slices.Sorted(maps.Keys(fields)) {
		if strings.EqualFold(known, key) || near(known, key) {
			return ", did you mean " + known + "?"
		}
	}
	return ""
}

// near reports whether one letter put in, left out or changed, or two
// neighbours swapped, turn a into b.
func near(a, b string) bool {
	if len(a) < len(b) {
		a, b = b, a
	}
	if len(a) < 4 || len(a)-len(b) > 1 {
		return false
	}
	i := 0
	for i < len(b) && a[i] == b[i] {
		i++
	}
	if len(a) > len(b) {
		return a[i+1:] == b[i:]
	}
	return i == len(a) || a[i+1:] == b[i+1:] || swapped(a[i:], b[i:])
}

// swapped reports whether two texts of one length differ in the order of
// their first two letters only.
func swapped(a, b string) bool {
	return len(a) > 1 && a[0] == b[1] && a[1] == b[0] && a[2:] == b[2:]
}
