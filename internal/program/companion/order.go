package companion

import (
	"context"
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/changeover"
	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/wire/rankport"
)

const (
	// keptMaps is how many prepared maps a sidecar keeps: the one in force, one that
	// was given up, and the next.
	keptMaps = 3
	// copyPoll is how often a sidecar looks whether its engine has copied the experts;
	// one takes from 16 ms.
	copyPoll = 10 * time.Millisecond
)

// order carries a planner's order to the engine.
func (c *Companion) order(ctx context.Context, o rankport.Order) rankport.Done {
	if !c.isGrouped() {
		// A sidecar that has just started does not know yet whose orders it takes.
		if _, err := c.report(ctx); err != nil {
			return rankport.Done{Failed: err.Error()}
		}
	}
	term, follows := c.follow(o.Asker, time.Now())
	done := rankport.Done{Term: term}
	if !follows {
		done.Result = changeover.Unfit
		return done
	}
	if o.Order.Operation == changeover.Prepare && !c.completeMap(&o) {
		done.NeedsMap = true
		return done
	}
	result, err := c.give(ctx, o.Order)
	if result == changeover.Accepted && o.Order.Operation == changeover.Prepare {
		result = c.awaitCopies(ctx, o.Order.Version)
	}
	done.Result = result
	if err != nil {
		done.Failed = err.Error()
	}
	if err != nil || result != changeover.Accepted && result != changeover.Ready {
		c.log.Warn().Str("event", "order").Stringer("operation", o.Order.Operation).Int64("version", o.Order.Version).
			Int64("step", o.Order.Step).Uint8("result", uint8(result)).Err(err).Msg("")
	}
	return done
}

const (
	// giveTimeout bounds a try of an order to the engine on the same host, which
	// answers in a millisecond or two unless the answer is lost.
	giveTimeout = 40 * time.Millisecond
	// giveTries of an order, all within the planner's own timeout.
	giveTries = 4
)

// give gives an order to the engine until it is answered or seen carried out. The
// whole group waits for each rank, so a lost answer is made up for here and not by
// the planner, whose timeout is longer. A try that is carried out later finds a state
// that it does not fit.
func (c *Companion) give(ctx context.Context, o changeover.Order) (changeover.Result, error) {
	var result changeover.Result
	var err error
	for range giveTries {
		result, err = c.giveOnce(ctx, o)
		if result != changeover.NoAnswer {
			return result, err
		}
		r, readErr := c.report(ctx)
		if readErr == nil && shows(r, o) {
			return changeover.Accepted, nil
		}
	}
	return result, err
}

func (c *Companion) giveOnce(ctx context.Context, o changeover.Order) (changeover.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, giveTimeout)
	defer cancel()
	return c.engines.Order(ctx, c.settings.Target.Address, o)
}

// shows tells whether a report shows that an order was carried out.
func shows(r changeover.Report, o changeover.Order) bool {
	if r.Epoch != o.Epoch {
		return false
	}
	switch o.Operation {
	case changeover.Prepare:
		return r.Prepared == o.Version
	case changeover.Arm:
		return r.Armed != nil && *r.Armed == changeover.Arming{Version: o.Version, Step: o.Step}
	case changeover.Hold:
		return r.Held == o.Step
	case changeover.Go:
		return r.Held != o.Step
	case changeover.Disarm:
		return r.Armed == nil || r.Armed.Version != o.Version
	}
	return false
}

// awaitCopies waits until the engine has the experts of a version.
func (c *Companion) awaitCopies(ctx context.Context, version int64) changeover.Result {
	for end := time.Now().Add(rankport.PrepareWait); time.Now().Before(end); {
		r, err := c.engines.Report(ctx, c.settings.Target.Address)
		if err == nil && r.Prepared == version {
			return changeover.Ready
		}
		if !sleep(ctx, copyPoll) {
			break
		}
	}
	return changeover.Accepted
}

// completeMap makes the map of an order from the changes in it. It tells whether
// the order has a map.
func (c *Companion) completeMap(o *rankport.Order) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o.Order.Map == nil {
		base := c.kept(o.Base)
		if base == nil {
			return false
		}
		changes, err := rankport.UnpackChanges(o.Changes)
		if err != nil {
			return false
		}
		o.Order.Map, err = base.Apply(changes)
		if err != nil {
			return false
		}
	}
	c.keep(o.Order.Map)
	return true
}

// keep remembers a prepared map as the newest. The caller holds the lock.
func (c *Companion) keep(m *expertmap.Map) {
	c.maps = slices.DeleteFunc(c.maps, func(o *expertmap.Map) bool { return o.Equal(m) })
	c.maps = append(c.maps, m)
	if len(c.maps) > keptMaps {
		c.maps = c.maps[1:]
	}
}

// keptAs returns a prepared map whose ranks have the experts that they have in another one, but for
// one rank that may have any; nil if none is kept. Nobody is at -1.
func (c *Companion) keptAs(m *expertmap.Map, but int) *expertmap.Map {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range slices.Backward(c.maps) {
		if k.Shape() == m.Shape() && sameRows(k, m, but) {
			return k
		}
	}
	return nil
}

// sameRows tells whether ranks have the same experts in two maps, in whatever slots.
func sameRows(a, b *expertmap.Map, but int) bool {
	s := a.Shape()
	for layer := range s.Layers {
		for rank := range s.Ranks {
			if rank != but && !slices.Equal(slices.Sorted(slices.Values(a.Row(layer, rank))), slices.Sorted(slices.Values(b.Row(layer, rank)))) {
				return false
			}
		}
	}
	return true
}

// kept returns the map with a digest, or nil.
func (c *Companion) kept(digest string) *expertmap.Map {
	for _, m := range c.maps {
		if m.Digest().String() == digest {
			return m
		}
	}
	return nil
}
