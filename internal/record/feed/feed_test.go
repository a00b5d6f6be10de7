package feed

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/record/position"
)

// script returns the responses of a store one by one, then ends the feed.
type script struct {
	steps   []step
	calls   []string
	listed  []Page[int]
	changed []Page[int]
	failed  []error
}

type step struct {
	page Page[int]
	err  error
}

func (s *script) run(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var eras position.Eras
	next := func(call string) (Page[int], error) {
		s.calls = append(s.calls, call)
		if len(s.steps) == 0 {
			cancel()
			return Page[int]{}, ctx.Err()
		}
		nextStep := s.steps[0]
		s.steps = s.steps[1:]
		nextStep.page.Era = eras.Era() // the store reports no era
		return nextStep.page, nextStep.err
	}
	f := &Feed[int]{
		Eras:    &eras,
		List:    func(context.Context) (Page[int], error) { return next("list") },
		Watch:   func(context.Context, int64, time.Duration) (Page[int], error) { return next("watch") },
		Listed:  func(_ time.Time, p Page[int]) { s.listed = append(s.listed, p) },
		Changed: func(_ time.Time, p Page[int]) { s.changed = append(s.changed, p) },
		Failed:  func(_ time.Time, err error) { s.failed = append(s.failed, err) },
	}
	f.Run(ctx, time.Now)
}

func at(revision int64) step { return step{page: Page[int]{Revision: revision}} }

func TestListsThenWatches(t *testing.T) {
	s := &script{steps: []step{at(3), at(4), at(4)}}
	s.run(t)
	require.Equal(t, []string{"list", "watch", "watch", "watch"}, s.calls)
	require.Len(t, s.listed, 1)
	require.Len(t, s.changed, 2)
}

// The store has dropped its history. Only a list shows what changed since.
func TestHistoryGone(t *testing.T) {
	s := &script{steps: []step{at(3), {err: ErrHistoryGone}, at(9), at(9)}}
	s.run(t)
	require.Equal(t, []string{"list", "watch", "list", "watch", "watch"}, s.calls)
	require.Len(t, s.listed, 2)
}

// A watch fails. The next one continues from the same revision, and the failure and the
// first success after it are reported once each.
func TestWatchIsCut(t *testing.T) {
	cut := errors.New("cut")
	s := &script{steps: []step{at(3), {err: cut}, at(4)}}
	s.run(t)
	require.Equal(t, []string{"list", "watch", "watch", "watch"}, s.calls)
	require.Equal(t, []error{cut, nil}, s.failed)
}

// A watch returns an older state. The process must not go back to it.
func TestOlderState(t *testing.T) {
	s := &script{steps: []step{at(9), at(5), at(10)}}
	s.run(t)
	require.Empty(t, s.changed)
	require.Len(t, s.listed, 2)
	require.Equal(t, int64(10), s.listed[1].Revision)
}

// Hundreds of objects are written one after the other. If each feed made a call for each of
// them, the feeds of all processes would together use up the store's rate.
func TestChangesSettle(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	watched := 0
	f := &Feed[int]{
		List: func(context.Context) (Page[int], error) { return Page[int]{Revision: 1}, nil },
		Watch: func(context.Context, int64, time.Duration) (Page[int], error) {
			watched++
			return Page[int]{Revision: 2, Changes: []Change[int]{{Name: "a"}}}, nil
		},
		Listed:            func(time.Time, Page[int]) {},
		Changed:           func(time.Time, Page[int]) { time.AfterFunc(10*time.Millisecond, cancel) },
		Failed:            func(time.Time, error) {},
		PauseAfterChanges: time.Hour,
	}
	f.Run(ctx, time.Now)
	require.Equal(t, 1, watched)
}

// The store is restored from a backup: its revision falls from 100 to 40, and it doesn't know
// revision 100. The new list used to be discarded as an older one and requested again at once,
// 29,000 times in three seconds; the process kept its outdated state until it ended.
func TestStoreComesBackFromACopy(t *testing.T) {
	s := &script{steps: []step{at(100), {err: ErrHistoryGone}, at(40), at(41)}}
	s.run(t)
	require.Equal(t, []string{"list", "watch", "list", "watch", "watch"}, s.calls)
	require.Len(t, s.listed, 2)
	require.Len(t, s.changed, 1)
	require.False(t, s.listed[0].FirstOfEra)
	require.True(t, s.listed[1].FirstOfEra)
}

// A store responds at once with lower revisions, empty watches or lost history. A process that
// repeats its calls without a pause takes the whole rate of the store from all others.
func TestNoCallIsRepeatedWithoutAPause(t *testing.T) {
	for name, answer := range map[string]func(n int) (Page[int], error){
		"nothing new":  func(int) (Page[int], error) { return Page[int]{Revision: 9}, nil },
		"always lower": func(n int) (Page[int], error) { return Page[int]{Revision: int64(1<<30 - n)}, nil },
		"history gone": func(int) (Page[int], error) { return Page[int]{}, ErrHistoryGone },
		"up and down":  func(n int) (Page[int], error) { return Page[int]{Revision: int64(n % 2)}, nil },
		"changes each time": func(n int) (Page[int], error) {
			return Page[int]{Revision: int64(n), Changes: []Change[int]{{Name: "a"}}}, nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const lasts = time.Second
			ctx, cancel := context.WithTimeout(t.Context(), lasts)
			defer cancel()
			calls := 0
			call := func() (Page[int], error) {
				calls++
				return answer(calls)
			}
			f := &Feed[int]{
				List:    func(context.Context) (Page[int], error) { return call() },
				Watch:   func(context.Context, int64, time.Duration) (Page[int], error) { return call() },
				Listed:  func(time.Time, Page[int]) {},
				Changed: func(time.Time, Page[int]) {},
				Failed:  func(time.Time, error) {},
			}
			f.Run(ctx, time.Now)
			require.LessOrEqual(t, calls, 60, "in %s", lasts)
		})
	}
}

// Another feed of the process sees a new era first. The watch of this feed waits for a revision
// that the store reaches only hours later. The feed must end it and list again, within the time
// over which the processes spread their lists.
func TestEraSeenByAnotherFeed(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	var eras position.Eras
	_, _ = eras.Observe(time.Now(), 1)
	var listed []Page[int]
	f := &Feed[int]{
		Eras: &eras,
		List: func(context.Context) (Page[int], error) { return Page[int]{Revision: 40, Era: eras.Era()}, nil },
		Watch: func(ctx context.Context, _ int64, _ time.Duration) (Page[int], error) {
			_, _ = eras.Observe(time.Now(), 2)
			<-ctx.Done()
			return Page[int]{}, ctx.Err()
		},
		Listed: func(_ time.Time, p Page[int]) {
			if listed = append(listed, p); len(listed) == 2 {
				cancel()
			}
		},
		Changed: func(time.Time, Page[int]) {},
		Failed:  func(time.Time, error) {},
	}
	f.Run(ctx, time.Now)
	require.Len(t, listed, 2)
	require.True(t, listed[1].FirstOfEra)
	require.Equal(t, position.Era(2), listed[1].Era)
}

// Guards against noticing only after the wait of a watch that the store is back, when nothing changes.
func TestFirstWatchAfterAFailureHardlyWaits(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var waits []time.Duration
	f := &Feed[int]{
		Wait: time.Minute,
		List: func(context.Context) (Page[int], error) { return Page[int]{Revision: 3}, nil },
		Watch: func(_ context.Context, after int64, wait time.Duration) (Page[int], error) {
			waits = append(waits, wait)
			switch len(waits) {
			case 1:
				return Page[int]{}, errors.New("cut")
			case 3:
				cancel()
			}
			return Page[int]{Revision: after + 1}, nil
		},
		Listed:  func(time.Time, Page[int]) {},
		Changed: func(time.Time, Page[int]) {},
		Failed:  func(time.Time, error) {},
	}
	f.Run(ctx, time.Now)
	require.Equal(t, []time.Duration{time.Minute, probeWait, time.Minute}, waits)
}
