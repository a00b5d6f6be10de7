package sidecar

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
	"wagtailshelf.example/wagtailshelf/internal/wire/engine"
)

func TestStepTime(t *testing.T) {
	at := func(ms, running int, step uint64) observation {
		return observation{
			at:   time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond),
			load: engine.Load{Running: running, Step: step},
		}
	}
	tests := []struct {
		name     string
		from, to observation
		want     time.Duration
		ok       bool
	}{
		{"busy", at(0, 3, 100), at(250, 3, 150), 5 * time.Millisecond, true},
		{"idle before", at(0, 0, 100), at(250, 3, 150), 0, false},
		{"idle after", at(0, 3, 100), at(250, 0, 150), 0, false},
		{"too few steps", at(0, 3, 100), at(250, 3, 107), 0, false},
		{"engine restarted", at(0, 3, 100), at(250, 3, 5), 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, ok := stepTime(test.from, test.to)
			require.Equal(t, test.ok, ok)
			require.Equal(t, test.want, got)
		})
	}
}

func TestStalled(t *testing.T) {
	at := func(ms int, step uint64) observation {
		return observation{at: time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond), load: engine.Load{Step: step}}
	}
	tests := []struct {
		name string
		seen []observation
		want bool
	}{
		{"first", []observation{at(0, 0)}, false},
		{"steps", []observation{at(0, 100), at(2500, 101)}, false},
		{"no step for long", []observation{at(0, 100), at(1000, 100), at(2000, 100)}, true},
		{"no step for a moment", []observation{at(0, 100), at(1900, 100)}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var p progress
			stalled := false
			for _, o := range test.seen {
				stalled = p.stalled(o)
			}
			require.Equal(t, test.want, stalled)
		})
	}
}

// A rank of a lock-step group stalls: its engine still answers reads of its load, but
// makes no step and sends nothing. Requests that wait for their first byte would wait
// until their deadline. Idempotent ones are cancelled, so that they move to another
// target. Calls that are not idempotent, have begun their answer or were only just sent
// stay.
func TestCancelStalledCalls(t *testing.T) {
	now := time.Unix(100, 0)
	tests := []struct {
		name string
		job  job
		data time.Time // when the engine last sent data
		want bool
	}{
		{"waits in vain", job{call: request.Call{Idempotent: true}, dispatchedAt: now.Add(-3 * time.Second)}, time.Time{}, true},
		{"may not be repeated", job{dispatchedAt: now.Add(-3 * time.Second)}, time.Time{}, false},
		{"has begun", job{call: request.Call{Idempotent: true}, dispatchedAt: now.Add(-3 * time.Second), answerBegun: true}, time.Time{}, false},
		{"dispatched just now", job{call: request.Call{Idempotent: true}, dispatchedAt: now.Add(-time.Second)}, time.Time{}, false},
		{"others get answers", job{call: request.Call{Idempotent: true}, dispatchedAt: now.Add(-3 * time.Second)}, now.Add(-time.Second), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			cancelled := false
			test.job.cancel = func() { cancelled = true }
			d := &desk{jobs: map[request.ID]*job{{1}: &test.job}, lastData: test.data}
			d.cancelStalledCalls(now)
			require.Equal(t, test.want, cancelled)
		})
	}
}
