package companion

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"wagtailshelf.example/wagtailshelf/platform"
)

const (
	// seekInterval between looks at whether a planner is needed.
	seekInterval = 100 * time.Millisecond
	// patience is how long a sidecar waits for a planner to ask before it seeks the
	// duty. Planners ask four times a second, so three of their looks were lost.
	patience = 900 * time.Millisecond
	// patienceSpread keeps the sidecars of a group from seeking at the same moment:
	// the first one that gets it asks all others within some tens of milliseconds.
	patienceSpread = 600 * time.Millisecond
	// storePause after a failed call.
	storePause = 400 * time.Millisecond
)

// seekPlanning takes up the planning of the group whenever nobody does it. The
// record in the store decides between several that try; that two plan at the same
// time for a moment is safe, as what engines check decides each change.
func (c *Companion) seekPlanning(ctx context.Context) error {
	quiet := patience + rand.N(patienceSpread)
	for sleep(ctx, seekInterval) {
		now := time.Now()
		c.mu.Lock()
		if c.heard.IsZero() {
			c.heard = now
		}
		waited := now.Sub(c.heard)
		c.mu.Unlock()
		if waited < quiet {
			continue
		}
		quiet = patience + rand.N(patienceSpread)
		report, err := c.engines.Report(ctx, c.settings.Target.Address)
		if err != nil || report.Ranks < 2 || !report.Open {
			c.wait()
			continue
		}
		term, err := c.take(ctx, "planner."+report.Group)
		if err != nil {
			c.log.Warn().Str("event", "planningNotTaken").Str("group", report.Group).Err(err).Msg("")
			c.wait()
			sleep(ctx, storePause)
			continue
		}
		c.plan(ctx, report, term)
		c.wait()
	}
	return nil
}

// wait begins the sidecar's patience anew.
func (c *Companion) wait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heard = time.Now()
}

// take makes this process the holder of a duty. The revision of the record is the
// term, which rises with each holder.
func (c *Companion) take(ctx context.Context, duty string) (int64, error) {
	was, err := c.store.Duty(ctx, duty)
	if err != nil {
		return 0, err
	}
	term, err := c.store.TakeDuty(ctx, was, string(c.settings.Name))
	if err == nil {
		return term, nil
	}
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrNotDone) {
		return 0, err
	}
	// The answer may be lost and the record written.
	is, readErr := c.store.Duty(ctx, duty)
	if readErr == nil && is.Holder == string(c.settings.Name) && is.Revision > was.Revision {
		return is.Revision, nil
	}
	return 0, err
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
