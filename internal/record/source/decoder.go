package source

import (
	"encoding"
	"fmt"
	"math"
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"

	"wagtailshelf.example/wagtailshelf/internal/record/finding"
)

var (
	textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()
	duration        = reflect.TypeFor[time.Duration]()
)

// decoder sets Go values from the YAML nodes of a text.
type decoder struct {
	source   *Source
	findings finding.List
}

// report adds a finding about the value of n. Beyond [MaxFindings] it adds one that
// says that others are left out, and then none.
func (d *decoder) report(n ast.Node, path string, c finding.Category, format string, args ...any) {
	if len(d.findings) > MaxFindings {
		return
	}
	f := finding.Finding{Position: d.source.position(n.GetToken()), Category: c, Path: path}
	f.Message = fmt.Sprintf(format, args...)
	if len(d.findings) == MaxFindings {
		f.Message = "further findings are left out"
	}
	d.findings = append(d.findings, f)
}

// value sets v from the node n.
func (d *decoder) value(n ast.Node, v reflect.Value, path string) {
	d.source.positions[path] = d.source.position(firstToken(n))
	switch {
	case n.Type() == ast.NullType:
		d.report(n, path, finding.Missing, "%s has no value; give one or leave it out", describe(path))
	case v.Kind() == reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		d.value(n, v.Elem(), path)
	case reflect.PointerTo(v.Type()).Implements(textUnmarshaler):
		d.text(n, v, path)
	case v.Type() == duration:
		d.duration(n, v, path)
	default:
		d.compositeOrScalar(n, v, path)
	}
}

// compositeOrScalar sets v by its kind.
func (d *decoder) compositeOrScalar(n ast.Node, v reflect.Value, path string) {
	switch v.Kind() {
	case reflect.Struct:
		d.structure(n, v, path)
	case reflect.Map:
		d.mapping(n, v, path)
	case reflect.Slice:
		d.slice(n, v, path)
	default:
		d.scalar(n, v, path)
	}
}

func (d *decoder) structure(n ast.Node, v reflect.Value, path string) {
	fields := fieldsOf(v)
	d.pairs(n, path, func(key *ast.MappingValueNode, k string) {
		field, ok := fields[k]
		if !ok {
			d.report(key.Key, join(path, k), finding.Unknown, "unknown key %q%s", k, suggestion(k, fields))
			return
		}
		d.value(key.Value, field, join(path, k))
	})
}

func (d *decoder) mapping(n ast.Node, v reflect.Value, path string) {
	v.Set(reflect.MakeMap(v.Type()))
	d.pairs(n, path, func(key *ast.MappingValueNode, k string) {
		elem := reflect.New(v.Type().Elem()).Elem()
		d.value(key.Value, elem, join(path, k))
		v.SetMapIndex(reflect.ValueOf(k).Convert(v.Type().Key()), elem)
	})
}

// pairs calls f for each key of a mapping, and reports keys that are repeated.
func (d *decoder) pairs(n ast.Node, path string, f func(n *ast.MappingValueNode, key string)) {
	values, ok := mappingOf(n)
	if !ok {
		d.report(n, path, finding.Invalid, "%s must be a mapping of keys to values", describe(path))
		return
	}
	seen := make(map[string]bool, len(values))
	for _, pair := range values {
		k := pair.Key.GetToken().Value
		if seen[k] {
			d.report(pair.Key, join(path, k), finding.Duplicate, "key %q is given twice", k)
			continue
		}
		seen[k] = true
		d.source.keyPositions[join(path, k)] = d.source.position(pair.Key.GetToken())
		f(pair, k)
	}
}

func (d *decoder) slice(n ast.Node, v reflect.Value, path string) {
	seq, ok := n.(*ast.SequenceNode)
	if !ok {
		d.report(n, path, finding.Invalid, "%s must be a list", describe(path))
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(seq.Values), len(seq.Values)))
	for i, elem := range seq.Values {
		d.value(elem, v.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (d *decoder) text(n ast.Node, v reflect.Value, path string) {
	s, ok := literal(n)
	if !ok {
		d.report(n, path, finding.Invalid, "%s must be a single value", describe(path))
		return
	}
	u := v.Addr().Interface().(encoding.TextUnmarshaler)
	if err := u.UnmarshalText([]byte(s)); err != nil {
		d.report(n, path, finding.Invalid, "%s: %v", describe(path), err)
	}
}

func (d *decoder) duration(n ast.Node, v reflect.Value, path string) {
	s, ok := literal(n)
	x, err := time.ParseDuration(s)
	if !ok || err != nil {
		d.report(n, path, finding.Invalid, "%s must be a duration with its unit, for example 250ms or 4s", describe(path))
		return
	}
	v.SetInt(int64(x))
}

func (d *decoder) scalar(n ast.Node, v reflect.Value, path string) {
	switch v.Kind() {
	case reflect.String:
		if s, ok := text(n); ok {
			v.SetString(s)
			return
		}
		d.report(n, path, finding.Invalid, "%s must be text; put it in quotes", describe(path))
	case reflect.Bool:
		if b, ok := n.(*ast.BoolNode); ok {
			v.SetBool(b.Value)
			return
		}
		d.report(n, path, finding.Invalid, "%s must be true or false", describe(path))
	default:
		d.number(n, v, path)
	}
}

func (d *decoder) number(n ast.Node, v reflect.Value, path string) {
	x, integer, ok := numberOf(n)
	switch {
	case !ok:
		d.report(n, path, finding.Invalid, "%s must be a number", describe(path))
	case v.CanFloat():
		v.SetFloat(x)
	case !integer:
		d.report(n, path, finding.Invalid, "%s must be a whole number", describe(path))
	case v.CanInt() && math.Abs(x) <= 1<<53 && !v.OverflowInt(int64(x)):
		v.SetInt(int64(x))
	case v.CanUint() && x >= 0 && x <= 1<<53 && !v.OverflowUint(uint64(x)):
		v.SetUint(uint64(x))
	default:
		d.report(n, path, finding.Invalid, "%s is out of range", describe(path))
	}
}

// fieldsOf returns the fields of a struct, keyed by the name in their yaml tag.
func fieldsOf(v reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value, v.NumField())
	for i := range v.NumField() {
		tag, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("yaml"), ",")
		if tag != "" && tag != "-" {
			fields[tag] = v.Field(i)
		}
	}
	return fields
}
