package routing

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRouteFor(t *testing.T) {
	c := New(Config{Routes: []Route{
		{Name: "short", Host: "a", PathPrefix: "/x/"},
		{Name: "long", Host: "a", PathPrefix: "/x/y/"},
		{Name: "other", Host: "b", PathPrefix: "/"},
	}})
	for _, k := range []struct{ host, path, want string }{
		{"a", "/x/z", "short"},
		{"a", "/x/y/z", "long"},
		{"a:80", "/x/y/z", "long"},
		{"a", "/x", ""},
		{"b", "/x", "other"},
		{"c", "/x", ""},
	} {
		got := ""
		if r := c.RouteFor(k.host, k.path); r != nil {
			got = r.Name
		}
		require.Equal(t, k.want, got, "%s%s", k.host, k.path)
	}
}

func TestPickByWeight(t *testing.T) {
	r := Route{Shares: []Share{{"a", 90}, {"b", 10}}}
	require.Equal(t, "a", r.Pick(0))
	require.Equal(t, "a", r.Pick(0.89))
	require.Equal(t, "b", r.Pick(0.91))
	require.Equal(t, "b", r.Pick(1))
	require.Empty(t, (&Route{}).Pick(0.5))
}

func TestIdempotent(t *testing.T) {
	require.True(t, (&Route{Kind: Safe}).Idempotent())
	require.False(t, (&Route{}).Idempotent(), "the zero kind is the strictest one")
	require.False(t, (&Route{Kind: Streaming}).Idempotent())
	require.True(t, (&Route{Kind: Streaming, Resumable: true}).Idempotent())
}

// Without the last workspace, the keys that were revoked must not work again.
func TestKeysStayRequiredWithoutWorkspaces(t *testing.T) {
	open := New(Config{})
	keyed := New(Config{Workspaces: []Workspace{{Name: "acme", Keys: []string{"k1"}}}})
	require.False(t, open.Following(nil).RequiresKeys())
	require.False(t, open.Following(open).RequiresKeys())
	require.True(t, keyed.Following(open).RequiresKeys())
	later := open.Following(keyed)
	require.True(t, later.RequiresKeys())
	require.Nil(t, later.WorkspaceOf("k1"))
	require.True(t, open.Following(later).RequiresKeys())
	require.False(t, open.RequiresKeys(), "a configuration never changes")
}
