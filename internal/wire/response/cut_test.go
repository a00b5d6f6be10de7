package response

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/standin/rawserver"
)

// Guards against the beginning of a head that the standard library's transport takes for a response without a body.
func TestTransportRefusesCutHeads(t *testing.T) {
	for name, reused := range map[string]bool{"new connection": false, "reused connection": true} {
		t.Run(name, func(t *testing.T) {
			client := newClient(t)
			rawserver.RequireHeadsWhole(t, reused, func(to netip.AddrPort) error {
				_, err := fetch(client, "http://"+to.String()+"/", []byte("{}"))
				return err
			})
		})
	}
}

// Guards against a call that waits for ever for the rest of a head, or takes what is there for a response when its time
// is over.
func TestHeadThatStops(t *testing.T) {
	const callTime = 20 * time.Millisecond
	for form, head := range rawserver.Heads {
		t.Run(form, func(t *testing.T) {
			for _, length := range []int{1, len("HTTP/1.1 200"), len(head) - 1} {
				at := rawserver.Start(t, func(c *net.TCPConn, r *bufio.Reader) {
					_, _ = http.ReadRequest(r) // the connection stays open
					_, _ = io.WriteString(c, head[:length])
				})
				ctx, cancel := context.WithTimeout(t.Context(), callTime)
				defer cancel()
				r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at.String()+"/", strings.NewReader("{}"))
				require.NoError(t, err)
				_, err = newClient(t).Do(r)
				require.ErrorIs(t, err, context.DeadlineExceeded)
			}
		})
	}
}

// Guards against checks that refuse the same heads when they are complete.
func TestCompleteHeads(t *testing.T) {
	for form, head := range rawserver.Heads {
		t.Run(form, func(t *testing.T) {
			at := rawserver.StartOnce(t, func(c *net.TCPConn) { _, _ = io.WriteString(c, head) })
			w, err := newClient(t).Post("http://"+at.String()+"/", "", nil)
			require.NoError(t, err)
			require.NoError(t, w.Body.Close())
		})
	}
}
