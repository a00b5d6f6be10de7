package sidecar

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
