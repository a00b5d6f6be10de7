// Package reset lets callers tell an answer that broke off from a complete one where only the end of the
// connection delimits it: an answer of no length to a caller of HTTP/1.0.
//
// While such a caller's request is served, its connection is set so that whatever closes it resets it, even the
// end of the process.
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

// Wrap returns a handler that resets the connection of a request of HTTP/1.0, whatever closes it, until next has
// returned. If next panics, the connection is reset. Answers to requests of HTTP/1.1 and later are delimited in
// another way.
func Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(interface{ SetLinger(seconds int) error })
		if !ok || r.ProtoAtLeast(1, 1) {
			next.ServeHTTP(w, r)
			return
		}
		_ = c.SetLinger(0) // this fails only if the connection has ended
		next.ServeHTTP(w, r)
		_ = http.NewResponseController(w).Flush() // an error means that the caller has left
		_ = c.SetLinger(-1)
	})
}
