package gateway

import (
	"context"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/program/deployed"
	"wagtailshelf.example/wagtailshelf/internal/record/feed"
	"wagtailshelf.example/wagtailshelf/internal/record/position"
	"wagtailshelf.example/wagtailshelf/internal/traffic/forward"
	"wagtailshelf.example/wagtailshelf/internal/traffic/routing"
)

const (
	// configWatchShare is the part of the revocation bound for which a watch of the
	// configuration waits. What a watch proves dates from before it was sent, so keys must
	// be trusted for two waits and a call; three parts of ten leave room for a failed call.
	configWatchShare = 0.3
	// targetWatchShare is the part of the drain time for which a watch of targets waits. A watch
	// may hang that is never answered, and a target that leaves meanwhile must still be known
	// within its drain time. The rest covers the pause before the watch, the time allowed for
	// its response, and the call that follows.
	targetWatchShare = 0.4
	// targetSettleTime is the pause between reads of changed targets, so that targets that change
	// one after the other are read together.
	targetSettleTime = 300 * time.Millisecond
)

// knownConfig is the newest configuration that the entry has seen.
type knownConfig struct {
	config *routing.Config
	// provenAt is when the call began that showed that there was nothing newer, on the
	// clock that counts suspended time.
	provenAt time.Duration
	// storeBehind is set if the store has an older version than this one because it was
	// restored from a backup. Its responses then prove nothing: a later version that
	// revoked a key may be lost for now.
	storeBehind bool
	// firstRead is the era in which the process first read a configuration.
	firstRead position.Era
}

func (r *knownConfig) age() time.Duration { return deployed.Elapsed() - r.provenAt }

// currentConfig returns the configuration for requests, with its age.
func (g *Gateway) currentConfig() forward.Configuration {
	r := g.config.Load()
	if r == nil {
		return forward.Configuration{}
	}
	return forward.Configuration{Config: r.config, Age: g.provenAge(time.Now(), r)}
}

const (
	// unprovenAge is the age given to a configuration that proves nothing.
	unprovenAge = time.Hour
	// peerReportWait is how long an entry that has just started waits for a report of the
	// other entries' configuration version, if the store has ever been restored from a
	// backup. A planner answers the first heartbeat within a tenth of a second.
	peerReportWait = 500 * time.Millisecond
)

// provenAge returns the age of the proof that no configuration is newer than r. A process
// that starts after the store was restored from a backup reads an old configuration, in which
// a key that was revoked since is still valid. Other entries have the later version and report
// it through the planners. One that read its configuration before the restore keeps that.
func (g *Gateway) provenAge(now time.Time, r *knownConfig) time.Duration {
	uptime := now.Sub(g.startedAt)
	reported, known := g.planners.configVersion(now)
	switch {
	case reported > r.config.Version && uptime < g.bounds.Load().Revoke:
		return unprovenAge
	case !known && uptime < peerReportWait && r.firstRead > firstEra:
		return unprovenAge
	}
	return r.age()
}

// firstEra is the era of a store that was never restored from a backup.
const firstEra = 1

func (g *Gateway) followConfig(ctx context.Context) error {
	wait := time.Duration(configWatchShare * float64(g.settings.Bounds.Revoke))
	f := g.store.FollowConfig(wait, g.malformed.Report)
	var sentAt time.Duration
	list, watch := f.List, f.Watch
	f.List = func(ctx context.Context) (feed.Page[*routing.Config], error) {
		sentAt = deployed.Elapsed()
		return list(ctx)
	}
	f.Watch = func(ctx context.Context, after int64, wait time.Duration) (feed.Page[*routing.Config], error) {
		sentAt = deployed.Elapsed()
		return watch(ctx, after, wait)
	}
	install := func(_ time.Time, p feed.Page[*routing.Config]) { g.installConfig(sentAt, p) }
	f.Listed, f.Changed = install, install
	f.Failed = g.storeFailed("rules")
	f.Run(ctx, time.Now)
	return nil
}

// installConfig installs the newest configuration of a page. While a process runs, its
// configuration never goes back to an older version, whatever the store returns.
func (g *Gateway) installConfig(sentAt time.Duration, p feed.Page[*routing.Config]) {
	known := g.config.Load()
	next := knownConfig{provenAt: sentAt, firstRead: p.Era}
	if known != nil {
		next.config, next.storeBehind, next.firstRead = known.config, known.storeBehind, known.firstRead
	}
	if p.FirstOfEra {
		next.storeBehind = next.config != nil && len(p.Changes) == 0 // the store has lost the whole configuration
	}
	for _, c := range p.Changes {
		if c.Object == nil || c.Removed {
			continue
		}
		next.storeBehind = next.config != nil && c.Object.Version < next.config.Version
		if next.storeBehind {
			g.log.Warn().Str("event", "olderRules").Int64("version", c.Object.Version).
				Int64("inForce", next.config.Version).Bool("newEra", p.FirstOfEra).Msg("")
			continue
		}
		next.config = c.Object
	}
	if next.config == nil {
		return
	}
	// Another entry may have read a later version that the store has lost.
	reported, _ := g.planners.configVersion(time.Now())
	proven := !next.storeBehind && reported <= next.config.Version
	changed := known == nil || next.config != known.config
	if !proven && known != nil {
		next.provenAt = known.provenAt
	}
	g.config.Store(&next)
	if changed {
		g.log.Info().Str("event", "rules").Int64("version", next.config.Version).
			Int("routes", len(next.config.Routes)).Dur("age", deployed.Elapsed()-sentAt).Msg("")
	}
}

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
	g.departed.reported(c.Name)
	if c.Removed {
		g.targetVanished(time.Now(), c.Name)
		return
	}
	g.missing.found(c.Name)
	known, found := g.roster.Get(c.Name)
	if c.Unreadable {
		if g.roster.MarkUnreadable(c.Name) {
			g.log.Warn().Str("event", "targetUnreadable").Str("target", c.Name).Msg("")
		}
		return
	}
	switch {
	case found && known.SameIncarnation(c.Object):
		// A target that has announced its shutdown doesn't come back in this incarnation.
		c.Object.Leaving = c.Object.Leaving || known.Leaving
		c.Object.LeavingSince = known.LeavingSince
		if c.Object.ListedAt.Era == known.ListedAt.Era {
			c.Object.ListedAt, c.Object.Displaced = known.ListedAt, known.Displaced
		} // Otherwise this era's revisions decide which of two targets at one address is live.
	case found:
		g.targetRestarted(known, &c.Object)
	}
	if found && c.Object.Leaving && !known.Leaving { // a target first seen as leaving may have announced that long ago
		c.Object.LeavingSince = g.previousAnswer
	}
	for _, id := range g.roster.Put(c.Object) {
		g.log.Info().Str("event", "targetGone").Str("target", id).Str("reason", "addressTaken").Str("by", c.Name).Msg("")
	}
	// This comes after Put, which would otherwise overwrite a leaving notice that arrives at
	// the same moment.
	if since, leaves := g.admit.Listed(time.Now(), c.Object); leaves {
		g.markLeaving(c.Object, since)
	}
	if !found || known.Leaving != c.Object.Leaving {
		g.log.Info().Str("event", "target").Str("target", c.Name).Str("service", c.Object.Service).
			Bool("leaving", c.Object.Leaving).Stringer("address", c.Object.Address).
			Stringer("at", c.Object.ChangedAt).Int64("beat", c.Object.Heartbeats).Time("born", c.Object.Started).Msg("")
	}
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
	g.admit.Forget(id)
	g.log.Info().Str("event", "targetGone").Str("target", id).Str("reason", reason).
		Bool("leaving", t.Leaving).Stringer("at", t.ChangedAt).Int64("beat", t.Heartbeats).Msg("")
}

// targetReplaced handles the response of a server that it is not the target expected at its
// address. The list may show that target for some more seconds.
func (g *Gateway) targetReplaced(id string) {
	if g.roster.MarkLeaving(id, time.Time{}) {
		g.log.Info().Str("event", "targetGone").Str("target", id).Str("reason", "anotherAnswers").Msg("")
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
// removed, and those from a backup whose entries have not expired are live.
func (g *Gateway) resolveHeldTargets(now time.Time) {
	for _, t := range g.departed.due(now) {
		g.applyTarget(feed.Change[roster.Target]{Name: t.ID, Object: t})
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
