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
	// maxPreparedMaps is how many prepared maps a sidecar keeps: the active one, one whose
	// switch was aborted, and the next.
	maxPreparedMaps = 3
	// copyPollInterval is how often a sidecar checks whether its engine has copied the
	// experts; copying one takes at least 16 ms.
	copyPollInterval = 10 * time.Millisecond
)

// handleOrder forwards a planner's order to the engine.
func (c *Companion) handleOrder(ctx context.Context, o rankport.Order) rankport.OrderResult {
	if !c.knowsGroup() {
		// A sidecar that has just started does not know yet which group's planner may send it
		// orders.
		if _, err := c.report(ctx); err != nil {
			return rankport.OrderResult{Failed: err.Error()}
		}
	}
	term, accepted := c.acceptPlanner(o.Asker, time.Now())
	done := rankport.OrderResult{Term: term}
	if !accepted {
		done.Result = changeover.WrongState
		return done
	}
	if o.Order.Operation == changeover.Prepare && !c.resolveMap(&o) {
		done.NeedsMap = true
		return done
	}
	result, err := c.orderEngine(ctx, o.Order)
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
	// orderTimeout bounds one attempt to send an order to the engine on the same host, which
	// answers in a millisecond or two unless the answer is lost.
	orderTimeout = 40 * time.Millisecond
	// orderTries is how often an order is attempted; all attempts fit in the planner's own
	// timeout.
	orderTries = 4
)

// orderEngine sends an order to the engine until the engine answers or its report shows that
// the order was carried out. The whole group waits for each rank, so the retry after a lost
// answer is here and not in the planner, whose timeout is longer. An attempt that arrives
// late does not fit the engine's state by then and is refused.
func (c *Companion) orderEngine(ctx context.Context, o changeover.Order) (changeover.Result, error) {
	var result changeover.Result
	var err error
	for range orderTries {
		result, err = c.tryOrder(ctx, o)
		if result != changeover.Unanswered {
			return result, err
		}
		r, readErr := c.report(ctx)
		if readErr == nil && isCarriedOut(r, o) {
			return changeover.Accepted, nil
		}
	}
	return result, err
}

// tryOrder sends an order to the engine once.
func (c *Companion) tryOrder(ctx context.Context, o changeover.Order) (changeover.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return c.engines.Order(ctx, c.settings.Target.Address, o)
}

// isCarriedOut reports whether a report shows that an order was carried out.
func isCarriedOut(r changeover.Report, o changeover.Order) bool {
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
	case changeover.Release:
		return r.Held != o.Step
	case changeover.Disarm:
		return r.Armed == nil || r.Armed.Version != o.Version
	}
	return false
}

// awaitCopies waits until the engine has copied the experts of a map version. It returns Ready
// once it has, and Accepted if the wait ends before.
func (c *Companion) awaitCopies(ctx context.Context, version int64) changeover.Result {
	for end := time.Now().Add(rankport.PrepareWait); time.Now().Before(end); {
		r, err := c.engines.Report(ctx, c.settings.Target.Address)
		if err == nil && r.Prepared == version {
			return changeover.Ready
		}
		if !sleep(ctx, copyPollInterval) {
			break
		}
	}
	return changeover.Accepted
}

// resolveMap builds the map of an order from the changes in it, if the order has no map. It
// reports whether the order then has one.
func (c *Companion) resolveMap(o *rankport.Order) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o.Order.Map == nil {
		base := c.preparedMap(o.Base)
		if base == nil {
			return false
		}
		changes, err := rankport.DecodeDelta(o.Delta)
		if err != nil {
			return false
		}
		o.Order.Map, err = base.Apply(changes)
		if err != nil {
			return false
		}
	}
	c.rememberMap(o.Order.Map)
	return true
}

// rememberMap keeps a prepared map as the newest. The caller holds c.mu.
func (c *Companion) rememberMap(m *expertmap.Map) {
	c.preparedMaps = slices.DeleteFunc(c.preparedMaps, func(o *expertmap.Map) bool { return o.Equal(m) })
	c.preparedMaps = append(c.preparedMaps, m)
	if len(c.preparedMaps) > maxPreparedMaps {
		c.preparedMaps = c.preparedMaps[1:]
	}
}

// preparedMapLike returns a prepared map in which each rank has the same experts as in another map,
// except one rank that may have any; nil if there is none. With noRank no rank is excepted.
func (c *Companion) preparedMapLike(m *expertmap.Map, except int) *expertmap.Map {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range slices.Backward(c.preparedMaps) {
		if k.Shape() == m.Shape() && sameExperts(k, m, except) {
			return k
		}
	}
	return nil
}

// sameExperts reports whether each rank, except one, has the same experts in two maps, in any slots.
func sameExperts(a, b *expertmap.Map, except int) bool {
	s := a.Shape()
	for layer := range s.Layers {
		for rank := range s.Ranks {
			if rank != except && !slices.Equal(slices.Sorted(slices.Values(a.Row(layer, rank))), slices.Sorted(slices.Values(b.Row(layer, rank)))) {
				return false
			}
		}
	}
	return true
}

// preparedMap returns the prepared map with a digest, or nil. The caller holds c.mu.
func (c *Companion) preparedMap(digest string) *expertmap.Map {
	for _, m := range c.preparedMaps {
		if m.Digest().String() == digest {
			return m
		}
	}
	return nil
}
