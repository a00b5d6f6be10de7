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

// subset bounds the targets of a service that an entry holds connections to. It
// covers all of them at today's sizes.
var subset = target.SubsetSize{Local: 24, Remote: 12}

// tickGrace is how late a tick of the tracker may be without a pause.
const tickGrace = 100 * time.Millisecond

// unknownSharers is how many entries are taken to share the targets before the
// fleet is known.
const unknownSharers = 2

// update takes the targets of the document in force that fall to this entry.
func (r *router) update(ctx context.Context, now time.Time) {
	d := r.document
	r.stale = false
	r.budget.Configure(retryConfig(d))
	candidates := make([]target.Candidate, 0, len(d.Targets))
	for i := range d.Targets {
		t := &d.Targets[i]
		candidates = append(candidates, target.Candidate{
			Name:       target.Name(t.Name),
			DataCentre: t.DataCentre,
			Weight:     d.ShareOf(t),
			Group:      target.GroupName(t.Group),
			Suspended:  true, // until the tracker knows better
		})
	}
	candidates = target.Subset(r.self, r.entries, candidates, subset)
	r.chooser.Configure(target.Config{
		DataCentre:   r.self.DataCentre,
		Sharers:      r.sharers(len(candidates)),
		Keep:         keepOf(d, r.self.DataCentre),
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
			Source:  leaving.Document,
			Leaving: r.targets[c.Name].Leaving,
		})
		r.list(ctx, now, c.Name)
		r.resume(c.Name)
	}
}

// keepOf returns the part of its requests that a data centre keeps: what the
// document's share for it is of the largest share of a data centre. Entries would
// else send all to their own, whatever the shares say.
func keepOf(d *document.Document, own host.DataCentre) float64 {
	most := 0.0
	for i := range d.Targets {
		most = max(most, shareOf(d, d.Targets[i].DataCentre))
	}
	if most == 0 {
		return 1
	}
	return shareOf(d, own) / most
}

func shareOf(d *document.Document, dc host.DataCentre) float64 {
	share := 1.0
	for _, s := range d.Shares {
		if s.DataCentre == dc {
			share *= s.Share
		}
	}
	return share
}

// sharers returns how many entries send to each target of the subset.
func (r *router) sharers(served int) int {
	if len(r.entries) == 0 {
		return unknownSharers
	}
	return max(1, len(r.entries)*served/max(1, len(r.document.Targets)))
}

// forget drops what is known of targets that are gone, or that are another
// process now. The connection to a sidecar stays: requests may still be on it.
func (r *router) forget(ctx context.Context, now time.Time, before map[target.Name]*document.Target) {
	for name, old := range before {
		t := r.targets[name]
		if t == nil || t.Address != old.Address || t.Host != old.Host {
			r.track(ctx, now, leaving.Event{Kind: leaving.Forget, Name: name})
		}
	}
}

// listed takes in what the platform's list says of a host.
func (r *router) listed(ctx context.Context, now time.Time, name host.Name, leaves bool) {
	if leaves {
		r.leaving[name] = true
	} else {
		delete(r.leaving, name)
	}
	for target, t := range r.targets {
		if t.Host == name {
			r.list(ctx, now, target)
		}
	}
}

// list tells the tracker what the platform's list says of a target's host.
func (r *router) list(ctx context.Context, now time.Time, name target.Name) {
	r.track(ctx, now, leaving.Event{
		Kind: leaving.Statement, Name: name, Source: leaving.List, Leaving: r.leaving[r.targets[name].Host],
	})
}

// resume brings a target back that the tracker knows to be serving; the list of
// candidates says nothing about that.
func (r *router) resume(name target.Name) {
	if inc, ok := r.tracker.Serving(name); ok {
		r.chooser.Resume(name, inc)
	}
}

// track tells the tracker of an event and the chooser of what follows from it.
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
			r.met = true
		case leaving.Probe:
			r.probe(ctx, a.Name)
		case leaving.SetTimer:
			r.tickAt = a.At
			r.timer.Reset(a.At.Sub(now))
		case leaving.Violated:
			r.counts.violated(r.log, a.Violation.Invariant, a.Violation.Evidence)
		}
	}
}

// report takes a report of load, which is also the sidecar's word that it isn't
// leaving. One that came about a target of another entry's subset is left alone.
func (r *router) report(ctx context.Context, now time.Time, m target.Report) {
	if r.targets[m.Name] == nil {
		return
	}
	r.track(ctx, now, leaving.Event{Kind: leaving.Word, Name: m.Name, Incarnation: m.Incarnation, Age: m.Age})
	r.chooser.Report(now, m)
}

func (r *router) leaves(ctx context.Context, now time.Time, name target.Name, inc host.Incarnation) {
	if r.targets[name] == nil {
		return
	}
	r.track(ctx, now, leaving.Event{
		Kind: leaving.Statement, Name: name, Source: leaving.Sidecar, Leaving: true, Incarnation: inc,
	})
}

// member takes an entry in, or out, of those that share the targets.
func (r *router) member(m routerMessage) {
	i := slices.IndexFunc(r.entries, func(e target.Member) bool { return e.Name == m.member.Name })
	if (i >= 0) == m.present {
		return
	}
	if m.present {
		r.entries = append(r.entries, m.member)
	} else {
		r.entries = slices.Delete(r.entries, i, i+1)
	}
	r.stale = true
}

// tick gives the tracker its time, and takes in changes of the entries. These come
// in bursts, and working a subset out at the large size takes some 80 ms.
func (r *router) tick(ctx context.Context, now time.Time) {
	r.track(ctx, now, leaving.Event{Kind: leaving.Tick})
	if r.stale {
		r.update(ctx, now)
	}
}

// catchUp gives the tracker its time before a choice is made, if that is overdue.
// A process that was paused may find a request before it finds its timer, and
// would send it to a target that has left since.
func (r *router) catchUp(ctx context.Context, now time.Time) {
	if !r.tickAt.IsZero() && now.After(r.tickAt.Add(tickGrace)) {
		r.tick(ctx, now)
	}
}

// onReport passes the load of a target on to the routers of its services.
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
			r.tell(routerMessage{kind: tellLeaving, name: t, incarnation: p.Incarnation})
			continue
		}
		r.tell(routerMessage{kind: tellReport, report: target.Report{
			Name:        t,
			Incarnation: p.Incarnation,
			Outstanding: m.Outstanding,
			Capacity:    m.Capacity,
			Limit:       int(m.Limit),
			Age:         m.Age,
		}})
	}
}
