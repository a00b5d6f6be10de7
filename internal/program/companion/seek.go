package companion

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"

	"wagtailshelf.example/wagtailshelf/internal/expert/changeover"
	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/platform"
)

const (
	// leaderCheckInterval is the time between checks whether a planner is needed.
	leaderCheckInterval = 50 * time.Millisecond
	// plannerTimeout is how long a sidecar waits for a planner's poll before it seeks the
	// leadership. Planners poll some ten times a second, and a poll takes 0.4 s if a rank
	// does not answer.
	plannerTimeout = 700 * time.Millisecond
	// baseTurnTime is how much longer each next sidecar of a group waits. The one that
	// acquires the leadership has polled all others some 50 ms later.
	baseTurnTime = 150 * time.Millisecond
	// largeGroup is the number of ranks up to which baseTurnTime is enough, and
	// turnTimePerRank is added for each rank above it.
	largeGroup      = 16
	turnTimePerRank = 2500 * time.Microsecond
	// storeRetryPause is the pause after a failed call of the store.
	storeRetryPause = 400 * time.Millisecond
)

// seekLeadership takes over the planning of the group whenever it has no planner. The
// record in the store decides between several candidates. Two planners at the same time
// for a moment are safe, because the engines' own checks decide each map switch.
func (c *Companion) seekLeadership(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-c.socketOpen: // a planner that can't send updates would be of no use
	}
	var turn leadershipTurn
	for sleep(ctx, leaderCheckInterval) {
		now := time.Now()
		waited, planner := c.plannerSilence(now)
		if waited < plannerTimeout {
			turn = leadershipTurn{}
			continue
		}
		report, err := c.report(ctx)
		if err != nil || report.Ranks < 2 {
			c.resetPlannerTimeout(time.Now())
			continue
		}
		if turn.isDue(now, report, planner) {
			c.lead(ctx, report)
			turn = leadershipTurn{}
		}
	}
	return nil
}

// leadershipTurn is a sidecar's wait for its turn as a leadership candidate, after
// plannerTimeout.
type leadershipTurn struct {
	openSince time.Time // when the group was first seen open; zero while it is closed
}

// isDue reports whether it is the turn of the rank with this report, given the rank of the
// last planner.
//
// The turns begin when the group is seen open: a closed group needs no planning, and reading
// its engines' reports repeatedly costs nothing. When plannerTimeout was restarted each time
// instead, the first map after a power loss of all hosts came 0.3 to 0.7 s after the group
// had opened, and callers waited for steps that took three times as long as necessary.
func (t *leadershipTurn) isDue(now time.Time, own changeover.Report, planner int) bool {
	if !own.Open {
		t.openSince = time.Time{}
		return false
	}
	if t.openSince.IsZero() {
		t.openSince = now
	}
	return now.Sub(t.openSince) >= turnTime(own.Ranks)*time.Duration(turnOf(own.Rank, planner, own.Ranks))
}

// turnTime returns how much longer each next sidecar of a group waits. When it was the same for
// all groups, the second sidecar of a large group acquired the leadership before the first had
// polled it, and callers waited for a held step while the second one repeated the rank assignment.
func turnTime(ranks int) time.Duration {
	return baseTurnTime + turnTimePerRank*time.Duration(max(ranks-largeGroup, 0))
}

// lead acquires the leadership of the group, if possible, and plans until it is lost.
func (c *Companion) lead(ctx context.Context, own changeover.Report) {
	term, err := c.acquireLeadership(ctx, c.leadershipRecord(own.Group))
	if err != nil {
		c.log.Warn().Str("event", "planningNotTaken").Str("group", string(own.Group)).Err(err).Msg("")
		c.resetPlannerTimeout(time.Now())
		sleep(ctx, storeRetryPause+rand.N(baseTurnTime))
		return
	}
	c.plan(ctx, own, term)
	c.resetPlannerTimeout(time.Now())
}

// turnOf returns how many of a group's ranks have their turn before the given one when the
// planner at another rank has failed. Consecutive turns go to ranks far from each other: the
// ranks next to the planner's may have failed with it.
func turnOf(rank, planner, ranks int) int {
	const golden = 0.618
	stride := max(int(golden*float64(ranks)), 1)
	for gcd(stride, ranks) != 1 {
		stride--
	}
	for n, at := 0, planner; n < ranks; n++ {
		at = (at + stride) % ranks
		if at == rank {
			return n
		}
	}
	return ranks
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

var errNewHolder = merry.New("another process has just acquired the leadership")

// leadershipRecord returns the name of the store's record of the planner of a group. It
// contains the service, because two services may have groups of the same name.
func (c *Companion) leadershipRecord(group roster.GroupName) string {
	return "planner." + c.settings.Target.Service + "." + string(group)
}

// acquireLeadership makes this process the holder of a leadership record and returns its term:
// the position of the record, which increases with each holder.
func (c *Companion) acquireLeadership(ctx context.Context, name string) (int64, error) {
	before, err := c.store.ReadLeadership(ctx, name)
	switch {
	case errors.Is(err, platform.ErrMalformed) && before.Position.Revision != 0:
		// Another writer has damaged the record. It is replaced: otherwise the group would
		// never have a planner again.
		c.malformed.Report(name, err)
	case err != nil:
		return 0, err
	}
	if c.isNewHolder(time.Now(), before) {
		return 0, errNewHolder
	}
	position, err := c.store.TakeLeadership(ctx, before, string(c.settings.Name))
	if err == nil {
		return position.Term(), nil
	}
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrRefused) {
		return 0, err
	}
	// The record may have been written although the store's answer was lost.
	after, readErr := c.store.ReadLeadership(ctx, name)
	if readErr == nil && after.Holder == string(c.settings.Name) && before.Position.Before(after.Position) {
		return after.Position.Term(), nil
	}
	return 0, err
}

// sleep waits for a time. It returns false if the context ends before.
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
