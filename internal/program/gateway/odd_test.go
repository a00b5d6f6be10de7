package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/platform/standin"
)

// Guards against an entry of another writer that ends the process, or keeps it from learning of servers that come
// later.
func TestOddEntryEndsNothing(t *testing.T) {
	long := strings.Repeat("9", 100_000)
	for name, odd := range map[string]standin.Registration{
		"a start before all time": {Started: "-9223372036854775808"},
		"a start after all time":  {Started: "9223372036854775807"},
		"a number without end":    {Started: long},
		"too many slots":          {Slots: "9223372036854775807"},
		"a port out of range":     {Port: "65536"},
		"a long port":             {Port: long},
		"a large number":          {Cold: "1e400"},
		"a beat out of range":     {Heartbeats: "99999999999999999999"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := standin.NewStore(t)
			require.NoError(t, store.PutConfig(standin.Config{
				Version: 1, Host: callsHost, Plain: "app", Workspaces: map[string][]string{"acme": {"k1"}},
				Routes: []standin.Route{{Name: "safe", Kind: "safe", Service: "app"}},
			}))
			store.PutRegistration("odd", "app", odd)
			store.PutServer("first", "app", newHeartbeat(t).Address)
			e := start(t, "entry-1", store.Address)
			awaitServing(t, e, "first")
			store.PutRegistration("odd again", "app", odd)
			store.PutServer("later", "app", newHeartbeat(t).Address)
			awaitServing(t, e, "first", "later")
			status, _, _ := e.call(t, "id-1", "/safe/x", "")
			require.Equal(t, http.StatusOK, status)
			for _, line := range e.logged.of("malformed") {
				require.Less(t, len(fmt.Sprint(line)), 2000, "a line is bounded")
			}
		})
	}
}
