package gateway

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/program/task"
	"wagtailshelf.example/wagtailshelf/internal/traffic/forward"
	"wagtailshelf.example/wagtailshelf/internal/traffic/quarantine"
	"wagtailshelf.example/wagtailshelf/internal/wire/presence"
)

const (
	// failureRing is how many connection failures may wait to be examined: all of an entry's
	// requests, when a group of 256 ranks ends. More are dropped and counted.
	failureRing = 4096
	// maxProbeDelay bounds the delay of a probe for failures that go on.
	maxProbeDelay = 30 * time.Millisecond
	// maxLoggedRequests bounds the requests that one log line lists.
	maxLoggedRequests = 16
)

// connectionFailed queues a connection failure to be examined. Requests call it, and it never
// waits.
func (g *Gateway) connectionFailed(b forward.ConnectionFailure) {
	select {
	case g.failures <- b:
	default:
		g.metrics.GetOrCreateCounter("wagtailshelf_target_breaks_dropped_total").Inc()
		close(b.Examined)
	}
}

// failedTarget is a target whose connections failed, and the requests on them.
type failedTarget struct {
	target   roster.Target
	since    time.Time
	due      time.Time // when the target is probed
	requests []failedRequest
	presence presence.Presence
	// later are the requests whose connections failed too late for the probe that is running.
	later []failedRequest
}

type failedRequest struct {
	forward.ConnectionFailure
	at time.Time
}

// startProbe moves the requests that have waited for too short a time for a probe to later.
func (b *failedTarget) startProbe(now time.Time) {
	var ready []failedRequest
	for _, r := range b.requests {
		if now.Sub(r.at) < presence.Settle {
			b.later = append(b.later, r)
			continue
		}
		ready = append(ready, r)
	}
	b.requests = ready
}

// end tells the requests whether the target still runs.
func (b *failedTarget) end() {
	for _, r := range b.requests {
		r.Examined <- b.presence
		close(r.Examined)
	}
}

// onlyEnded reports whether each of the connections ended as a response without a length does.
func (b *failedTarget) onlyEnded() bool {
	return !slices.ContainsFunc(b.requests, func(r failedRequest) bool { return !r.Ended })
}

// followFailures finds out, for each target whose connections fail, whether its process ended.
func (g *Gateway) followFailures(ctx context.Context) error {
	f := failures{pending: make(map[string]*failedTarget), due: make(chan *failedTarget), probed: make(chan *failedTarget)}
	for {
		select {
		case <-ctx.Done():
			return nil
		case b := <-g.failures:
			f.add(ctx, time.Now(), failedRequest{ConnectionFailure: b, at: time.Now()})
		case t := <-f.due:
			f.probe(ctx, time.Now(), t, g.probe)
		case t := <-f.probed:
			delete(f.pending, t.target.ID)
			g.judgeFailure(t)
			t.end()
			for _, r := range t.later {
				f.add(ctx, r.at, r)
			}
		}
	}
}

// failures are the targets whose connections failed, by ID, until they are judged.
type failures struct {
	pending     map[string]*failedTarget
	due, probed chan *failedTarget
}

// add adds a request whose connection failed. Those of a crash fail one after another, and are judged by
// one probe.
func (f *failures) add(ctx context.Context, now time.Time, r failedRequest) {
	t := f.pending[r.Target.ID]
	switch {
	case t == nil:
		t = &failedTarget{target: r.Target, since: now, due: now.Add(presence.Settle), requests: []failedRequest{r}}
		f.pending[r.Target.ID] = t
		go sendAt(ctx, t.due, t, f.due)
	case t.due.IsZero():
		t.later = append(t.later, r)
	default:
		t.requests = append(t.requests, r)
		if last := t.since.Add(maxProbeDelay); !r.Ended && t.due.Before(last) {
			t.due = minTime(now.Add(presence.Settle), last)
		}
	}
}

// probe probes a target, unless connections to it have failed since that are to be judged with the others.
func (f *failures) probe(ctx context.Context, now time.Time, t *failedTarget, probe func(context.Context, roster.Target) presence.Presence) {
	if now.Before(t.due) {
		go sendAt(ctx, t.due, t, f.due)
		return
	}
	t.due = time.Time{}
	t.startProbe(now)
	go func() {
		t.presence = probe(ctx, t.target)
		send(ctx, t, f.probed)
	}()
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// sendAt sends a target at some time, unless the context ends before.
func sendAt(ctx context.Context, at time.Time, t *failedTarget, to chan<- *failedTarget) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(at)):
		send(ctx, t, to)
	}
}

func send(ctx context.Context, t *failedTarget, to chan<- *failedTarget) {
	select {
	case <-ctx.Done():
	case to <- t:
	}
}

// setUpWitnesses has witnesses kept where idle connections are. Targets serve several connections at a time.
func (g *Gateway) setUpWitnesses(dialled *metrics.Counter) {
	g.witnesses.OnDial = dialled.Inc
	g.witnesses.Keep = func(at netip.AddrPort) bool { return g.idleConnections(at) > 0 }
	g.witnesses.Go = func(f func()) { task.Go(g.log, "witness", f) }
}

// probe finds out whether a target listens.
func (g *Gateway) probe(ctx context.Context, t roster.Target) (seen presence.Presence) {
	err := task.Guard(func() error {
		if seen = presence.Probe(ctx, t.Address); seen == presence.Listening {
			g.pool.OnDial()
		}
		return nil
	})
	if err != nil {
		task.Report(g.log, "probe", err)
	}
	return seen
}

// judgeFailure logs why the connections to a target failed, and notes a crash.
func (g *Gateway) judgeFailure(b *failedTarget) {
	g.metrics.GetOrCreateCounter(fmt.Sprintf(`wagtailshelf_target_breaks_total{presence=%q}`, b.presence)).Inc()
	fingerprints := make([]string, 0, maxLoggedRequests)
	parts := make([]string, 0, maxLoggedRequests)
	for _, r := range b.requests[:min(len(b.requests), maxLoggedRequests)] {
		fingerprints = append(fingerprints, r.Request.String())
		parts = append(parts, strings.Join(loggedParts(r.Parts), ","))
	}
	event := "targetBroke"
	if b.presence == presence.Listening && b.onlyEnded() {
		event = "responseEnded"
	}
	g.log.Info().Str("event", event).Str("target", b.target.ID).Stringer("address", b.target.Address).
		Stringer("presence", b.presence).Dur("after", time.Since(b.since)).
		Int("requests", len(b.requests)).Strs("fingerprints", fingerprints).Strs("parts", parts).Msg("")
	if b.presence == presence.Absent && !g.endedAsPlanned(b.target.ID) {
		g.noteCrash(b)
	}
}

// endedAsPlanned reports whether a target had announced its shutdown, or its entry was removed,
// before it ended: what still runs there is cut off because its drain time is over.
func (g *Gateway) endedAsPlanned(id string) bool {
	t, found := g.roster.Get(id)
	return !found || t.Leaving || t.Displaced
}

// noteCrash reports the requests that ran on a crashed target to the quarantine.
func (g *Gateway) noteCrash(b *failedTarget) {
	runs := make([]quarantine.Run, 0, len(b.requests))
	for _, r := range b.requests {
		runs = append(runs, r.Run)
		runs = append(runs, r.PartRuns...)
	}
	g.logSuspects(b)
	g.crashes.NoteCrash(time.Now(), quarantine.Incarnation{Target: b.target.ID, Started: b.target.Started}, runs)
}

// logSuspects logs which parts of the prompts that ran on a crashed target may be the cause: those that
// nobody has answered lately. They are named as callers and as the quarantine know them.
func (g *Gateway) logSuspects(b *failedTarget) {
	var suspects []string
	for _, r := range b.requests {
		for i, part := range r.PartRuns {
			if len(suspects) < maxLoggedRequests && !g.crashes.Quarantine.Harmless(part.Failed, part.Request) {
				suspects = append(suspects, loggedParts(r.Parts[i : i+1])[0]+"="+part.Request.String())
			}
		}
	}
	if len(suspects) > 0 {
		g.log.Info().Str("event", "partsSuspected").Str("target", b.target.ID).Strs("parts", suspects).Msg("")
	}
}
