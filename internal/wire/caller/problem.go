package caller

import (
	"net/http"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

// Reasons for refusing a request before the entry accepts it.
const (
	UnknownService   request.Reason = "unknownService"
	UnknownRoute     request.Reason = "unknownRoute"
	UnknownWorkspace request.Reason = "unknownWorkspace"
	BadRequest       request.Reason = "badRequest"
	NotReady         request.Reason = "notReady"
	NoSpace          request.Reason = "noSpace" // the bodies that the process holds take up all the space for them
)

// Problem is the body of every answer that does not come from a target.
type Problem struct {
	RequestID    string          `json:"requestId"`
	Outcome      request.Outcome `json:"outcome"`
	Reason       request.Reason  `json:"reason"`
	Detail       string          `json:"detail,omitempty"`
	RetryAfterMs int64           `json:"retryAfterMs,omitempty"`
}

// statusOf returns the status code of a problem.
func statusOf(outcome request.Outcome, reason request.Reason) int {
	switch reason {
	case UnknownService, UnknownRoute:
		return http.StatusNotFound
	case UnknownWorkspace:
		return http.StatusUnauthorized
	case BadRequest, request.BodyIncomplete:
		return http.StatusBadRequest
	case request.BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case request.KeyClaimed:
		return http.StatusConflict
	case request.KeyReused:
		return http.StatusUnprocessableEntity
	}
	if outcome == request.NotRun {
		return http.StatusServiceUnavailable
	}
	if reason == request.DeadlinePassed {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// seconds rounds up to whole seconds, the unit of Retry-After: a caller that retries too
// early would be refused again.
func seconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}
