package sidecar

import (
	"context"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/traffic/book"
	"wagtailshelf.example/wagtailshelf/internal/traffic/workspace"
)

// Install applies the limits and shares of an active document, and starts leaving if
// the document marks the target as leaving. A document without a target on this host
// changes nothing. Install returns false if ctx ended first.
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

// leave refuses new requests from now on, and has this reported to the entries.
// Otherwise entries with an older document, or with none yet, would go on sending.
func (s *Sidecar) leave(ctx context.Context) {
	s.leaving.Store(true)
	s.desk.putBook(ctx, book.Event{Kind: book.Drain})
	select {
	case s.reportNow <- struct{}{}:
	default:
	}
}

// targetOn returns the document's target on a host; nil if there is none.
func targetOn(d *document.Document, name host.Name) *document.Target {
	for i := range d.Targets {
		if d.Targets[i].Host == name {
			return &d.Targets[i]
		}
	}
	return nil
}

// admissionOf returns the admission settings of a document. Settings that the document
// does not set keep the value of base. The document's concurrency is only the upper end
// of the adaptive limit, because it may be more than the target can currently serve.
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
