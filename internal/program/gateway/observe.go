package gateway

import (
	"fmt"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/traffic/admission"
	"wagtailshelf.example/wagtailshelf/internal/traffic/forward"
	"wagtailshelf.example/wagtailshelf/internal/traffic/quarantine"
	"wagtailshelf.example/wagtailshelf/internal/traffic/ratelimit"
)

// storeFailed returns a function that logs when the store becomes unavailable and when it is
// available again, once each.
func (g *Gateway) storeFailed(what string) func(time.Time, error) {
	var since time.Time
	return func(_ time.Time, err error) {
		if err == nil {
			g.log.Info().Str("event", "storeRegained").Str("feed", what).Dur("after", time.Since(since)).Msg("")
			since = time.Time{}
			return
		}
		if since.IsZero() {
			since = time.Now()
			g.log.Warn().Str("event", "storeLost").Str("feed", what).Err(err).Msg("")
		}
	}
}

// logGroupState logs a change of the entry's view of a group.
func (g *Gateway) logGroupState(v admission.GroupView) {
	g.log.Info().Str("event", "groupState").Str("service", v.Group.Service).Str("group", string(v.Group.Name)).
		Bool("open", v.Open).Bool("slow", v.Slow).Str("source", v.Source).Dur("age", v.Age).Msg("")
}

// logRate logs when a target starts to limit its rate, changes the rate, or lifts the limit.
func (g *Gateway) logRate(v admission.RateView) {
	event := "targetLimited"
	if !v.Active {
		event = "targetUnlimited"
	}
	g.metrics.GetOrCreateCounter(fmt.Sprintf(`wagtailshelf_rate_limits_total{event=%q}`, event)).Inc()
	g.log.Info().Str("event", event).Str("target", v.Target).Float64("rate", float64(v.Rate)).
		Str("source", v.Source).Dur("age", v.Age).Msg("")
}

// applyNotice logs when a target asks for a back-off or announces its shutdown, and marks the
// latter as leaving, however the store lists it.
func (g *Gateway) applyNotice(v admission.NoticeView) {
	event := "targetRests"
	if v.Said.Leaves {
		event = "targetLeaves"
		g.markLeaving(v.Target, time.Now())
	}
	g.metrics.GetOrCreateCounter(fmt.Sprintf(`wagtailshelf_notices_total{event=%q}`, event)).Inc()
	g.log.Info().Str("event", event).Str("target", v.Target.ID).Dur("for", v.Said.BackOff).Msg("")
}

// targetRegained logs that a target is used again, as none displaces it any more at its address.
func (g *Gateway) targetRegained(id string) {
	g.log.Info().Str("event", "targetRegained").Str("target", id).Msg("")
}

// logQuarantine logs when a request, or a part of prompts, is quarantined, and when it is released.
func (g *Gateway) logQuarantine(s quarantine.State) {
	event := "requestHeld"
	switch {
	case s.Part && s.Quarantined > 0:
		event = "partHeld"
	case s.Part:
		event = "partFreed"
	case s.Quarantined == 0:
		event = "requestFreed"
	}
	g.metrics.GetOrCreateCounter(fmt.Sprintf(`wagtailshelf_quarantine_total{event=%q}`, event)).Inc()
	evidence := make([]string, 0, len(s.Evidence))
	for _, v := range s.Evidence {
		evidence = append(evidence, fmt.Sprintf("%s seen by %s %dms ago", v.Target, v.Entry, v.Age.Milliseconds()))
	}
	g.log.Warn().Str("event", event).Stringer("fingerprint", s.Request).Int("crashes", s.Crashes).
		Dur("for", s.Quarantined).Bool("inconclusive", s.Inconclusive).Str("source", s.Source).Str("release", string(s.Release)).
		Strs("evidence", evidence).Msg("")
}

// logIntake logs when the entry stops handling callers' requests, and when it does so again.
func (g *Gateway) logIntake(works bool, took time.Duration, err error) {
	g.log.Warn().Str("event", "intake").Bool("works", works).Dur("took", took).Err(err).Msg("")
}

// requestEnded logs and counts the end of a request.
func (g *Gateway) requestEnded(r forward.Record) {
	g.metrics.GetOrCreateCounter(fmt.Sprintf(`wagtailshelf_requests_total{kind=%q,outcome=%q,reason=%q}`, r.Kind, r.Outcome, r.Reason)).Inc()
	g.metrics.GetOrCreateHistogram(fmt.Sprintf(`wagtailshelf_first_seconds{kind=%q}`, r.Kind)).Update(r.First.Seconds())
	e := g.log.Info()
	e.Str("event", "request").Str("id", r.ID).Str("route", r.Route).Stringer("kind", r.Kind).
		Str("service", r.Service).Str("workspace", r.Workspace).
		Str("outcome", string(r.Outcome)).Str("reason", r.Reason).Int("status", r.Status).
		Int64("rules", r.Config).Dur("rulesAge", r.Age).Dur("queued", r.Queued).
		Dur("first", r.First).Dur("took", r.Took).Int("events", r.Events).Str("lastEvent", loggedID(r.LastEvent))
	attempts := make([]string, 0, len(r.Attempts))
	for _, a := range r.Attempts {
		attempts = append(attempts, describeAttempt(a))
		if a.Rate.Kind != ratelimit.NoRate {
			g.metrics.GetOrCreateCounter("wagtailshelf_rate_limit_answers_total").Inc()
		}
		if a.Bound != "" {
			g.metrics.GetOrCreateCounter(fmt.Sprintf(`wagtailshelf_answers_over_bound_total{bound=%q}`, a.Bound)).Inc()
		}
		if a.Unframed {
			g.metrics.GetOrCreateCounter(fmt.Sprintf(`wagtailshelf_unframed_answers_total{witness=%q}`, a.Witness)).Inc()
		}
		if !a.Notice.Empty() {
			g.metrics.GetOrCreateCounter("wagtailshelf_notice_answers_total").Inc()
		}
	}
	if !r.Fingerprint.IsZero() {
		e.Stringer("fingerprint", r.Fingerprint).Int("crashes", r.Crashes)
	}
	if !r.Cause.IsZero() {
		e.Stringer("cause", r.Cause)
	}
	if r.Probe {
		e.Bool("probe", true)
	}
	if len(r.Parts) > 0 {
		e.Strs("parts", loggedParts(r.Parts))
	}
	e.Strs("attempts", attempts).Msg("")
}

const (
	// maxLoggedParts bounds the parts of a prompt that a log line lists.
	maxLoggedParts = 8
	// maxLoggedID bounds the length of an ID from another process in a log line.
	maxLoggedID = 32
)

// loggedParts returns the IDs of a prompt's parts as a log line lists them.
func loggedParts(ids []string) []string {
	list := make([]string, 0, maxLoggedParts)
	for _, id := range ids[:min(len(ids), maxLoggedParts)] {
		list = append(list, loggedID(id))
	}
	return list
}

// loggedID returns an ID from another process as a log line gives it.
func loggedID(id string) string { return id[:min(len(id), maxLoggedID)] }

// describeAttempt returns the log text of an attempt: the target, the result and its duration, when the
// request was written to the target, what was known of the target when it was chosen, the status of its
// response, what a witness told at the end of one without a length, the bound that its bytes exceeded, which events of a stream it sent, the rate that it gave, and its notice.
func describeAttempt(a forward.Attempt) string {
	text := fmt.Sprintf("%s %s %dms sent=%dms reused=%t load=%d loadAge=%dms",
		a.Target, a.Result, a.Took.Milliseconds(), a.Sent.Milliseconds(), a.Reused, a.Seen.Load, a.Seen.Age.Milliseconds())
	if a.Status != 0 {
		text += fmt.Sprintf(" status=%d", a.Status)
	}
	if a.Unframed {
		text += " unframed=true witness=" + a.Witness.String()
	}
	if a.Bound != "" {
		text += " bound=" + a.Bound
	}
	if p := a.Stream; p.Events > 0 || p.ResumeAfter != "" {
		text += fmt.Sprintf(" after=%q events=%d ids=%q..%q", loggedID(p.ResumeAfter), p.Events, loggedID(p.First), loggedID(p.Last))
	}
	if a.Rate.Kind != ratelimit.NoRate {
		text += " rate=" + a.Rate.String()
	}
	return text + a.Notice.String()
}
