package gateway

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/traffic/forward"
	"wagtailshelf.example/wagtailshelf/internal/traffic/quarantine"
	"wagtailshelf.example/wagtailshelf/internal/wire/presence"
)

const (
	// failureRing is how many connection failures may wait to be examined: all of an entry's
	// requests, when a group of 256 ranks ends. More are dropped and counted.
	failureRing = 4096
	// probeDelay is how long after the first connection failure a target is probed. A process
	// that ends closes its connections one by one, and its listener before or after them.
	probeDelay = 10 * time.Millisecond
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
	requests []forward.ConnectionFailure
	presence presence.Presence
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
	return !slices.ContainsFunc(b.requests, func(r forward.ConnectionFailure) bool { return !r.Ended })
}

// followFailures finds out, for each target whose connections fail, whether its process ended.
func (g *Gateway) followFailures(ctx context.Context) error {
	pending := make(map[string]*failedTarget)
	probed := make(chan *failedTarget)
	for {
		select {
		case <-ctx.Done():
			return nil
		case b := <-g.failures:
			known := pending[b.Target.ID]
			if known == nil {
				known = &failedTarget{target: b.Target, since: time.Now()}
				pending[b.Target.ID] = known
				go g.probe(ctx, known.target, probed)
			}
			known.requests = append(known.requests, b)
		case p := <-probed:
			known := pending[p.target.ID]
			delete(pending, p.target.ID)
			known.presence = p.presence
			g.judgeFailure(known)
			known.end()
		}
	}
}

// probe finds out whether a target listens and sends the result to probed.
func (g *Gateway) probe(ctx context.Context, t roster.Target, probed chan<- *failedTarget) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(probeDelay):
	}
	seen := presence.Probe(ctx, t.Address)
	if seen == presence.Listening {
		g.pool.OnDial()
	}
	select {
	case <-ctx.Done():
	case probed <- &failedTarget{target: t, presence: seen}:
	}
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
