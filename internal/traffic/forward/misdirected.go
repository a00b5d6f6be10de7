package forward

import (
	"net/http"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/platform"
)

// refusedCondition reports whether a response may refuse the caller's own condition on the request.
// It proves that the request did not run, and nothing about the target or its group.
func (c *call) refusedCondition(status int) bool {
	return status == http.StatusMisdirectedRequest && c.in.ExpectsVersion
}

// noteMisdirected reports that another server than the target responds at its address, if the
// response proves that. The response is then another server's: its headers do not describe the
// target.
func (c *call) noteMisdirected(target roster.Target, status int, meta platform.ResponseInfo) {
	if !c.refusedCondition(status) {
		c.f.OnMisdirected(target, meta.WaitsFor)
	}
}
