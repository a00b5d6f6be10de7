package forward

import (
	"net/http"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/traffic/admission"
	"wagtailshelf.example/wagtailshelf/internal/traffic/quarantine"
	"wagtailshelf.example/wagtailshelf/internal/wire/presence"
	"wagtailshelf.example/wagtailshelf/internal/wire/witness"
)

// ConnectionFailure describes a connection to a target that failed during a request.
type ConnectionFailure struct {
	quarantine.Run
	Target   roster.Target
	Parts    []string         // IDs of the shared parts of the request's prompt
	PartRuns []quarantine.Run // the parts, as the quarantine knows them
	// Ended is set if the connection ended as a response without a length does.
	Ended bool
	// Examined receives whether the target still runs, and is closed, once the quarantine knows of a crash. It
	// has room for one value. If it is closed without one, nothing is known.
	Examined chan<- presence.Presence
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

// parts returns the fingerprints of the shared parts of the request's prompt.
func (c *call) parts() []quarantine.Fingerprint {
	if c.partPrints == nil && len(c.in.SharedParts) > 0 {
		for _, id := range c.in.SharedParts {
			c.partPrints = append(c.partPrints, quarantine.PartFingerprint(c.service, id))
		}
	}
	return c.partPrints
}

// suspects returns the fingerprints of all that may crash a target that runs the request.
func (c *call) suspects() []quarantine.Fingerprint {
	return append([]quarantine.Fingerprint{c.fingerprint()}, c.parts()...)
}

// anySuspect reports whether anything is suspected of crashing targets, so that this request needs
// fingerprints.
func (c *call) anySuspect() bool { return !c.f.Quarantine.Empty() }

// checkQuarantine returns whether the request is quarantined now.
func (c *call) checkQuarantine() quarantine.Verdict {
	if !c.anySuspect() {
		return quarantine.Verdict{}
	}
	return c.f.Quarantine.Check(c.f.Now(), c.suspects()...)
}

// beginAttempt checks the quarantine just before the request is sent. endAttempt must follow,
// unless the request is quarantined.
func (c *call) beginAttempt() quarantine.Verdict {
	if !c.anySuspect() {
		return quarantine.Verdict{}
	}
	return c.f.Quarantine.Begin(c.f.Now(), c.suspects()...)
}

// endAttempt reports the end of an attempt that was sent at some time to the quarantine.
func (c *call) endAttempt(v quarantine.Verdict, target roster.Target, sent time.Time, reason string) {
	now := c.f.Now()
	result := c.quarantineResult(reason)
	if c.anySuspect() {
		c.f.Quarantine.End(now, v, result, c.suspects()...)
	}
	switch {
	case result == quarantine.Served && len(c.in.SharedParts) > 0:
		c.f.Quarantine.Answered(now, c.parts()...)
	case result == quarantine.Ended:
		c.f.Quarantine.EndedWithConnection(quarantine.Provisional{
			Incarnation: quarantine.Incarnation{Target: target.ID, Started: target.Started},
			Run:         quarantine.Run{Request: c.fingerprint(), Sent: sent, Failed: now},
			Parts:       c.parts(),
		})
	}
}

// quarantineResult returns what the result of an attempt tells the quarantine.
func (c *call) quarantineResult(reason string) quarantine.Result {
	switch {
	case reason == reasonNotSent:
		return quarantine.NotSent
	case reason != reasonAnswered || c.rec.Status >= http.StatusMultipleChoices:
		return quarantine.Failed
	case c.unframed:
		return quarantine.Ended
	}
	return quarantine.Served
}

// examine asks whether the target whose connection has ended during the request still runs. If ended is set,
// the connection ended as a response without a length does.
func (c *call) examine(target roster.Target, sent, at time.Time, ended bool) {
	if c.examined != nil {
		return
	}
	examined := make(chan presence.Presence, 1)
	f := ConnectionFailure{
		Run: quarantine.Run{Request: c.fingerprint(), Sent: sent, Failed: at}, Target: target,
		Parts: c.in.SharedParts, Ended: ended, Examined: examined,
	}
	for _, part := range c.parts() {
		f.PartRuns = append(f.PartRuns, quarantine.Run{Request: part, Part: true, Sent: sent, Failed: at})
	}
	c.f.OnConnectionFailure(f)
	c.examined = examined
}

// endProven reports whether the end of a response proves that it is complete. The end of a response without a
// length does so only if its target still runs: it may have crashed in the middle of it. Without a witness, a process
// that listens there is taken for the target, since few are back so soon.
func (c *call) endProven(t *admission.Ticket, a *Attempt) bool {
	if !a.Unframed {
		return true
	}
	if a.Witness = c.watch.End(c.ctx); a.Witness != witness.None {
		return a.Witness == witness.Runs
	}
	c.examine(t.Target(), c.sentAt, c.f.Now(), true)
	select {
	case p := <-c.examined:
		return p == presence.Listening
	case <-c.ctx.Done():
		return false
	}
}

// partSuspected reports whether a part of the request's prompt is suspected of having crashed a
// target, after the examination of the target whose connection failed. If the request were sent on
// before that, one that crashes each target would crash two at each attempt of its caller. A
// request whose parts are all known to be harmless does not wait.
func (c *call) partSuspected() bool {
	if c.examined == nil || c.f.Quarantine.Harmless(c.f.Now(), c.parts()...) {
		return false
	}
	select {
	case <-c.examined:
	case <-c.ctx.Done():
	}
	return c.f.Quarantine.Suspected(c.parts()...)
}

// refuseQuarantined refuses a quarantined request at once, with a Retry-After of the time until
// its next probe, and reports whether it did. Sending the request would crash one more target,
// and delay the callers of that target's group by some seconds.
func (c *call) refuseQuarantined(v quarantine.Verdict) bool {
	c.rec.Crashes = v.Crashes
	if v.Quarantined {
		c.rec.Cause = v.Cause
	}
	if v.Quarantined {
		c.giveUp(http.StatusServiceUnavailable, "crashesTargets", v.After)
	}
	return v.Quarantined
}
