package forward

import (
	"net/http"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/traffic/quarantine"
)

// ConnectionFailure describes a connection to a target that failed during a request.
type ConnectionFailure struct {
	quarantine.Run
	Target roster.Target
	Parts  []string // IDs of the shared parts of the request's prompt
}

// fingerprint returns the request's fingerprint, which stays the same when the caller retries.
func (c *call) fingerprint() quarantine.Fingerprint {
	if c.rec.Fingerprint.IsZero() {
		c.rec.Fingerprint = quarantine.Request{
			Workspace: c.rec.Workspace, Host: c.route.Host, Method: c.r.Method, URI: c.r.RequestURI, Body: c.body,
		}.Fingerprint()
	}
	return c.rec.Fingerprint
}

// anySuspect reports whether any request is suspected of crashing targets, so that this one
// needs a fingerprint.
func (c *call) anySuspect() bool { return !c.f.Quarantine.Empty() }

// checkQuarantine returns whether the request is quarantined now.
func (c *call) checkQuarantine() quarantine.Verdict {
	if !c.anySuspect() {
		return quarantine.Verdict{}
	}
	return c.f.Quarantine.Check(c.f.Now(), c.fingerprint())
}

// beginAttempt checks the quarantine just before the request is sent. endAttempt must follow,
// unless the request is quarantined.
func (c *call) beginAttempt() quarantine.Verdict {
	if !c.anySuspect() {
		return quarantine.Verdict{}
	}
	return c.f.Quarantine.Begin(c.f.Now(), c.fingerprint())
}

// endAttempt reports the end of an attempt to the quarantine. Served means that the target's
// response was complete and successful.
func (c *call) endAttempt(v quarantine.Verdict, served bool) {
	if c.anySuspect() {
		c.f.Quarantine.End(c.fingerprint(), v, served)
	}
}

// refuseQuarantined refuses a quarantined request at once, with a Retry-After of the time until
// its next probe, and reports whether it did. Sending the request would crash one more target,
// and delay the callers of that target's group by some seconds.
func (c *call) refuseQuarantined(v quarantine.Verdict) bool {
	c.rec.Crashes = v.Crashes
	if v.Quarantined {
		c.giveUp(http.StatusServiceUnavailable, "crashesTargets", v.After)
	}
	return v.Quarantined
}
