package sidecar

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/standin/rawserver"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

// Guards against a part of an answer without a length that is given as complete, as the target crashed in it and is back
// before the sidecar asks whether it runs.
func TestUnframedAnswerOfATargetThatIsBack(t *testing.T) {
	for name, crashes := range map[string]bool{"crashes": true, "runs on": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var p *rawserver.Process
			p = rawserver.StartProcess(t, func(c *net.TCPConn, r *bufio.Reader) {
				defer c.Close()
				if _, err := http.ReadRequest(r); err != nil {
					return // a connection without a request
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nthe first part") // what arrives is checked
				time.Sleep(200 * time.Millisecond)
				if crashes {
					p.End()
					assert.NoError(t, p.Run())
				}
			})
			got := callTarget(t, p.Address, false)
			require.Equal(t, "the first part", got.text)
			want := []request.Reason{request.NoReason}
			if crashes { // the sidecar may see that nobody listens for a moment
				want = []request.Reason{request.EngineTruncated, request.EngineCrashed}
			}
			require.Contains(t, want, got.reason)
		})
	}
}
