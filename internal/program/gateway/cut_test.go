package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/standin/rawserver"
	"wagtailshelf.example/wagtailshelf/platform/standin"
)

// Guards against a success with an empty or short body whose server stopped in the middle of its head.
func TestServerThatStopsInItsHead(t *testing.T) {
	t.Parallel()
	const fields = "Content-Length: 0\r\n"
	whole := len(standin.Wire("id-1", fields, ""))
	for _, kind := range []string{"streaming", "safe", "unsafe"} {
		for name, length := range map[string]int{"line": len("HTTP/1.1 200"), "fields": whole / 2, "end of fields": whole - 2, "last byte": whole - 1} {
			t.Run(kind+" "+name, func(t *testing.T) {
				t.Parallel()
				store := standin.NewStore(t)
				require.NoError(t, store.PutConfig(standin.Config{
					Version: 1, Host: callsHost, Plain: "app", Workspaces: map[string][]string{"acme": {"k1"}},
					Routes: []standin.Route{{Name: "r", Kind: kind, Service: "app", Resumable: true}},
				}))
				var reached atomic.Int64
				store.PutServer("i-0", "app", rawserver.Start(t, func(c *net.TCPConn, r *bufio.Reader) {
					defer c.Close()
					if q, err := http.ReadRequest(r); err == nil && standin.RequestID(q) != "" {
						reached.Add(1)
						_, _ = io.WriteString(c, standin.Wire(standin.RequestID(q), fields, "")[:length]) // the test checks what arrives
					}
				}))
				e := start(t, "entry-1", store.Address)
				status, body, _ := e.call(t, "id-1", "/r/x", "")
				require.Positive(t, reached.Load())
				require.GreaterOrEqual(t, status, http.StatusInternalServerError, "%q", body)
			})
		}
	}
}
