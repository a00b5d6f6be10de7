package companion

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"wagtailshelf.example/wagtailshelf/internal/expert/changeover"
	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/expert/places"
	"wagtailshelf.example/wagtailshelf/internal/expert/plan"
	"wagtailshelf.example/wagtailshelf/internal/expert/seating"
	"wagtailshelf.example/wagtailshelf/internal/program/task"
	"wagtailshelf.example/wagtailshelf/internal/traffic/routing"
	"wagtailshelf.example/wagtailshelf/internal/wire/rankport"
)

// keepRebalancing switches the map whenever that is worth it. A round begins as soon as a poll
// has ended, and the next poll begins as soon as a map switch has ended: a rank copies one expert
// at a time, and its link was idle for more than half of the time while both used fixed
// intervals (a switch each 0.37 s, of which the copy took 0.16 s).
func (p *planner) keepRebalancing(ctx context.Context) {
	var lastErr error // why the last round failed
	for p.awaitView(ctx) {
		v := p.lastView()
		// A view that began before the last switch ended shows the switch half done.
		if v.ranks == nil || !v.beganAt.After(p.changedAt) {
			continue
		}
		err := p.rebalanceRound(ctx, v)
		// A rank may be lost for seconds, and each round fails with the same error: it is
		// logged once.
		if err != nil && (lastErr == nil || err.Error() != lastErr.Error()) {
			p.c.log.Warn().Str("event", "moveHeldUp").Err(err).Msg("")
		}
		lastErr = err
	}
}

// awaitView waits for a poll to end. It returns false if the context has ended.
func (p *planner) awaitView(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-p.polled:
		return true
	}
}

// rebalanceRound adapts the map to the view, or recovers the group if a map switch was left
// unfinished.
func (p *planner) rebalanceRound(ctx context.Context, v view) error {
	if v.epoch != p.epoch {
		p.c.log.Info().Str("event", "epoch").Str("group", string(p.group)).Int64("epoch", v.epoch).Int64("before", p.epoch).Msg("")
		p.epoch, p.lastStep, p.highestVersion = v.epoch, 0, 0
		p.setActiveMap(nil, 0)
	}
	if len(v.lost) > 0 {
		return p.recoverWithoutRank(ctx, v)
	}
	if p.isSwitchPending(v.reports) {
		return nil
	}
	if p.activeMap == nil || v.reports[0].Map != p.version {
		if err := p.readActiveMap(ctx, v); err != nil {
			return err
		}
	}
	if changeover.Unfinished(v.reports) {
		return p.recoverGroup(ctx, v)
	}
	return p.rebalance(ctx, v)
}

// isSwitchPending reports whether the last map switch is complete except that its step has not
// begun.
func (p *planner) isSwitchPending(reports []changeover.Report) bool {
	armed := false
	for _, r := range reports {
		if r.Held != 0 || r.Armed != nil && *r.Armed != p.pending {
			return false
		}
		armed = armed || r.Armed != nil
	}
	return armed
}

// recoverWithoutRank releases the group if the process that switched its map froze in the middle
// of that, together with its rank. The map is not switched while ranks are lost.
func (p *planner) recoverWithoutRank(ctx context.Context, v view) error {
	if len(v.lost) != 1 || !changeover.Unfinished(v.reports) {
		return nil
	}
	lost := v.lost[0]
	fence, _, err := p.readLists(ctx, v)
	if err != nil {
		return err
	}
	if !fence.AddMissing(lost) {
		return merry.Wrap(seating.ErrIncomplete, merry.AppendMessage("the lost rank has no free expert slots for the experts that no other rank has"))
	}
	p.highestVersion = changeover.NextVersion(v.reports, p.highestVersion, p.incarnation)
	begin := time.Now()
	fence = p.fenceMap(fence, lost)
	err = p.changeoverGroup(v).RecoverWithout(ctx, lost, p.highestVersion, fence)
	if err != nil {
		return err
	}
	p.c.log.Info().Str("event", "recoveredWithout").Int("rank", lost).Dur("took", time.Since(begin)).Msg("")
	p.changedAt = time.Now()
	return nil
}

// noRank stands for no rank.
const noRank = -1

// fenceMap returns the map to fence ranks with: a prepared one in which the ranks, except one, have
// the same experts as in the given map, or else the given map. A prepared map is sent to the sidecars
// as its digest: otherwise all callers wait while the complete map goes to each sidecar over the
// planner's link.
func (p *planner) fenceMap(m *expertmap.Map, except int) *expertmap.Map {
	p.delta = nil
	prepared := p.c.preparedMapLike(m, except)
	if prepared == nil {
		return m
	}
	p.delta = newMapDelta(prepared, prepared)
	return prepared
}

// readActiveMap reads the active map from all ranks.
func (p *planner) readActiveMap(ctx context.Context, v view) error {
	m, version, err := p.readLists(ctx, v)
	if err == nil {
		p.setActiveMap(m, version)
	}
	return err
}

// setActiveMap records the active map and its version; the map is nil while it is not known.
func (p *planner) setActiveMap(m *expertmap.Map, version int64) {
	p.activeMap, p.version = m, version
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sharedMap = m
}

// readLists reads which experts the ranks hold, except lost ranks.
func (p *planner) readLists(ctx context.Context, v view) (*expertmap.Map, int64, error) {
	shape := expertmap.Shape{Layers: v.engineConfig.LayerSets, Experts: v.engineConfig.Experts, Ranks: len(v.ranks), Slots: v.engineConfig.ExpertSlots}
	m, err := expertmap.New(shape)
	if err != nil {
		return nil, 0, err
	}
	lists := make([]changeover.Lists, len(v.ranks))
	errs := make([]error, len(v.ranks))
	var wg sync.WaitGroup
	for rank, s := range v.ranks {
		if slices.Contains(v.lost, rank) {
			continue
		}
		wg.Go(func() {
			state, err := p.pollRank(ctx, s, rankport.Poll{WantLists: true})
			lists[rank], errs[rank] = state.Lists, err
		})
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return nil, 0, err
	}
	version := v.firstReport().Map
	for rank, l := range lists {
		if slices.Contains(v.lost, rank) {
			continue
		}
		if err := fillRank(m, rank, version, l); err != nil {
			return nil, 0, err
		}
	}
	return m, version, nil
}

// fillRank writes the experts that a rank holds into a map. It fails if the list is of another
// version.
func fillRank(m *expertmap.Map, rank int, version int64, l changeover.Lists) error {
	shape := m.Shape()
	if l.Version != version || len(l.Experts) != shape.Layers {
		return merry.Wrap(seating.ErrIncomplete, merry.AppendMessage("the ranks list the experts of different maps"))
	}
	for layer, row := range l.Experts {
		if len(row) > shape.Slots {
			return merry.Wrap(seating.ErrIncomplete, merry.AppendMessage("a rank lists more experts than it has expert slots"))
		}
		for slot, e := range row {
			m.Set(layer, rank, slot, uint16(e))
		}
	}
	return nil
}

// checkReachable fails if a rank does not answer now. The sidecars are pinged, and a rank is polled
// only if its sidecar does not answer: the sidecar alone may have ended.
func (p *planner) checkReachable(ctx context.Context, v view) error {
	begin := time.Now()
	own := p.ownRank(v.ranks)
	var sidecars []netip.AddrPort
	for rank, s := range v.ranks {
		if rank != own && s.target != "" {
			sidecars = append(sidecars, s.sidecarAddr)
		}
	}
	silent := p.c.socket.Unresponsive(ctx, sidecars)
	var unconfirmed []*modelServer
	for rank, s := range v.ranks {
		if rank != own && (s.target == "" || slices.Contains(silent, s.sidecarAddr)) {
			unconfirmed = append(unconfirmed, s)
		}
	}
	if err := p.checkAnswers(ctx, begin, unconfirmed); err != nil {
		return err
	}
	if latest := p.lastView(); len(latest.lost) > 0 || !latest.serving {
		return merry.Wrap(seating.ErrIncomplete, merry.AppendMessagef("ranks %v don't answer", latest.lost))
	}
	return nil
}

// maxPromptPollRanks is the size of the largest group that is polled right after each map switch, so
// that the next switch follows sooner. The planner of a larger group has no processor time for these
// polls, and callers would wait for the planner.
const maxPromptPollRanks = 16

// checkAnswers polls ranks. It fails if one does not answer and has not answered since a time.
func (p *planner) checkAnswers(ctx context.Context, since time.Time, ranks []*modelServer) error {
	if len(ranks) == 0 {
		return nil
	}
	_, errs := p.pollServers(ctx, ranks, func(int) rankport.Poll { return rankport.Poll{} })
	for index, err := range errs {
		switch {
		case err == nil:
		case !errors.Is(err, errNoAnswer):
			return err
		case !p.awaitAnswer(ctx, ranks[index], since):
			// If the rank were ignored, it would be ordered to arm, and the step would be held until
			// its host is back.
			return merry.Wrap(seating.ErrIncomplete, merry.AppendMessagef("target %s does not answer", ranks[index].target))
		}
	}
	return nil
}

// awaitAnswer waits for a rank whose poll is under way. It reports whether the rank has answered
// since a time.
func (p *planner) awaitAnswer(ctx context.Context, s *modelServer, since time.Time) bool {
	for end := time.Now().Add(pollGrace); ; {
		if at := s.lastAnswer.Load(); at != nil && at.After(since) {
			return true
		}
		if !time.Now().Before(end) || !sleep(ctx, switchPollInterval) {
			return false
		}
	}
}

// changeoverGroup returns the group as package changeover accesses it.
func (p *planner) changeoverGroup(v view) *changeover.Group {
	own := p.ownRank(v.ranks)
	return &changeover.Group{
		Reachable: func(ctx context.Context) error { return p.checkReachable(ctx, v) },
		Ranks:     len(v.ranks),
		Epoch:     v.epoch,
		Order: func(ctx context.Context, rank int, o changeover.Order) (res changeover.Result) {
			err := task.Guard(func() error {
				if rank == own {
					res = p.orderOwnEngine(ctx, o)
				} else {
					res = p.sendOrder(ctx, v.ranks[rank], o)
				}
				return nil
			})
			if err != nil {
				task.Report(p.c.log, "order", err)
				return changeover.Unanswered
			}
			return res
		},
		ReadReport: func(ctx context.Context, rank int) (changeover.Report, error) {
			state, err := p.pollRank(ctx, v.ranks[rank], rankport.Poll{})
			return state.Report, err
		},
		OnPrepared: func() {
			p.preparedAt = time.Now()
			p.switching.Store(true)
		},
		Pause: func(ctx context.Context, d time.Duration) { sleep(ctx, d) },
		OnRejected: func(what string, rank int, r changeover.Result) {
			p.c.log.Warn().Str("event", "orderFailed").Str("operation", what).Int("rank", rank).Uint8("result", uint8(r)).Msg("")
		},
	}
}

// orderOwnEngine sends an order to the engine on this host.
func (p *planner) orderOwnEngine(ctx context.Context, o changeover.Order) changeover.Result {
	return p.c.handleOrder(ctx, rankport.Order{Asker: p.asker, Order: o}).Result
}

// sendOrder sends an order to a rank, through its sidecar or directly to its engine.
func (p *planner) sendOrder(ctx context.Context, s *modelServer, o changeover.Order) changeover.Result {
	if o.Operation == changeover.Hold || o.Operation == changeover.Release {
		// Directly to the engine: one process fewer that may freeze while a step is held,
		// and one hop less in the time for which it is held.
		result, err := p.c.engines.Order(ctx, s.engineAddr, o)
		if err == nil || o.Operation == changeover.Hold {
			return result
		}
	}
	m := rankport.Order{Asker: p.asker, Order: o}
	if o.Operation == changeover.Prepare && p.delta != nil {
		m.Order.Map, m.Base, m.Delta = nil, p.delta.baseDigest, p.delta.changes
	}
	result, err := p.c.peers.Order(ctx, s.sidecarAddr, m)
	if errors.Is(err, rankport.ErrNeedsMap) {
		m = rankport.Order{Asker: p.asker, Order: o}
		result, err = p.c.peers.Order(ctx, s.sidecarAddr, m)
	}
	if err == nil || errors.Is(err, rankport.ErrSuperseded) {
		return result
	}
	if isSilent(err) && (o.Operation == changeover.Prepare || o.Operation == changeover.Arm) {
		// The sidecar may be alive and follow a newer planner, and would then not have
		// forwarded these orders; see [changeover.Group.RecoverWithout].
		return changeover.Unanswered
	}
	// The sidecar is gone, or may have forwarded the order. Sending it twice does no harm:
	// the second one finds the state that it asks for, or is refused because it does not fit.
	result, _ = p.c.engines.Order(ctx, s.engineAddr, o)
	return result
}

// mapDelta describes a new map to sidecars that have the previous one: the digest of the previous
// map and the changes that lead to the new one.
type mapDelta struct {
	baseDigest string
	changes    []byte
}

// newMapDelta returns the delta between two maps, or nil if they have different shapes.
func newMapDelta(from, to *expertmap.Map) *mapDelta {
	list, err := expertmap.SlotChanges(from, to)
	if err != nil {
		return nil // the complete map is sent
	}
	return &mapDelta{baseDigest: from.Digest().String(), changes: rankport.EncodeDelta(list)}
}

// rebalance switches to a better map if the demand calls for one.
func (p *planner) rebalance(ctx context.Context, v view) error {
	if !v.matches(p.activeMap) {
		p.setActiveMap(nil, 0) // so that it is read again
		return merry.Wrap(seating.ErrIncomplete, merry.AppendMessage("the map has another shape than the configuration"))
	}
	planned := time.Now()
	skew := plan.Skew(p.activeMap, v.demand, places.Slowdowns(v.reports))
	next := plan.Follow(p.activeMap, v.demand, places.Slowdowns(v.reports), plan.FollowLimits{MaxCopiesPerLayer: v.engineConfig.MaxCopies, MaxCopiesPerRank: copiesWithin(maxCopyTime, v.engineConfig), MinGain: minGain, EvenLoad: places.ToleratedSkew(v.stepTime, v.gapGoal)})
	if next == nil {
		return nil
	}
	p.highestVersion = changeover.NextVersion(v.reports, p.highestVersion, p.incarnation)
	begin := time.Now()
	p.preparedAt = begin
	copies, mostPerRank := countCopies(p.activeMap, next)
	p.delta = newMapDelta(p.activeMap, next)
	defer p.switching.Store(false)
	step, err := p.changeoverGroup(v).Run(ctx, changeover.MapSwitch{Version: p.highestVersion, Map: next, Own: p.ownRank(v.ranks), Ahead: v.stepsAhead, After: p.lastStep})
	p.lastStep = max(p.lastStep, step)
	p.c.log.Info().Str("event", "change").Int64("version", p.highestVersion).Int64("step", step).
		Float64("skew", skew).Float64("planned", plan.Skew(next, v.demand, places.Slowdowns(v.reports))).
		Int("copies", copies).Int("mostCopies", mostPerRank).Dur("countsAge", planned.Sub(v.countedAt)).
		Dur("planTook", begin.Sub(planned)).Dur("prepareTook", p.preparedAt.Sub(begin)).
		Dur("took", time.Since(begin)).Err(err).Msg("")
	p.changedAt = time.Now()
	if len(v.ranks) <= maxPromptPollRanks {
		signal(p.switched)
	}
	p.setActiveMap(nil, 0)
	if err == nil {
		p.setActiveMap(next, p.highestVersion)
		p.pending = changeover.Arming{Version: p.highestVersion, Step: step}
	}
	return nil
}

// copiesWithin returns how many experts a rank copies in a time, at least 1.
func copiesWithin(d time.Duration, e *routing.Engine) int {
	if e.CopyTime <= 0 {
		return e.LayerSets * e.MaxCopies
	}
	return max(int(d/e.CopyTime), 1)
}

// countCopies returns how many experts are copied for a map switch, by all ranks together and by
// the rank that copies the most.
func countCopies(from, to *expertmap.Map) (all, mostPerRank int) {
	d, err := expertmap.Diff(from, to)
	if err != nil {
		return 0, 0 // the maps of one group have the same shape
	}
	for _, n := range d.LoadsPerRank(from.Shape().Ranks) {
		all += n
		mostPerRank = max(mostPerRank, n)
	}
	return all, mostPerRank
}

// recoverGroup releases a group that was left in the middle of a map switch.
func (p *planner) recoverGroup(ctx context.Context, v view) error {
	p.highestVersion = changeover.NextVersion(v.reports, p.highestVersion, p.incarnation)
	begin := time.Now()
	highestVersion, err := p.changeoverGroup(v).Recover(ctx, p.ownRank(v.ranks), p.highestVersion, p.fenceMap(p.activeMap, noRank))
	p.highestVersion = highestVersion
	p.c.log.Info().Str("event", "recovered").Dur("took", time.Since(begin)).Err(err).Msg("")
	p.changedAt = time.Now()
	return err
}
