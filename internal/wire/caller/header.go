package caller

import (
	"net/http"
	"strconv"
	"strings"

	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

// Header fields of requests and answers.
const (
	OutcomeHeader   = "Wagtailshelf-Outcome"
	ReasonHeader    = "Wagtailshelf-Reason"
	RequestIDHeader = "Wagtailshelf-Request-Id"
	DeadlineHeader  = "Wagtailshelf-Deadline"  // how long the caller waits, such as "1500ms"
	WorkspaceHeader = "Wagtailshelf-Workspace" // sent to the target
	KeyHeader       = "Idempotency-Key"
)

// LengthField is the field in which a sidecar sends the length of an answer to the entry.
const LengthField = "Content-Length"

// ErrorEvent is the type of the last event of a truncated event stream.
const ErrorEvent = "wagtailshelf-error"

// hopHeaders are the fields that apply to one connection only (RFC 9110, section 7.6.1).
// Forwarding one would let a caller change how the next connection is used.
var hopHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// ownHeaders are the fields that the system itself sets and never forwards from a caller or a
// target. The credential in Authorization identifies the workspace to the entry and must not be
// disclosed to targets.
var ownHeaders = map[string]bool{
	"Authorization":  true,
	"Content-Length": true,
	"Host":           true,
	OutcomeHeader:    true,
	ReasonHeader:     true,
	RequestIDHeader:  true,
	DeadlineHeader:   true,
	WorkspaceHeader:  true,
}

// Fields returns the fields of a header, except those in hopHeaders and ownHeaders and those that
// the Connection field lists.
func Fields(h http.Header) []request.Field {
	named := connectionFields(h)
	fields := make([]request.Field, 0, len(h))
	for name, values := range h {
		if hopHeaders[name] || ownHeaders[name] || named[name] {
			continue
		}
		for _, v := range values {
			fields = append(fields, request.Field{Name: name, Value: v})
		}
	}
	return fields
}

// connectionFields returns the names that the Connection field lists.
func connectionFields(h http.Header) map[string]bool {
	var named map[string]bool
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			if named == nil {
				named = make(map[string]bool)
			}
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}

// Length returns the length of an answer as the sidecar stated it; -1 if it is not
// known.
func Length(header []request.Field) int64 {
	for _, f := range header {
		if f.Name != LengthField {
			continue
		}
		if n, err := strconv.ParseInt(f.Value, 10, 64); err == nil && n >= 0 {
			return n
		}
	}
	return -1
}
