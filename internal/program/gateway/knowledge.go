package gateway

import (
	"context"
	"sync"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/program/deployed"
	"wagtailshelf.example/wagtailshelf/internal/record/feed"
	"wagtailshelf.example/wagtailshelf/internal/traffic/forward"
	"wagtailshelf.example/wagtailshelf/internal/traffic/routing"
)

const (
	// rulesWait is the part of the revocation bound that a watch of the rules waits.
	// What a watch proves dates from before it was asked, so keys are trusted for
	// two waits and a call; three parts of ten leave room for a failed call.
	rulesWait = 0.3
	// targetsWait of a watch of targets. It is cut without a sign now and then, and
	// a target that leaves must be known about two seconds later.
	targetsWait = 3 * time.Second
	// targetsSettle between changes of targets: a sixth of the time in which one that
	// leaves must be known. With 14 entries and 75 servers it halved the calls of a calm
	// day (1,857 and 990), most of which fell into the start.
	targetsSettle = 300 * time.Millisecond
	// missingWait is how long a target that is not listed any more is kept if the
	// store was away: those that live are listed again within two seconds.
	missingWait = 2200 * time.Millisecond
)

// knownRules are the newest rules that the entry has seen.
type knownRules struct {
	config *routing.Config
	// asked is when the call began that showed that there was nothing newer, on the
	// clock that counts suspended time.
	asked time.Duration
	// behind tells that the store has an older version than these rules, as it came back
	// from a copy. What it says since proves nothing: a later version, which took a key
	// away, may be lost for now.
	behind bool
}

func (r *knownRules) age() time.Duration { return deployed.Elapsed() - r.asked }

// currentRules returns what requests are served by.
func (g *Gateway) currentRules() forward.Rules {
	r := g.rules.Load()
	if r == nil {
		return forward.Rules{}
	}
	return forward.Rules{Config: r.config, Age: g.provenAge(time.Now(), r)}
}

const (
	// unproven is the age of rules that prove nothing.
	unproven = time.Hour
	// wordWait is how long an entry that has just started waits for the word of the others on
	// their rules, if the store has ever come back from a copy. A planner answers its first
	// hello within a tenth of a second.
	wordWait = 500 * time.Millisecond
)

// provenAge is how old the proof is that nothing is newer than some rules. A process that
// starts while the store has come back from a copy reads rules of before: a key that was
// taken away since would open everything to its holder. Others know better, and tell.
func (g *Gateway) provenAge(now time.Time, r *knownRules) time.Duration {
	lives := now.Sub(g.begun)
	told, known := g.planners.rules(now)
	switch {
	case told > r.config.Version && lives < g.bounds.Load().Revoke:
		return unproven
	case !known && lives < wordWait && g.store.Eras.Era() > firstEra:
		return unproven
	}
	return r.age()
}

// firstEra is that of a store that has never come back from a copy.
const firstEra = 1

func (g *Gateway) followRules(ctx context.Context) error {
	wait := time.Duration(rulesWait * float64(g.settings.Bounds.Revoke))
	f := g.store.FollowConfig(wait, g.bad.Note)
	var asked time.Duration
	list, watch := f.List, f.Watch
	f.List = func(ctx context.Context) (feed.Page[*routing.Config], error) {
		asked = deployed.Elapsed()
		return list(ctx)
	}
	f.Watch = func(ctx context.Context, after int64) (feed.Page[*routing.Config], error) {
		asked = deployed.Elapsed()
		return watch(ctx, after)
	}
	take := func(_ time.Time, p feed.Page[*routing.Config]) { g.installRules(asked, p) }
	f.Listed, f.Changed = take, take
	f.Failed = g.storeFailed("rules")
	f.Run(ctx, time.Now)
	return nil
}

// installRules takes the newest rules of a page. Rules never go back to an older
// version in the life of a process, whatever the store says.
func (g *Gateway) installRules(asked time.Duration, p feed.Page[*routing.Config]) {
	known := g.rules.Load()
	next := knownRules{asked: asked}
	if known != nil {
		next.config, next.behind = known.config, known.behind
	}
	if p.Renewed {
		next.behind = next.config != nil && len(p.Changes) == 0 // they are lost as a whole
	}
	for _, c := range p.Changes {
		if c.Object == nil || c.Removed {
			continue
		}
		next.behind = next.config != nil && c.Object.Version < next.config.Version
		if next.behind {
			g.log.Warn().Str("event", "olderRules").Int64("version", c.Object.Version).
				Int64("inForce", next.config.Version).Bool("newEra", p.Renewed).Msg("")
			continue
		}
		next.config = c.Object
	}
	if next.config == nil {
		return
	}
	// Another entry may have read later ones, which the store has lost.
	told, _ := g.planners.rules(time.Now())
	proven := !next.behind && told <= next.config.Version
	changed := known == nil || next.config != known.config
	if !proven && known != nil {
		next.asked = known.asked
	}
	g.rules.Store(&next)
	if changed {
		g.log.Info().Str("event", "rules").Int64("version", next.config.Version).
			Int("routes", len(next.config.Routes)).Dur("age", deployed.Elapsed()-asked).Msg("")
	}
}

func (g *Gateway) followTargets(ctx context.Context) error {
	f := g.store.FollowServers(targetsWait, g.bad.Note)
	f.Settle = targetsSettle
	failed := g.storeFailed("targets")
	f.Failed = func(err error) {
		if err != nil {
			g.missing.storeFailed(time.Now())
		}
		failed(err)
	}
	f.Listed = func(_ time.Time, p feed.Page[roster.Target]) { g.listTargets(time.Now(), p) }
	f.Changed = func(_ time.Time, p feed.Page[roster.Target]) {
		for _, c := range p.Changes {
			g.changeTarget(c)
		}
	}
	f.Run(ctx, time.Now)
	return nil
}

func (g *Gateway) listTargets(now time.Time, p feed.Page[roster.Target]) {
	if p.Renewed {
		g.missing.renewed(now)
	}
	listed := make(map[string]bool, len(p.Changes))
	for _, c := range p.Changes {
		listed[c.Name] = true
		known, _ := g.roster.Get(c.Name)
		if p.Renewed && !c.Unreadable && g.left.hold(now, c.Object, known) {
			g.log.Info().Str("event", "targetOfCopy").Str("target", c.Name).Stringer("at", c.Object.Changed).Msg("")
			continue
		}
		g.changeTarget(c)
	}
	for _, id := range g.roster.IDs() {
		if !listed[id] {
			g.changeTarget(feed.Change[roster.Target]{Name: id, Removed: true})
		}
	}
	g.targets.Store(true)
}

func (g *Gateway) changeTarget(c feed.Change[roster.Target]) {
	g.left.told(c.Name)
	if c.Removed {
		if g.missing.hold(time.Now(), c.Name) {
			return
		}
		g.removeTarget(c.Name, "notListed")
		return
	}
	g.missing.found(c.Name)
	known, found := g.roster.Get(c.Name)
	if c.Unreadable {
		if g.roster.Unread(c.Name) {
			g.log.Warn().Str("event", "targetUnreadable").Str("target", c.Name).Msg("")
		}
		return
	}
	switch {
	case found && known.SameLife(c.Object):
		// A target that has said that it leaves doesn't come back in this life.
		c.Object.Leaving = c.Object.Leaving || known.Leaving
		c.Object.Said = known.Said
		if c.Object.Since.Era == known.Since.Era {
			c.Object.Since, c.Object.Displaced = known.Since, known.Displaced
		} // else which of two at one address lives is told anew, in the numbers of this era
	case found:
		g.startedAgain(known, &c.Object)
	}
	if found && c.Object.Leaving && !known.Leaving { // one that is met as leaving may have said so long ago
		c.Object.Said = time.Now()
	}
	for _, id := range g.roster.Put(c.Object) {
		g.log.Info().Str("event", "targetGone").Str("target", id).Str("reason", "addressTaken").Str("by", c.Name).Msg("")
	}
	// After Put: a target that says that it leaves in this moment would be listed over it.
	if since, leaves := g.admit.Listed(time.Now(), c.Object); leaves {
		g.leave(c.Object, since)
	}
	if !found || known.Leaving != c.Object.Leaving {
		g.log.Info().Str("event", "target").Str("target", c.Name).Str("service", c.Object.Service).
			Bool("leaving", c.Object.Leaving).Stringer("address", c.Object.Address).Msg("")
	}
}

// startedAgain forgets what held for a target's earlier life. Its id tells the two apart no
// longer: a connection, a place or a failure of the earlier one would be taken for the new
// one's.
func (g *Gateway) startedAgain(was roster.Target, t *roster.Target) {
	t.Since = t.Changed // of two at one address the one that started last lives
	g.pool.Drop(was.Address)
	g.pool.Drop(t.Address)
	g.admit.StartedAgain(time.Now(), *t)
	g.log.Info().Str("event", "targetStartedAgain").Str("target", t.ID).Time("born", t.Born).
		Int64("beat", t.Beat).Int64("beatBefore", was.Beat).Msg("")
}

func (g *Gateway) removeTarget(id, why string) {
	t, found := g.roster.Get(id)
	if !found {
		return
	}
	if why != stayedMissing {
		g.left.note(time.Now(), t)
	}
	g.roster.Remove(id)
	g.admit.Forget(id)
	g.log.Info().Str("event", "targetGone").Str("target", id).Str("reason", why).Msg("")
}

// heardGone takes the word of a server that it is not the target that was expected at
// its address. The list may show that target for seconds yet.
func (g *Gateway) heardGone(id string) {
	if g.roster.Leave(id, time.Time{}) {
		g.log.Info().Str("event", "targetGone").Str("target", id).Str("reason", "anotherAnswers").Msg("")
	}
}

// leave takes the word of a target that it is about to end, unless it has started again since.
func (g *Gateway) leave(t roster.Target, since time.Time) {
	if known, found := g.roster.Get(t.ID); found && (known.SameLife(t) || t.SameLife(known)) {
		g.roster.Leave(t.ID, since)
	}
}

// lastUse is the part of the drain time in which targets that leave get requests while no other
// is left. It leaves what the store takes to tell, and a request to arrive.
const lastUse = 0.4

// serving are the targets of a service that take requests: of those that leave only if there is
// no other, as when a whole data centre is taken away.
func (g *Gateway) serving(service string) []roster.Target {
	if list := g.roster.Serving(service); len(list) > 0 {
		return list
	}
	last := time.Duration(lastUse * float64(g.bounds.Load().Drain))
	return g.roster.Draining(service, time.Now().Add(-last))
}

// settleTargets decides on targets that were held: those that stay missing are gone, and those
// of a copy whose entries have not lapsed live.
func (g *Gateway) settleTargets(now time.Time) {
	for _, t := range g.left.due(now) {
		g.changeTarget(feed.Change[roster.Target]{Name: t.ID, Object: t})
	}
	for _, id := range g.missing.due(now) {
		g.removeTarget(id, stayedMissing)
	}
}

// stayedMissing is why a target is gone that was not listed again after a trouble of the
// store. Its server may live, and have lost the store for longer.
const stayedMissing = "stayedMissing"

// missing holds targets that vanished from the list while the store was away. Their
// entries lapse when they can't be renewed, so all targets may vanish at once
// though they live; those that live are back soon after the store is.
type missing struct {
	mu      sync.Mutex
	trouble time.Time            // when a call to the store failed last
	until   map[string]time.Time // when a target is taken as gone
}

// recentTrouble is how long after a failed call the list may still lack targets
// that live.
const recentTrouble = 3 * time.Second

func newMissing() *missing { return &missing{until: make(map[string]time.Time)} }

func (m *missing) storeFailed(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.trouble = now
	for id := range m.until {
		m.until[id] = now.Add(missingWait)
	}
}

// renewed says that the store has come back from a copy. Servers that started since are not
// in it, and write their entries again.
func (m *missing) renewed(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.trouble = now
}

// hold tells whether a target that vanished is kept for now.
func (m *missing) hold(now time.Time, id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.trouble.IsZero() || now.Sub(m.trouble) > recentTrouble {
		return false
	}
	if _, held := m.until[id]; !held {
		m.until[id] = now.Add(missingWait)
	}
	return true
}

func (m *missing) found(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.until, id)
}

func (m *missing) due(now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var ids []string
	for id, t := range m.until {
		if !now.Before(t) {
			ids = append(ids, id)
			delete(m.until, id)
		}
	}
	return ids
}
