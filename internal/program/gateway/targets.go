package gateway

import (
	"context"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/record/feed"
)

const (
	// targetWatchShare is the part of the drain time for which a watch of targets waits. A watch
	// may hang that is never answered, and a target that leaves meanwhile must still be known
	// within its drain time. The rest covers the pause before the watch, the time allowed for
	// its response, and the call that follows.
	targetWatchShare = 0.4
	// targetSettleTime is the pause between reads of changed targets, so that targets that change
	// one after the other are read together.
	targetSettleTime = 300 * time.Millisecond
)

func (g *Gateway) followTargets(ctx context.Context) error {
	wait := time.Duration(targetWatchShare * float64(g.settings.Bounds.Drain))
	f := g.store.FollowServers(wait, g.malformed.Report)
	f.PauseAfterChanges = targetSettleTime
	failed := g.storeFailed("targets")
	f.Failed = func(began time.Time, err error) {
		g.noteStoreFailure(began, err)
		failed(began, err)
	}
	f.Listed = func(_ time.Time, p feed.Page[roster.Target]) {
		g.storeAnswered(time.Now())
		g.applyTargetList(time.Now(), p)
	}
	f.Changed = func(_ time.Time, p feed.Page[roster.Target]) {
		g.storeAnswered(time.Now())
		for _, c := range p.Changes {
			g.applyTarget(c)
		}
	}
	f.Run(ctx, time.Now)
	return nil
}

func (g *Gateway) applyTargetList(now time.Time, p feed.Page[roster.Target]) {
	if p.FirstOfEra {
		g.missing.storeRestored(now)
	}
	listed := make(map[string]bool, len(p.Changes))
	for _, c := range p.Changes {
		listed[c.Name] = true
		known, _ := g.roster.Get(c.Name)
		if !c.Unreadable && g.departed.isWithheld(c.Object) {
			continue
		}
		if p.FirstOfEra && !c.Unreadable && g.departed.withhold(now, c.Object, known) {
			g.log.Info().Str("event", "targetOfCopy").Str("target", c.Name).Stringer("at", c.Object.ChangedAt).Msg("")
			continue
		}
		g.applyTarget(c)
	}
	for _, id := range g.roster.IDs() {
		if !listed[id] {
			g.applyTarget(feed.Change[roster.Target]{Name: id, Removed: true})
		}
	}
	g.targetsListed.Store(true)
}

func (g *Gateway) applyTarget(c feed.Change[roster.Target]) {
	known, found := g.roster.Get(c.Name)
	if !c.Removed && !c.Unreadable && found {
		if why := g.doubt(known, c.Object); why != "" {
			g.departed.hold(time.Now(), c.Object)
			g.doubtTarget(c.Object, why)
			return
		}
	}
	g.departed.reported(c.Name)
	switch {
	case c.Removed:
		g.targetVanished(time.Now(), c.Name)
	case c.Unreadable:
		g.doubtTarget(roster.Target{ID: c.Name}, doubtMalformed)
	default:
		g.putTarget(c.Object)
	}
}

// putTarget applies an entry that counts as its target's own word.
func (g *Gateway) putTarget(t roster.Target) {
	g.missing.found(t.ID)
	known, found := g.roster.Get(t.ID)
	// What was never at the address that its entry named has said nothing, such as that it leaves.
	neverThere := known.Replaced && moved(known, t)
	sameIncarnation := found && known.SameIncarnation(t) && !neverThere
	if sameIncarnation {
		keepIncarnation(known, &t)
	}
	if found && (!sameIncarnation || moved(known, t)) {
		g.targetRestarted(known, &t)
	}
	if !found {
		g.admit.Returned(time.Now(), t)
	}
	if found && t.Leaving && !known.Leaving { // a target first seen as leaving may have announced that long ago
		t.LeavingSince = g.missing.newsSince()
	}
	for _, id := range g.roster.Put(t) {
		g.log.Info().Str("event", "targetGone").Str("target", id).Str("reason", "addressTaken").Str("by", t.ID).Msg("")
	}
	// This comes after Put, which would otherwise overwrite a leaving notice that arrives at
	// the same moment.
	if since, leaves := g.admit.Listed(time.Now(), t); leaves {
		g.markLeaving(t, since)
	}
	if !found || known.Leaving != t.Leaving || known.Unreadable {
		g.log.Info().Str("event", "target").Str("target", t.ID).Str("service", loggedID(t.Service)).
			Bool("leaving", t.Leaving).Stringer("address", t.Address).
			Stringer("at", t.ChangedAt).Int64("beat", t.Heartbeats).Time("born", t.Started).Msg("")
	}
}

// keepIncarnation carries over what a later entry of the same incarnation does not change.
func keepIncarnation(known roster.Target, t *roster.Target) {
	// A target that has announced its shutdown doesn't come back in this incarnation.
	t.Leaving = t.Leaving || known.Leaving
	t.LeavingSince, t.Replaced = known.LeavingSince, known.Replaced
	if t.Started.IsZero() {
		t.Started = known.Started
	}
	if t.ListedAt.Era == known.ListedAt.Era {
		t.ListedAt = known.ListedAt
	} // Otherwise this era's revisions decide which of two targets at one address is live.
}

// targetRestarted discards the state of a target's earlier incarnation. Both have the same
// id, so a connection, request slot or failure of the earlier one would be attributed to the
// new one.
func (g *Gateway) targetRestarted(previous roster.Target, current *roster.Target) {
	current.ListedAt = current.ChangedAt // of two targets at one address, the one that started last is live
	g.pool.Drop(previous.Address)
	g.pool.Drop(current.Address)
	g.admit.Restarted(time.Now(), *current)
	g.log.Info().Str("event", "targetStartedAgain").Str("target", current.ID).Time("born", current.Started).
		Int64("beat", current.Heartbeats).Int64("beatBefore", previous.Heartbeats).Msg("")
}

// targetVanished removes a target that the store does not list any more, or keeps it for a while if
// its entry may have expired during a failure of the store.
func (g *Gateway) targetVanished(now time.Time, id string) {
	t, found := g.roster.Get(id)
	if !found {
		return
	}
	s, first := g.missing.vanished(now, id, time.Duration(keptShare*float64(g.bounds.Load().Drain)))
	if s == stageGone {
		g.removeTarget(id, "notListed")
		return
	}
	if first {
		g.log.Info().Str("event", "targetKept").Str("target", id).Str("reason", "storeFailed").
			Bool("lastResort", s == stageLastResort).Stringer("at", t.ChangedAt).Msg("")
	}
	g.applyMissing(id, s)
}

func (g *Gateway) removeTarget(id, reason string) {
	t, found := g.roster.Get(id)
	if !found {
		return
	}
	if reason != stayedMissing {
		g.departed.note(time.Now(), t)
	}
	g.roster.Remove(id)
	g.admit.Forget(time.Now(), t)
	g.log.Info().Str("event", "targetGone").Str("target", id).Str("reason", reason).
		Bool("leaving", t.Leaving).Stringer("at", t.ChangedAt).Int64("beat", t.Heartbeats).Msg("")
}

// targetReplaced handles the response of a server that it is not the target expected at its
// address. The list may show that target for some more seconds. It says nothing of a later
// incarnation than the one that the request was sent to, nor of this one if it names a server at
// another address as the one at fault.
func (g *Gateway) targetReplaced(t roster.Target, named string) {
	known, found := g.roster.Get(t.ID)
	if !found {
		return
	}
	other, namesOther := g.roster.Get(named)
	if moved(t, known) || !t.SameIncarnation(known) || namesOther && other.Address != t.Address {
		g.log.Info().Str("event", "targetStays").Str("target", t.ID).Str("reason", "misdirectedForOther").Str("named", loggedID(named)).Msg("")
		return
	}
	if g.roster.MarkReplaced(t.ID) {
		g.log.Info().Str("event", "targetGone").Str("target", t.ID).Str("reason", "anotherAnswers").Msg("")
	}
}

// markLeaving marks a target that has announced its shutdown, unless it has restarted since.
func (g *Gateway) markLeaving(t roster.Target, since time.Time) {
	if known, found := g.roster.Get(t.ID); found && (known.SameIncarnation(t) || t.SameIncarnation(known)) {
		g.roster.MarkLeaving(t.ID, since)
	}
}

// lastUseShare is the part of the drain time in which leaving targets get requests while no
// other target is left. The rest covers the delay of a request on its way.
const lastUseShare = 0.8

// serving returns the targets of a service that take requests. Leaving targets, and those that may
// be gone, are among them only if there is no other, as when a whole data centre is shut down.
func (g *Gateway) serving(service string) []roster.Target {
	if list := g.roster.Serving(service); len(list) > 0 {
		return list
	}
	last := time.Duration(lastUseShare * float64(g.bounds.Load().Drain))
	return g.roster.LastResort(service, time.Now().Add(-last))
}

// resolveHeldTargets decides on targets that were kept or withheld: those that stay missing are
// removed, and withheld entries that have not expired are of live servers.
func (g *Gateway) resolveHeldTargets(now time.Time) {
	if !g.missing.storeIsFailing() { // otherwise the entries may have expired unnoticed
		for _, t := range g.departed.due(now) {
			g.putTarget(t)
		}
	}
	for id, s := range g.missing.due(now) {
		g.applyMissing(id, s)
	}
}

// applyMissing applies the stage of a target that vanished from the list.
func (g *Gateway) applyMissing(id string, s stage) {
	switch s {
	case stageLastResort:
		if g.roster.MarkMissing(id) {
			g.log.Info().Str("event", "targetMissing").Str("target", id).Msg("")
		}
	case stageGone:
		g.removeTarget(id, stayedMissing)
	}
}

// stayedMissing is the reason for removing a target that was not listed again after a store
// failure. Its server may be live, and cut off from the store for longer.
const stayedMissing = "stayedMissing"
