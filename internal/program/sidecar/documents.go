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

// noDocumentsRetry is the retry delay for requests that the sidecar refuses because it
// has not read the documents yet. A read takes some milliseconds, and a second when the
// platform's first response is lost.
const noDocumentsRetry = time.Second

// newDocuments returns the reader of the documents, which activates each new one here.
func (s *Sidecar) newDocuments() *documents.Documents {
	return documents.New(documents.Config{
		Platform: s.cfg.Platform, Log: s.cfg.Log, Metrics: s.cfg.Metrics, OnActive: s.activate,
	})
}

// activate applies a document that has become active.
func (s *Sidecar) activate(d documents.Document) {
	doc, findings := document.Parse(d.Service+".yaml", d.Text)
	if doc == nil {
		s.cfg.Log.Error().Str("service", d.Service).Uint64("number", d.Number).Err(findings.Err()).Msg("cannot read the active document")
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), noDocumentsRetry)
	defer stop()
	if !s.Install(ctx, doc) {
		s.cfg.Log.Error().Str("service", d.Service).Msg("limits of the document were not applied")
	}
	if s.group != nil {
		s.group.Install(ctx, d.Number, doc)
	}
}

// onControl passes a control message to the group member, if there is one; the member
// ignores messages on other topics.
func (s *Sidecar) onControl(from *peer.Conn, m frame.Control) {
	if s.group != nil {
		s.group.OnControl(from, m)
	}
}

// refuseWithoutDocuments refuses a request while the sidecar has not read the
// documents: it knows neither the limits and shares that apply here nor whether its
// target is leaving. The request has not run, so the entry can try another target.
func (d *desk) refuseWithoutDocuments(id request.ID) {
	const reason = "unlearnt"
	d.counts.refused(reason)
	d.enqueue(deskEvent{kind: deskBook, book: book.Event{
		Kind: book.Rejected, ID: id, Reason: request.Overloaded, RetryAfter: noDocumentsRetry,
	}})
}
