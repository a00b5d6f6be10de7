package forward

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/traffic/admission"
	"wagtailshelf.example/wagtailshelf/platform/standin"
)

// pinnedServer is a server that refuses requests for other weights, and names itself then if that is set.
func pinnedServer(t *testing.T, id, named string) *standin.Server {
	return standin.NewServer(t, func(w standin.Reply, r standin.Request) {
		switch {
		case r.Instance != id:
			w.Misdirected()
		case r.Version != "" && r.Version != "2":
			if named != "" {
				w.Header("At-Server", named)
			}
			w.Misdirected()
		default:
			w.Complete(http.StatusOK, "hello")
		}
	})
}

// callFor sends a request that asks for a version of the weights.
func (b *testbed) callFor(version, path string) answer {
	r := standin.NewCall(http.MethodPost, b.url+path, "id-1", "", b.patienceMS, http.NoBody).WithContext(context.WithoutCancel(b.t.Context()))
	r.Host = host
	r.Header.Set("Wagtailshelf-Expect-Version", version)
	w, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer w.Body.Close()
	return answer{status: w.StatusCode, header: w.Header}
}

// Guards against servers that get no requests any more, because a caller asked them for weights that
// they don't have.
func TestRefusalOfTheCallersConditionProvesNothing(t *testing.T) {
	for name, named := range map[string]string{"names nobody": "", "names another server": "i-9", "names itself": "i-0"} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, pinnedServer(t, "i-0", named), pinnedServer(t, "i-1", named))
			now := time.Now()
			b.Now = func() time.Time { return now } // nothing that ends with time ends
			for range 4 {
				requireRefused(t, b.callFor("1", "/unsafe/x"), http.StatusServiceUnavailable)
			}
			require.Len(t, b.targets.Serving("svc"), 2)
			for range 2 {
				k := &admission.Ticket{Service: "svc"}
				require.Equal(t, admission.Admitted, b.Admission.Arrive(now, k), "each server takes a request at once")
				k.Tried = append(k.Tried, k.Target().ID)
			}
			requireServed(t, b.call(http.MethodPost, "/unsafe/x"), "hello")
			require.Equal(t, http.StatusOK, b.callFor("2", "/unsafe/x").status)
		})
	}
}

// Guards against asking a server again and again that has been replaced, after a caller's condition
// was refused there.
func TestReplacedServerIsFoundByTheNextRequest(t *testing.T) {
	replaced := pinnedServer(t, "i-7", "")
	b := newTestbed(t, replaced, pinnedServer(t, "i-1", ""))
	for range 2 {
		b.callFor("1", "/unsafe/x")
	}
	require.Len(t, b.targets.Serving("svc"), 2)
	for range 20 {
		requireServed(t, b.call(http.MethodPost, "/unsafe/x"), "hello")
	}
	require.Len(t, b.targets.Serving("svc"), 1)
}
