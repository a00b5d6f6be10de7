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
	// seekInterval between looks at whether a planner is needed.
	seekInterval = 50 * time.Millisecond
	// patience is how long a sidecar waits for a planner to ask before it seeks the
	// duty. Planners ask some ten times a second, and take 0.4 s for a look that a rank
	// does not answer.
	patience = 700 * time.Millisecond
	// patiencePerRank is how much longer the next of a group's sidecars waits. The one
	// that gets the duty has asked all others some 50 ms later.
	patiencePerRank = 150 * time.Millisecond
	// largeGroup is up to how many ranks that holds, and patiencePerMore how much longer it
	// takes for each further one.
	largeGroup      = 16
	patiencePerMore = 2500 * time.Microsecond
	// storePause after a failed call.
	storePause = 400 * time.Millisecond
)

// seekPlanning takes up the planning of the group whenever nobody does it. The
// record in the store decides between several that try; that two plan at the same
// time for a moment is safe, as what engines check decides each change.
func (c *Companion) seekPlanning(ctx context.Context) error {
	var s seeking
	for sleep(ctx, seekInterval) {
		now := time.Now()
		waited, planner := c.silence(now)
		if waited < patience {
			s = seeking{}
			continue
		}
		report, err := c.report(ctx)
		if err != nil || report.Ranks < 2 {
			c.wait(time.Now())
			continue
		}
		if s.due(now, report, planner) {
			c.takeUp(ctx, report)
			s = seeking{}
		}
	}
	return nil
}

// seeking is a sidecar's wait for its turn, once its patience with the planner is over.
type seeking struct {
	open time.Time // when the group was seen open since; zero while it is not
}

// due tells whether it is the turn of the rank that says this, after a planner beside
// another one.
//
// The turns begin as the group is seen open: a closed one has nothing to plan, and its
// engines are asked again and again, which is free. When the patience began anew each
// time, the first map after a loss of power everywhere came 0.3 to 0.7 s after the group
// had opened, and callers waited for passes that took three times as long as they need to.
func (s *seeking) due(now time.Time, own changeover.Report, planner int) bool {
	if !own.Open {
		s.open = time.Time{}
		return false
	}
	if s.open.IsZero() {
		s.open = now
	}
	return now.Sub(s.open) >= turnTime(own.Ranks)*time.Duration(turnOf(own.Rank, planner, own.Ranks))
}

// turnTime is how much longer the next of a group's sidecars waits. When it was the same for
// all groups, the second in turn of a large one took the duty before the first had asked it,
// and callers waited for a held pass while it found out anew which server is which rank.
func turnTime(ranks int) time.Duration {
	return patiencePerRank + patiencePerMore*time.Duration(max(ranks-largeGroup, 0))
}

// takeUp plans for the group until the duty is lost, if it can be had.
func (c *Companion) takeUp(ctx context.Context, own changeover.Report) {
	term, err := c.take(ctx, c.duty(own.Group))
	if err != nil {
		c.log.Warn().Str("event", "planningNotTaken").Str("group", string(own.Group)).Err(err).Msg("")
		c.wait(time.Now())
		sleep(ctx, storePause+rand.N(patiencePerRank))
		return
	}
	c.plan(ctx, own, term)
	c.wait(time.Now())
}

// turnOf is how many of a group's ranks come before one in seeking the duty, after the
// planner beside another rank. Ranks far from each other follow each other: those beside
// the planner's may have failed with it.
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

var errTakenLately = merry.New("another process has just taken the duty")

// duty names the record of who plans for a group. Two services may have groups of the
// same name.
func (c *Companion) duty(group roster.GroupName) string {
	return "planner." + c.settings.Target.Service + "." + string(group)
}

// take makes this process the holder of a duty. The term is the position of the record,
// which rises with each holder.
func (c *Companion) take(ctx context.Context, duty string) (int64, error) {
	was, err := c.store.Duty(ctx, duty)
	switch {
	case errors.Is(err, platform.ErrMalformed) && was.Position.Revision != 0:
		// Another writer's. Left alone, nobody would ever plan for the group.
		c.bad.Note(duty, err)
	case err != nil:
		return 0, err
	}
	if c.takenLately(time.Now(), was) {
		return 0, errTakenLately
	}
	at, err := c.store.TakeDuty(ctx, was, string(c.settings.Name))
	if err == nil {
		return at.Term(), nil
	}
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrNotDone) {
		return 0, err
	}
	// The answer may be lost and the record written.
	is, readErr := c.store.Duty(ctx, duty)
	if readErr == nil && is.Holder == string(c.settings.Name) && was.Position.Before(is.Position) {
		return is.Position.Term(), nil
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
