package sidecar

import (
	"context"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/program/fleet"
	"wagtailshelf.example/wagtailshelf/internal/record/acceptance"
	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/traffic/book"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
	"wagtailshelf.example/wagtailshelf/internal/wire/frame"
	"wagtailshelf.example/wagtailshelf/internal/wire/peer"
)

// isolatedRetry is when a caller may come back that a sidecar without contact refused.
const isolatedRetry = time.Second

// newMembership returns the sidecar's part in the fleet.
func (s *Sidecar) newMembership() *fleet.Fleet {
	return fleet.New(fleet.Config{
		Peers:    s.peers,
		Seeds:    s.cfg.Seeds,
		Platform: s.cfg.Platform,
		Log:      s.cfg.Log,
		Metrics:  s.cfg.Metrics,
		InForce:  s.accepted,
	})
}

// accepted takes the limits of a document that the fleet has accepted.
func (s *Sidecar) accepted(d acceptance.Document) {
	doc, findings := document.Parse(d.Service+".yaml", d.Text)
	if doc == nil {
		s.cfg.Log.Error().Str("service", d.Service).Uint64("number", uint64(d.Number)).Err(findings.Err()).Msg("document in force cannot be read")
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), isolatedRetry)
	defer stop()
	if !s.Install(ctx, doc) {
		s.cfg.Log.Error().Str("service", d.Service).Msg("limits of a document were not taken")
	}
	if s.group != nil {
		s.group.Install(ctx, uint64(d.Number), doc)
	}
}

// onControl hands a message to the duty that it is for.
func (s *Sidecar) onControl(from *peer.Conn, m frame.Control) {
	if s.membership != nil {
		s.membership.OnControl(from, m)
	}
	if s.group != nil {
		s.group.OnControl(from, m)
	}
	if s.cfg.OnControl != nil {
		s.cfg.OnControl(from, m)
	}
}

// refuseIsolated refuses a request while the sidecar has no contact with the
// fleet: the limits and shares that it knows may not be in force any more. The
// request has not run, so that the entry can try another target.
func (d *desk) refuseIsolated(id request.ID) {
	const reason = "isolated"
	d.counts.refused(reason)
	d.later(deskEvent{kind: deskBook, book: book.Event{
		Kind: book.Rejected, ID: id, Reason: request.Overloaded, RetryAfter: isolatedRetry,
	}})
}
