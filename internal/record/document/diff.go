package document

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Effect is how a value differs between two documents.
type Effect string

// The effects of a change.
const (
	Added   Effect = "added"
	Removed Effect = "removed"
	Changed Effect = "changed"
)

// Change is one value that differs between two documents. Paths identify the entries
// of lists by name, not by index: "targets[agenda-1].weight".
type Change struct {
	Path   string `json:"path"`
	Effect Effect `json:"effect"`
	From   string `json:"from,omitempty"`
	To     string `json:"to,omitempty"`
}

// String formats the change on one line.
func (c Change) String() string {
	switch c.Effect {
	case Added:
		return fmt.Sprintf("+ %s: %s", c.Path, c.To)
	case Removed:
		return fmt.Sprintf("- %s: %s", c.Path, c.From)
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.From, c.To)
}

// Diff lists the changes from one document to another, with defaults filled in. Order
// and comments are ignored. Either document may be nil.
func Diff(from, to *Document) []Change {
	var c comparison
	c.structs(reflect.ValueOf(orEmpty(from)).Elem(), reflect.ValueOf(orEmpty(to)).Elem(), "")
	return c.changes
}

func orEmpty(d *Document) *Document {
	if d == nil {
		return &Document{}
	}
	return d
}

type comparison struct {
	changes []Change
}

func (c *comparison) structs(a, b reflect.Value, path string) {
	for i := range a.NumField() {
		tag := a.Type().Field(i).Tag.Get("yaml")
		if tag != "" {
			c.values(a.Field(i), b.Field(i), joinPath(path, tag))
		}
	}
}

func (c *comparison) values(a, b reflect.Value, path string) {
	switch {
	case isSection(a.Type()):
		c.structs(a, b, path)
	case a.Kind() == reflect.Slice:
		c.lists(a, b, path)
	case !a.Equal(b):
		c.add(path, a, b)
	}
}

// add records two values that differ. An empty string counts as an absent value.
func (c *comparison) add(path string, a, b reflect.Value) {
	change := Change{Path: path, Effect: Changed, From: format(a), To: format(b)}
	switch {
	case a.IsZero() && a.Kind() == reflect.String:
		change.Effect, change.From = Added, ""
	case b.IsZero() && b.Kind() == reflect.String:
		change.Effect, change.To = Removed, ""
	}
	c.changes = append(c.changes, change)
}

// lists compares two lists by the names of their entries.
func (c *comparison) lists(a, b reflect.Value, path string) {
	before, after := entries(a), entries(b)
	for i := range a.Len() {
		key := identity(a.Index(i))
		entryPath := path + "[" + key + "]"
		other, ok := after[key]
		if !ok {
			c.changes = append(c.changes, Change{Path: entryPath, Effect: Removed, From: format(a.Index(i))})
			continue
		}
		c.values(a.Index(i), other, entryPath)
	}
	for i := range b.Len() {
		key := identity(b.Index(i))
		if _, ok := before[key]; !ok {
			c.changes = append(c.changes, Change{Path: path + "[" + key + "]", Effect: Added, To: format(b.Index(i))})
		}
	}
}

// entries returns the entries of a list by name.
func entries(list reflect.Value) map[string]reflect.Value {
	all := make(map[string]reflect.Value, list.Len())
	for i := range list.Len() {
		all[identity(list.Index(i))] = list.Index(i)
	}
	return all
}

// identity returns the name that identifies an entry of a list.
func identity(v reflect.Value) string {
	switch e := v.Interface().(type) {
	case Target:
		return e.Name
	case Workspace:
		return e.Name
	case Group:
		return e.Name
	case Route:
		return strings.Join(e.Methods, ",") + " " + e.Path
	case Share:
		return string(e.DataCentre) + e.Target
	case Confirmation:
		return strings.TrimSpace(string(e.Change) + " " + e.Name)
	}
	return format(v)
}

// isSection reports whether a type is a struct whose fields are themselves values of
// the document.
func isSection(t reflect.Type) bool {
	return t.Kind() == reflect.Struct && t.NumField() > 0 && t.Field(0).Tag.Get("yaml") != ""
}

// format returns a value as it is written in a document.
func format(v reflect.Value) string {
	switch {
	case isSection(v.Type()):
		return formatSection(v)
	case v.Kind() == reflect.Slice:
		parts := make([]string, v.Len())
		for i := range parts {
			parts[i] = format(v.Index(i))
		}
		return "[" + strings.Join(parts, ", ") + "]"
	}
	return fmt.Sprint(v.Interface())
}

func formatSection(v reflect.Value) string {
	var parts []string
	for i := range v.NumField() {
		tag := v.Type().Field(i).Tag.Get("yaml")
		if tag != "" && !v.Field(i).IsZero() {
			parts = append(parts, tag+": "+format(v.Field(i)))
		}
	}
	return "{" + strings.Join(slices.Clip(parts), ", ") + "}"
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
