package sidecar

import (
	"context"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/program/documents"
	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/traffic/book"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
	"wagtailshelf.example/wagtailshelf/internal/wire/frame"
	"wagtailshelf.example/wagtailshelf/internal/wire/peer"
)

// unlearntRetry is when a caller may come back whom a sidecar refused that has not
// read the documents yet. A read takes some milliseconds, and a second when the
// platform's first answer is lost.
const unlearntRetry = time.Second

// newDocuments returns what follows the documents.
func (s *Sidecar) newDocuments() *documents.Documents {
	return documents.New(documents.Config{
		Platform: s.cfg.Platform, Log: s.cfg.Log, Metrics: s.cfg.Metrics, InForce: s.take,
	})
}

// take takes the limits of a document that came in force.
func (s *Sidecar) take(d documents.Document) {
	doc, findings := document.Parse(d.Service+".yaml", d.Text)
	if doc == nil {
		s.cfg.Log.Error().Str("service", d.Service).Uint64("number", d.Number).Err(findings.Err()).Msg("document in force cannot be read")
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), unlearntRetry)
	defer stop()
	if !s.Install(ctx, doc) {
		s.cfg.Log.Error().Str("service", d.Service).Msg("limits of a document were not taken")
	}
	if s.group != nil {
		s.group.Install(ctx, d.Number, doc)
	}
}

// onControl hands a message to the duty that it is for.
func (s *Sidecar) onControl(from *peer.Conn, m frame.Control) {
	if s.group != nil {
		s.group.OnControl(from, m)
	}
}

// refuseUnlearnt refuses a request while the sidecar has not read the documents: it
// does not know the limits and shares that hold here, nor whether its target is
// leaving. The request has not run, so that the entry can try another target.
func (d *desk) refuseUnlearnt(id request.ID) {
	const reason = "unlearnt"
	d.counts.refused(reason)
	d.later(deskEvent{kind: deskBook, book: book.Event{
		Kind: book.Rejected, ID: id, Reason: request.Overloaded, RetryAfter: unlearntRetry,
	}})
}
