package document_test

import (
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/record/document"
)

var update = flag.Bool("update", false, "write the golden files and the schema page anew")

// assertGolden compares a text with a golden file. Under -update it first writes the
// text to the file.
func assertGolden(t *testing.T, path, got string) {
	t.Helper()
	if *update {
		require.NoError(t, os.WriteFile(path, []byte(got), 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, string(want), got)
}

func example(t testing.TB, service string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("../../../examples", service+".yaml"))
	require.NoError(t, err)
	return text
}

func parsed(t testing.TB, text string) *document.Document {
	t.Helper()
	d, list := document.Parse("f.yaml", []byte(text))
	require.Empty(t, list)
	return d
}

func TestSchemaPage(t *testing.T) {
	assertGolden(t, "../../../docs/DOCUMENT.md", document.Page())
}

func TestEveryValueIsDocumentedOnce(t *testing.T) {
	documented := make([]string, 0, 64)
	for _, f := range document.Fields() {
		documented = append(documented, f.Path)
		assert.NotEmpty(t, f.Doc, f.Path)
	}
	assert.ElementsMatch(t, pathsOf(reflect.TypeFor[document.Document](), ""), documented)
}

func pathsOf(typ reflect.Type, prefix string) []string {
	var paths []string
	for i := range typ.NumField() {
		tag := typ.Field(i).Tag.Get("yaml")
		if tag == "" {
			continue
		}
		paths = append(paths, prefix+tag)
		switch elem := typ.Field(i).Type; {
		case elem.Kind() == reflect.Slice && elem.Elem().Kind() == reflect.Struct:
			paths = append(paths, pathsOf(elem.Elem(), prefix+tag+"[].")...)
		case elem.Kind() == reflect.Struct && strings.Contains(elem.PkgPath(), "document"):
			paths = append(paths, pathsOf(elem, prefix+tag+".")...)
		}
	}
	return paths
}

func TestEveryRuleHasTitleAndReason(t *testing.T) {
	names := make(map[string]bool)
	for _, rule := range document.Rules() {
		assert.NotEmpty(t, rule.Title, rule.Name)
		assert.NotEmpty(t, rule.Why, rule.Name)
		assert.False(t, names[rule.Name], rule.Name)
		names[rule.Name] = true
	}
}
