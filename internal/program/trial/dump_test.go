package trial_test

import (
	"encoding/json"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"
)

var camelCase = regexp.MustCompile(`^[a-z][A-Za-z0-9]*$`)

// requireCamelCase checks that the names of all members of a JSON value are in camel case.
func requireCamelCase(t *testing.T, path string, v any) {
	t.Helper()
	switch v := v.(type) {
	case map[string]any:
		for name, member := range v {
			require.Regexp(t, camelCase, name, "%s", path)
			requireCamelCase(t, path+"."+name, member)
		}
	case []any:
		for _, element := range v {
			requireCamelCase(t, path+"[]", element)
		}
	}
}

func requireCamelCaseState(t *testing.T, state any) {
	t.Helper()
	text, err := json.Marshal(state)
	require.NoError(t, err)
	var v any
	require.NoError(t, json.Unmarshal(text, &v))
	requireCamelCase(t, "", v)
}

// The states of entries and sidecars are written out as JSON with names in camel case.
func TestDumpsAreInCamelCase(t *testing.T) {
	d := newDeployment(t)
	t.Run("entry", func(t *testing.T) {
		state, err := d.Entries[0].State(testContext(t))
		require.NoError(t, err)
		requireCamelCaseState(t, state)
	})
	t.Run("sidecar", func(t *testing.T) {
		state, err := d.Targets[0].Sidecar.State(testContext(t))
		require.NoError(t, err)
		requireCamelCaseState(t, state)
	})
}
