// Package reset lets callers tell an answer that broke off from a complete one where only the end of the
// connection delimits it: an answer of no length to a caller of HTTP/1.0.
//
// While such an answer is being sent, its connection is set so that whatever closes it resets it, even the end
// of the process.
package reset

import (
	"context"
	"net"
	"net/http"
)

// connKey is the key of a caller's connection in the context of its requests.
type connKey struct{}

// ConnContext adds a caller's connection to the context of its requests. It is for the field of the
// same name of [http.Server].
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Arm makes the end of the request's connection a reset. Requests whose answers are delimited in another way,
// because they are of HTTP/1.1 or later, are left as they are.
func Arm(r *http.Request) { setLinger(r, 0) }

// Disarm undoes Arm, after all of the answer has been written.
func Disarm(r *http.Request) { setLinger(r, -1) }

func setLinger(r *http.Request, seconds int) {
	if r.ProtoAtLeast(1, 1) {
		return
	}
	if c, ok := r.Context().Value(connKey{}).(interface{ SetLinger(int) error }); ok {
		_ = c.SetLinger(seconds) // this fails only if the connection has ended
	}
}
