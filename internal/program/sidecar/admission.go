package sidecar

import (
	"context"
	"slices"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/traffic/workspace"
)

// Install takes the limits and shares of a document that came in force. One
// without a target on this host changes nothing. It returns false if ctx ended
// first.
func (s *Sidecar) Install(ctx context.Context, d *document.Document) bool {
	if !servedOn(d, s.cfg.Identity.Name) {
		return true
	}
	return s.desk.put(ctx, deskEvent{kind: deskLimits, limits: admissionOf(d, s.cfg.Admission)})
}

func servedOn(d *document.Document, name host.Name) bool {
	return slices.ContainsFunc(d.Targets, func(t document.Target) bool { return t.Host == name })
}

// admissionOf returns the settings of admission that a document asks for. What it
// leaves open stays as the sidecar was set up. The limit adapts below the
// document's concurrency, which may be more than the target can do at present.
func admissionOf(d *document.Document, base workspace.Config) workspace.Config {
	cfg := base
	if d.Limits.Concurrency > 0 {
		cfg.MaxLimit = d.Limits.Concurrency
		cfg.MinLimit = min(cfg.MinLimit, cfg.MaxLimit)
	}
	if d.Limits.Queue > 0 {
		cfg.QueueLimit = d.Limits.Queue
	}
	cfg.Shares = make([]workspace.Share, len(d.Workspaces))
	for i, w := range d.Workspaces {
		cfg.Shares[i] = workspace.Share{Workspace: workspace.Name(w.Name), Weight: w.Share}
	}
	return cfg
}
