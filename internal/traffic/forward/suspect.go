package forward

import (
	"net/http"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/traffic/quarantine"
)

// Break is a connection to a target that broke while a request was under way on it.
type Break struct {
	quarantine.Run
	Target roster.Target
}

// fingerprint names the request by what stays the same when it comes again.
func (c *call) fingerprint() quarantine.Fingerprint {
	if c.rec.Fingerprint.IsZero() {
		c.rec.Fingerprint = quarantine.Request{
			Workspace: c.rec.Workspace, Host: c.route.Host, Method: c.r.Method, URI: c.r.RequestURI, Body: c.body,
		}.Fingerprint()
	}
	return c.rec.Fingerprint
}

// suspected tells whether any request is suspected, so that this one needs a fingerprint.
func (c *call) suspected() bool { return !c.f.Quarantine.Empty() }

// lookUp asks whether the request is held back now.
func (c *call) lookUp() quarantine.Verdict {
	if !c.suspected() {
		return quarantine.Verdict{}
	}
	return c.f.Quarantine.Look(c.f.Now(), c.fingerprint())
}

// beginAttempt asks the same just before the request is sent. endAttempt must follow, unless
// it is held back.
func (c *call) beginAttempt() quarantine.Verdict {
	if !c.suspected() {
		return quarantine.Verdict{}
	}
	return c.f.Quarantine.Begin(c.f.Now(), c.fingerprint())
}

// endAttempt tells how the attempt went. Served stands for a whole answer that says success.
func (c *call) endAttempt(v quarantine.Verdict, served bool) {
	if c.suspected() {
		c.f.Quarantine.End(c.fingerprint(), v, served)
	}
}

// heldBack answers a request that crashes its targets. It is refused at once, with the
// time of the next trial: sent on, it would cost one more target, and its group's callers
// some seconds.
func (c *call) heldBack(v quarantine.Verdict) bool {
	c.rec.Crashes = v.Crashes
	if v.Held {
		c.giveUp(http.StatusServiceUnavailable, "crashesTargets", v.After)
	}
	return v.Held
}
