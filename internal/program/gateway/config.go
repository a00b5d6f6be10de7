package gateway

import (
	"context"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/program/deployed"
	"wagtailshelf.example/wagtailshelf/internal/record/feed"
	"wagtailshelf.example/wagtailshelf/internal/record/position"
	"wagtailshelf.example/wagtailshelf/internal/traffic/forward"
	"wagtailshelf.example/wagtailshelf/internal/traffic/routing"
)

// configWatchShare is the part of the revocation bound for which a watch of the
// configuration waits. What a watch proves dates from before it was sent, so keys must
// be trusted for two waits and a call; three parts of ten leave room for a failed call.
const configWatchShare = 0.3

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
	// backup. It counts from the first heartbeat that asks for it, which a planner answers
	// within a tenth of a second.
	peerReportWait = 500 * time.Millisecond
)

// provenAge returns the age of the proof that no configuration is newer than r. A process
// that starts after the store was restored from a backup reads an old configuration, in which
// a key that was revoked since is still valid. Other entries have the later version and report
// it through the planners. One that read its configuration before the restore keeps that.
func (g *Gateway) provenAge(now time.Time, r *knownConfig) time.Duration {
	uptime := now.Sub(g.startedAt)
	reported, _ := g.planners.configVersion(now)
	switch {
	case reported > r.config.Version && uptime < g.bounds.Load().Revoke:
		return unprovenAge
	case !g.planners.othersReported(now) && uptime < g.bounds.Load().Revoke && r.firstRead > firstEra && g.awaitsReports(now):
		return unprovenAge
	}
	return r.age()
}

// awaitsReports reports whether the other entries' configuration version may still be reported: the
// planners have not been asked yet, or a moment ago.
func (g *Gateway) awaitsReports(now time.Time) bool {
	asked := g.askedAt.Load()
	return asked == nil || now.Sub(*asked) < peerReportWait
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
		g.roster.SetServices(func(service string) bool { return next.config.Service(service) != nil })
		g.log.Info().Str("event", "rules").Int64("version", next.config.Version).
			Int("routes", len(next.config.Routes)).Dur("age", deployed.Elapsed()-sentAt).Msg("")
	}
}
