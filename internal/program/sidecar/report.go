package sidecar

import (
	"context"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/traffic/workspace"
	"wagtailshelf.example/wagtailshelf/internal/wire/frame"
	"wagtailshelf.example/wagtailshelf/internal/wire/peer"
)

const (
	// reportPeriod is how often the load is looked at.
	reportPeriod = 500 * time.Millisecond

	// idleReports is how many periods an unchanged load goes unreported. Reports
	// of an idle target would otherwise be most of what idle processes send.
	idleReports = 8
)

func (s *Sidecar) joinConn(c *peer.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = true
}

func (s *Sidecar) leaveConn(c *peer.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *Sidecar) openConns() []*peer.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := make([]*peer.Conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	return conns
}

// report tells the entries the load of the target, often while it changes.
func (s *Sidecar) report(ctx context.Context) error {
	ticker := time.NewTicker(reportPeriod)
	defer ticker.Stop()
	var last frame.Report
	quiet := 0
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-ticker.C:
		case <-s.leavingNow:
		}
		load, ok := s.load(ctx)
		if !ok {
			return context.Cause(ctx)
		}
		next := reportOf(load, s.leaving.Load())
		quiet++
		if next == last && quiet < idleReports {
			continue
		}
		last, quiet = next, 0
		s.sequence++
		next.Sequence = s.sequence
		for _, c := range s.openConns() {
			_ = c.SendReport(next) // the next report makes up for a lost one
		}
	}
}

func (s *Sidecar) load(ctx context.Context) (workspace.Load, bool) {
	answer := make(chan workspace.Load, 1)
	if !s.desk.put(ctx, deskEvent{kind: deskLoad, load: answer}) {
		return workspace.Load{}, false
	}
	select {
	case load := <-answer:
		return load, true
	case <-ctx.Done():
		return workspace.Load{}, false
	}
}

func reportOf(load workspace.Load, leaving bool) frame.Report {
	return frame.Report{
		Limit:       uint32(load.Limit),
		Running:     uint32(load.Running),
		Queued:      uint32(load.Queued),
		Outstanding: load.Outstanding,
		Capacity:    load.Capacity,
		Leaving:     leaving,
	}
}
