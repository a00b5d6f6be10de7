package entry

import (
	"context"
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/traffic/leaving"
	"wagtailshelf.example/wagtailshelf/internal/traffic/target"
	"wagtailshelf.example/wagtailshelf/internal/wire/frame"
	"wagtailshelf.example/wagtailshelf/internal/wire/peer"
)

// subsetSize bounds the targets of a service that an entry keeps connections to. It
// covers all targets of present-day services.
var subsetSize = target.SubsetSize{Local: 24, Remote: 12}

// tickGrace is how late a tick of the tracker may be before the process is taken to have
// been paused.
const tickGrace = 100 * time.Millisecond

// defaultSharingEntries is how many entries are assumed to share the targets while no
// registered entry is known.
const defaultSharingEntries = 2

// update selects this entry's subset of the targets in the active document, and
// configures the router with it.
func (r *router) update(ctx context.Context, now time.Time) {
	d := r.document
	r.entriesChanged = false
	r.budget.Configure(retryConfig(d))
	candidates := make([]target.Candidate, 0, len(d.Targets))
	for i := range d.Targets {
		t := &d.Targets[i]
		candidates = append(candidates, target.Candidate{
			Name:       target.Name(t.Name),
			DataCentre: t.DataCentre,
			Weight:     d.ShareOf(t),
			Group:      target.GroupName(t.Group),
			Suspended:  true, // until the tracker reports it as serving
		})
	}
	candidates = target.Subset(r.self, r.entries, candidates, subsetSize)
	r.chooser.Configure(target.Config{
		DataCentre:   r.self.DataCentre,
		Entries:      r.sharingEntries(len(candidates)),
		LocalShare:   localShare(d, r.self.DataCentre),
		AffinityLoad: d.Affinity.LoadBound,
	})
	before := r.targets
	r.targets = make(map[target.Name]*document.Target, len(candidates))
	for _, c := range candidates {
		r.targets[c.Name] = d.Target(string(c.Name))
	}
	r.forget(ctx, now, before)
	r.chooser.Update(candidates)
	for _, c := range candidates {
		r.track(ctx, now, leaving.Event{
			Kind:    leaving.Statement,
			Name:    c.Name,
			Source:  leaving.FromDocument,
			Leaving: r.targets[c.Name].Leaving,
		})
		r.trackListing(ctx, now, c.Name)
		r.resume(c.Name)
	}
}

// localShare returns the fraction of its requests that a data centre keeps: the ratio of
// its share in the document to the largest share of a data centre. Otherwise entries would
// send all requests to targets of their own data centre, regardless of the shares.
func localShare(d *document.Document, own host.DataCentre) float64 {
	most := 0.0
	for i := range d.Targets {
		most = max(most, shareOf(d, d.Targets[i].DataCentre))
	}
	if most == 0 {
		return 1
	}
	return shareOf(d, own) / most
}

// shareOf returns the document's share for a data centre, 1 if it has none.
func shareOf(d *document.Document, dc host.DataCentre) float64 {
	share := 1.0
	for _, s := range d.Shares {
		if s.DataCentre == dc {
			share *= s.Share
		}
	}
	return share
}

// sharingEntries returns how many entries send to each target of the subset.
func (r *router) sharingEntries(subsetTargets int) int {
	if len(r.entries) == 0 {
		return defaultSharingEntries
	}
	return max(1, len(r.entries)*subsetTargets/max(1, len(r.document.Targets)))
}

// forget drops the tracker's state of targets that left the subset, or whose address or host
// changed. The connection to a sidecar stays open, because requests may still use it.
func (r *router) forget(ctx context.Context, now time.Time, before map[target.Name]*document.Target) {
	for name, old := range before {
		t := r.targets[name]
		if t == nil || t.Address != old.Address || t.Host != old.Host {
			r.track(ctx, now, leaving.Event{Kind: leaving.Forget, Name: name})
		}
	}
}

// hostListed applies a change of a host's state in the platform's list.
func (r *router) hostListed(ctx context.Context, now time.Time, name host.Name, isLeaving bool) {
	if isLeaving {
		r.leavingHosts[name] = true
	} else {
		delete(r.leavingHosts, name)
	}
	for target, t := range r.targets {
		if t.Host == name {
			r.trackListing(ctx, now, target)
		}
	}
}

// trackListing passes the listed state of a target's host to the tracker.
func (r *router) trackListing(ctx context.Context, now time.Time, name target.Name) {
	r.track(ctx, now, leaving.Event{
		Kind: leaving.Statement, Name: name, Source: leaving.FromList, Leaving: r.leavingHosts[r.targets[name].Host],
	})
}

// resume makes a target available for choice again if the tracker knows it to be serving;
// the list of candidates does not contain that.
func (r *router) resume(name target.Name) {
	if inc, ok := r.tracker.Serving(name); ok {
		r.chooser.Resume(name, inc)
	}
}

// track passes an event to the tracker and carries out the resulting actions.
func (r *router) track(ctx context.Context, now time.Time, ev leaving.Event) {
	for _, a := range r.tracker.Handle(now, ev) {
		switch a.Kind {
		case leaving.Left:
			r.chooser.Leave(a.Name, a.Incarnation)
			r.log.Info().Str("service", r.service).Str("target", string(a.Name)).
				Uint64("incarnation", uint64(a.Incarnation)).Str("source", a.Source.String()).Msg("target is leaving")
		case leaving.Suspend:
			r.chooser.Suspend(a.Name)
			r.log.Warn().Str("service", r.service).Str("target", string(a.Name)).Msg("target is silent")
		case leaving.Resume:
			r.chooser.Resume(a.Name, a.Incarnation)
			r.anyReported = true
		case leaving.Probe:
			r.probe(ctx, a.Name)
		case leaving.SetTimer:
			r.tickDue = a.At
			r.timer.Reset(a.At.Sub(now))
		case leaving.Violated:
			r.counts.invariantViolated(r.log, a.Violation.Invariant, a.Violation.Evidence)
		}
	}
}

// handleReport applies a load report, which also states that the sidecar isn't leaving.
// Reports about targets outside this entry's subset are ignored.
func (r *router) handleReport(ctx context.Context, now time.Time, m target.Report) {
	if r.targets[m.Name] == nil {
		return
	}
	r.track(ctx, now, leaving.Event{Kind: leaving.Liveness, Name: m.Name, Incarnation: m.Incarnation, Age: m.Age})
	r.chooser.Report(now, m)
}

// targetLeaving records that a target's sidecar has announced its shutdown.
func (r *router) targetLeaving(ctx context.Context, now time.Time, name target.Name, inc host.Incarnation) {
	if r.targets[name] == nil {
		return
	}
	r.track(ctx, now, leaving.Event{
		Kind: leaving.Statement, Name: name, Source: leaving.FromSidecar, Leaving: true, Incarnation: inc,
	})
}

// updateMember adds an entry to those that share the targets, or removes it.
func (r *router) updateMember(m routerMessage) {
	i := slices.IndexFunc(r.entries, func(e target.Member) bool { return e.Name == m.member.Name })
	if (i >= 0) == m.present {
		return
	}
	if m.present {
		r.entries = append(r.entries, m.member)
	} else {
		r.entries = slices.Delete(r.entries, i, i+1)
	}
	r.entriesChanged = true
}

// tick passes the time to the tracker, and applies changes of the entries. These are
// applied here because they come in bursts, and computing a subset takes about 80 ms for
// a large service.
func (r *router) tick(ctx context.Context, now time.Time) {
	r.track(ctx, now, leaving.Event{Kind: leaving.Tick})
	if r.entriesChanged {
		r.update(ctx, now)
	}
}

// catchUp makes an overdue tick before a target is chosen. A process that was paused may
// handle a request before its timer, and would send the request to a target that has left
// in the meantime.
func (r *router) catchUp(ctx context.Context, now time.Time) {
	if !r.tickDue.IsZero() && now.After(r.tickDue.Add(tickGrace)) {
		r.tick(ctx, now)
	}
}

// onReport passes a sidecar's report on to the routers of the services that have a target
// on its host.
func (e *Entry) onReport(from *peer.Conn, m frame.Report) {
	p := from.Peer()
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, r := range e.routers {
		t := target.Name(e.services[name].TargetOn(p.Name))
		if t == "" {
			continue
		}
		if m.Leaving {
			r.trySend(routerMessage{kind: leavingMessage, name: t, incarnation: p.Incarnation})
			continue
		}
		r.trySend(routerMessage{kind: reportMessage, report: target.Report{
			Name:        t,
			Incarnation: p.Incarnation,
			Outstanding: m.Outstanding,
			Capacity:    m.Capacity,
			Limit:       int(m.Limit),
			Age:         m.Age,
		}})
	}
}
