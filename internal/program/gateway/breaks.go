package gateway

import (
	"context"
	"fmt"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/traffic/forward"
	"wagtailshelf.example/wagtailshelf/internal/traffic/quarantine"
	"wagtailshelf.example/wagtailshelf/internal/wire/presence"
)

const (
	// breakRing is how many broken connections wait to be looked into: all of an entry's
	// requests, when a group of 256 ranks ends. More are dropped, and counted.
	breakRing = 4096
	// probeDelay is how long after the first break a target is probed. A process that ends
	// closes its connections one by one, and its listener before or after them.
	probeDelay = 10 * time.Millisecond
	// namedRequests bounds the requests that one line names.
	namedRequests = 16
)

// heardBreak hands a broken connection on. It is called by requests and never waits.
func (g *Gateway) heardBreak(b forward.Break) {
	select {
	case g.breaks <- b:
	default:
		g.metrics.GetOrCreateCounter("wagtailshelf_target_breaks_dropped_total").Inc()
	}
}

// brokenTarget is a target whose connections broke, and the requests on them.
type brokenTarget struct {
	target   roster.Target
	since    time.Time
	requests []forward.Break
	presence presence.Presence
}

// followBreaks finds out for each target whose connections break whether it ended.
func (g *Gateway) followBreaks(ctx context.Context) error {
	pending := make(map[string]*brokenTarget)
	probed := make(chan *brokenTarget)
	for {
		select {
		case <-ctx.Done():
			return nil
		case b := <-g.breaks:
			known := pending[b.Target.ID]
			if known == nil {
				known = &brokenTarget{target: b.Target, since: time.Now()}
				pending[b.Target.ID] = known
				go g.probe(ctx, known.target, probed)
			}
			known.requests = append(known.requests, b)
		case p := <-probed:
			known := pending[p.target.ID]
			delete(pending, p.target.ID)
			known.presence = p.presence
			g.judgeBreak(known)
		}
	}
}

// probe tells whether a target listens, for the one who asked.
func (g *Gateway) probe(ctx context.Context, t roster.Target, probed chan<- *brokenTarget) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(probeDelay):
	}
	seen := presence.Probe(ctx, t.Address)
	if seen == presence.Listening {
		g.pool.Dialled()
	}
	select {
	case <-ctx.Done():
	case probed <- &brokenTarget{target: t, presence: seen}:
	}
}

// judgeBreak says why the connections to a target broke.
func (g *Gateway) judgeBreak(b *brokenTarget) {
	g.metrics.GetOrCreateCounter(fmt.Sprintf(`wagtailshelf_target_breaks_total{presence=%q}`, b.presence)).Inc()
	named := make([]string, 0, namedRequests)
	for _, r := range b.requests[:min(len(b.requests), namedRequests)] {
		named = append(named, r.Request.String())
	}
	g.log.Info().Str("event", "targetBroke").Str("target", b.target.ID).Stringer("address", b.target.Address).
		Stringer("presence", b.presence).Dur("after", time.Since(b.since)).
		Int("requests", len(b.requests)).Strs("fingerprints", named).Msg("")
	if b.presence == presence.Absent && !g.endsAsPlanned(b.target.ID) {
		g.noteCrash(b)
	}
}

// endsAsPlanned tells whether a target had said that it leaves, or its entry was taken out
// before it ended: what still runs there is cut as its time is over.
func (g *Gateway) endsAsPlanned(id string) bool {
	t, found := g.roster.Get(id)
	return !found || t.Leaving || t.Displaced
}

// noteCrash suspects the requests that ran at a target that crashed.
func (g *Gateway) noteCrash(b *brokenTarget) {
	runs := make([]quarantine.Run, 0, len(b.requests))
	for _, r := range b.requests {
		runs = append(runs, r.Run)
	}
	g.crashes.Crashed(time.Now(), quarantine.Life{Target: b.target.ID, Born: b.target.Born}, runs)
}
