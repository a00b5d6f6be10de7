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

// mappingOf returns the key-value pairs of n, if it is a mapping.
func mappingOf(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := n.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	}
	return nil, false
}

// firstToken returns the token at which a node begins in the text.
func firstToken(n ast.Node) *token.Token {
	values, ok := mappingOf(n)
	if m, flow := n.(*ast.MappingNode); flow && m.IsFlowStyle {
		return m.Start
	}
	if ok && len(values) > 0 {
		return values[0].Key.GetToken()
	}
	return n.GetToken()
}

// text returns the value of n, if YAML reads it as a string.
func text(n ast.Node) (string, bool) {
	switch n := n.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		return n.Value.Value, true
	}
	return "", false
}

// literal returns the value of n as it is written, if it is a scalar of any type.
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

// numberOf returns the value of n if it is a finite number, and whether it is an integer.
func numberOf(n ast.Node) (x float64, integer, ok bool) {
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

// describe returns the name of the value at a path, for messages.
func describe(path string) string {
	if path == "" {
		return "the text"
	}
	return path[strings.LastIndexByte(path, '.')+1:]
}

// join appends a key to a path.
func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// suggestion proposes the known key that an unknown one probably stands for: one
// that differs only in case or by a single typing error.
func suggestion(key string, fields map[string]reflect.Value) string {
	for _, known := range slices.Sorted(maps.Keys(fields)) {
		if strings.EqualFold(known, key) || similar(known, key) {
			return ", did you mean " + known + "?"
		}
	}
	return ""
}

// similar reports whether inserting, removing or changing one letter, or swapping
// two neighbouring ones, turns a into b.
func similar(a, b string) bool {
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

// swapped reports whether two texts of the same length differ only in the order
// of their first two letters.
func swapped(a, b string) bool {
	return len(a) > 1 && a[0] == b[1] && a[1] == b[0] && a[2:] == b[2:]
}
