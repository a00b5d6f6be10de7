package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/ansel1/merry/v2"

	"wagtailshelf.example/wagtailshelf/internal/program/crashes"
	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
	"wagtailshelf.example/wagtailshelf/internal/record/position"
	"wagtailshelf.example/wagtailshelf/internal/record/watch"
	"wagtailshelf.example/wagtailshelf/internal/traffic/quarantine"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
	"wagtailshelf.example/wagtailshelf/internal/wire/caller"
)

const (
	crashPrefix object.Key   = "crashes/"
	causeCrash  object.Cause = "crashes"
)

// crashCheck checks one request against the quarantine of requests that crash targets.
type crashCheck struct {
	quarantine *quarantine.Quarantine
	request    quarantine.Request
	affinity   document.Affinity
	cached     []quarantine.Fingerprint // of the request and its leading parts; nil until it is first needed
	crashed    bool                     // a target crashed during the request
}

func (e *Entry) newCrashCheck(c *caller.Call) crashCheck {
	return crashCheck{
		quarantine: e.crashes.Quarantine, affinity: c.Service.Document.Affinity,
		request: quarantine.Request{
			Workspace: c.Workspace, Host: c.Service.Document.Service, Method: c.Method, URI: c.Path, Body: c.Body,
		},
	}
}

// suspects returns the fingerprints of all that may crash a target: the request's own, then those of its
// leading parts, by which requests are also sent to the same targets.
func (s *crashCheck) suspects() []quarantine.Fingerprint {
	if s.cached == nil {
		parts := quarantine.LeadingParts(s.request.Host, s.request.Body, int(s.affinity.BlockBytes), s.affinity.Blocks)
		s.cached = append([]quarantine.Fingerprint{s.request.Fingerprint()}, parts...)
	}
	return s.cached
}

// begin returns whether the request may be sent to a target. No fingerprint is computed while the
// quarantine is empty.
func (s *crashCheck) begin(now time.Time) quarantine.Verdict {
	if s.quarantine.Empty() {
		return quarantine.Verdict{}
	}
	return s.quarantine.Begin(now, s.suspects()...)
}

// quarantined reports whether the request must not be sent to another target: it is quarantined, or a
// target crashed that may have done so because of one of its leading parts.
func (s *crashCheck) quarantined(now time.Time) bool {
	if s.quarantine.Empty() {
		return false
	}
	suspects := s.suspects()
	return s.crashed && s.quarantine.Suspected(suspects[1:]...) || s.quarantine.Check(now, suspects...).Quarantined
}

// end reports the end of the request that began with verdict v.
func (s *crashCheck) end(now time.Time, v quarantine.Verdict, r quarantine.Result) {
	if !s.quarantine.Empty() {
		s.quarantine.End(now, v, r, s.suspects()...)
	}
	if r == quarantine.Served && s.affinity.BlockBytes > 0 {
		s.quarantine.Answered(now, s.suspects()[1:]...)
	}
}

// crash notes that a target crashed while it ran the request, and returns what was running there.
func (s *crashCheck) crash(now, sent time.Time) []quarantine.Run {
	s.crashed = true
	var runs []quarantine.Run
	for i, f := range s.suspects() {
		runs = append(runs, quarantine.Run{Request: f, Part: i > 0, Sent: sent, Failed: now})
	}
	return runs
}

// quarantineResult returns what a request's outcome says about its attempts.
func quarantineResult(o request.Outcome) quarantine.Result {
	switch o {
	case request.Answered:
		return quarantine.Served
	case request.NotRun:
		return quarantine.NotSent
	}
	return quarantine.Failed
}

// noteCrash records a crash that a sidecar reported: its target ended while it ran the
// request.
func (x *exchange) noteCrash(now time.Time, ev request.Event) {
	m := &ev.Message
	i := int(m.Attempt) - 1
	if ev.Kind != request.Received || m.Kind != request.End || m.Reason != request.EngineCrashed || i < 0 || i >= len(x.choices) {
		return
	}
	incarnation := quarantine.Incarnation{Target: string(x.choices[i].host)}
	x.entry.crashes.NoteCrash(now, incarnation, x.crashCheck.crash(now, x.choices[i].pickedAt))
	x.entry.log.Warn().Str("event", "targetCrashed").Str("id", x.call.ID.String()).Str("target", incarnation.Target).
		Stringer("fingerprint", x.crashCheck.suspects()[0]).Msg("")
}

// logQuarantined logs a quarantined request that was refused before it began.
func (e *Entry) logQuarantined(c *caller.Call, v quarantine.Verdict) {
	e.log.Info().Str("event", "requestRefused").Str("id", c.ID.String()).Str("service", c.Service.Document.Service).
		Str("reason", string(request.Quarantined)).Int("crashes", v.Crashes).Dur("after", v.After).Msg("")
}

// initCrashes sets up the quarantine and the keeper that stores this entry's crash
// record in the platform.
func (e *Entry) initCrashes() {
	name := string(e.cfg.Identity.Name)
	q := quarantine.New(name)
	q.Turn = func(f quarantine.Fingerprint) int { return quarantine.TurnByName(name, f) }
	q.OnChange = func(b quarantine.State) {
		e.log.Warn().Str("event", "requestHeld").Stringer("fingerprint", b.Request).Bool("part", b.Part).Int("crashes", b.Crashes).
			Dur("for", b.Quarantined).Bool("inconclusive", b.Inconclusive).Str("source", b.Source).Str("release", string(b.Release)).Msg("")
	}
	q.OnProbe = func(p quarantine.Probe) { crashes.LogProbe(e.log, p) }
	k := crashes.NewKeeper(q, e.log)
	k.Put = e.putCrashes
	k.Get = func(ctx context.Context) (crashes.Stored, error) {
		reply := e.cfg.Platform.Do(ctx, object.Call{Op: object.Get, Key: crashPrefix + object.Key(name), Cause: causeCrash})
		switch reply.Status {
		case object.Done:
			return decodeCrashes(reply.Object)
		case object.NotFound:
			return crashes.Stored{}, nil
		}
		return crashes.Stored{}, merry.Errorf("status %d: %w", reply.Status, reply.Err)
	}
	k.Remove = func(ctx context.Context, r crashes.Stored) error {
		call := object.Call{Op: object.Delete, Key: crashPrefix + object.Key(r.Entry), Version: object.Version(r.Position.Revision), Cause: causeCrash}
		if reply := e.cfg.Platform.Do(ctx, call); reply.Status != object.Done {
			return merry.Errorf("status %d: %w", reply.Status, reply.Err)
		}
		return nil
	}
	e.crashes = k
}

func (e *Entry) putCrashes(ctx context.Context, r crashes.Stored) (position.Position, crashes.Status, error) {
	value, err := json.Marshal(r.Record)
	if err != nil {
		return position.Position{}, crashes.Failed, merry.Wrap(err)
	}
	reply := e.cfg.Platform.Do(ctx, object.Call{
		Op: object.Put, Key: crashPrefix + object.Key(r.Entry), Version: object.Version(r.Position.Revision), Value: value, Cause: causeCrash,
	})
	switch reply.Status {
	case object.Done:
		return position.Position{Revision: int64(reply.Object.Version)}, crashes.Written, nil
	case object.Conflict:
		return position.Position{}, crashes.Conflict, reply.Err
	case object.NotFound:
		return position.Position{}, crashes.Gone, reply.Err
	}
	return position.Position{}, crashes.Failed, reply.Err
}

func decodeCrashes(o object.Object) (crashes.Stored, error) {
	r, err := quarantine.ParseRecord(o.Key.Name(), o.Value)
	return crashes.Stored{Record: r, Position: position.Position{Revision: int64(o.Version)}}, err
}

// followCrashes merges the crash records of other entries, and of earlier
// incarnations of this one.
func (e *Entry) followCrashes(ctx context.Context) error {
	follower := watch.New(watch.Config{Prefix: crashPrefix, Cause: causeCrash, Limit: maxEntries}, e.newRand())
	changed := func(objects []object.Object) {
		for _, o := range objects {
			e.crashesChanged(ctx, o)
		}
	}
	e.cfg.Platform.Follow(ctx, follower, crashPrefix, changed, e.crashes.MarkLoaded)
	return context.Cause(ctx)
}

func (e *Entry) crashesChanged(ctx context.Context, o object.Object) {
	if o.Value == nil {
		e.crashes.ApplyRemoval(o.Key.Name())
		return
	}
	r, err := decodeCrashes(o)
	if err != nil {
		e.log.Error().Str("event", "malformed").Str("object", string(o.Key)).Err(err).Msg("")
		return
	}
	e.crashes.ApplyChange(ctx, time.Now(), r)
}
