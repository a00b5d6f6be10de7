package entry

import (
	"context"

	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

// claim asks for the request's Idempotency-Key. Without a duty that keeps
// claims nothing may run under a key: it could run a second time elsewhere.
func (x *exchange) claim(context.Context, request.Action) {
	x.later(request.Event{Kind: request.ClaimRefused, Reason: request.ClaimUnavailable})
}

// unclaim frees the key of a request that did not run.
func (x *exchange) unclaim() {}
