package sidecar

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/traffic/workspace"
	"wagtailshelf.example/wagtailshelf/internal/wire/frame"
)

func TestAdmissionOf(t *testing.T) {
	d := &document.Document{
		Targets:    []document.Target{{Name: "one", Host: "mtl-a-target-1"}},
		Limits:     document.Limits{Concurrency: 1, Queue: 7},
		Workspaces: []document.Workspace{{Name: "calls", Share: 3}},
	}
	cfg := admissionOf(d, workspace.DefaultConfig())
	assert.Equal(t, 1, cfg.MaxLimit)
	assert.Equal(t, 1, cfg.MinLimit)
	assert.Equal(t, 7, cfg.QueueLimit)
	assert.Equal(t, []workspace.Share{{Workspace: "calls", Weight: 3}}, cfg.Shares)
	assert.Equal(t, &d.Targets[0], targetOn(d, "mtl-a-target-1"))
	assert.Nil(t, targetOn(d, "mtl-a-target-2"))
}

func TestPrioritiesAgree(t *testing.T) {
	// A document's priority is sent as its number. If admission used other numbers,
	// background requests could be started before interactive ones.
	assert.EqualValues(t, document.Background, workspace.Background)
	assert.EqualValues(t, document.Normal, workspace.Normal)
	assert.EqualValues(t, document.Interactive, workspace.High)
}

func TestAlike(t *testing.T) {
	base := frame.Report{Limit: 40, Running: 20, Queued: 2}
	for name, c := range map[string]struct {
		change func(*frame.Report)
		alike  bool
	}{
		"the same":       {func(*frame.Report) {}, true},
		"few more":       {func(r *frame.Report) { r.Running += 4 }, true},
		"many more":      {func(r *frame.Report) { r.Running += 5 }, false},
		"a longer queue": {func(r *frame.Report) { r.Queued += 5 }, false},
		"a lower limit":  {func(r *frame.Report) { r.Limit -= 8 }, false},
		"leaving":        {func(r *frame.Report) { r.Leaving = true }, false},
	} {
		t.Run(name, func(t *testing.T) {
			next := base
			c.change(&next)
			require.Equal(t, c.alike, alike(next, base))
		})
	}
}
