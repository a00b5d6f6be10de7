package sidecar

import (
	"context"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/traffic/book"
	"wagtailshelf.example/wagtailshelf/internal/traffic/workspace"
)

// Install takes the limits and shares of a document that came in force, and
// leaves if it says so. One without a target on this host changes nothing. It
// returns false if ctx ended first.
func (s *Sidecar) Install(ctx context.Context, d *document.Document) bool {
	t := targetOn(d, s.cfg.Identity.Name)
	if t == nil {
		return true
	}
	if t.Leaving && !s.leaving.Load() {
		s.leave(ctx)
	}
	return s.desk.put(ctx, deskEvent{kind: deskLimits, limits: admissionOf(d, s.cfg.Admission)})
}

// leave refuses new work from now on, and has the entries told. Entries that have
// an older document, or none yet, would else go on sending.
func (s *Sidecar) leave(ctx context.Context) {
	s.leaving.Store(true)
	s.desk.putBook(ctx, book.Event{Kind: book.Drain})
	select {
	case s.leavingNow <- struct{}{}:
	default:
	}
}

// targetOn returns the document's target on a host, or nil.
func targetOn(d *document.Document, name host.Name) *document.Target {
	for i := range d.Targets {
		if d.Targets[i].Host == name {
			return &d.Targets[i]
		}
	}
	return nil
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
