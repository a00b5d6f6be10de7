package sidecar

import (
	"context"
	"maps"
	"math"
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/traffic/workspace"
	"wagtailshelf.example/wagtailshelf/internal/wire/frame"
	"wagtailshelf.example/wagtailshelf/internal/wire/peer"
)

const (
	// reportPeriod is the interval at which the load is checked.
	reportPeriod = 250 * time.Millisecond

	// idleReports is the number of periods after which a load that has hardly changed is
	// reported again. A report also shows that the target isn't leaving, and entries send
	// nothing to a target without a report for three seconds.
	idleReports = 4

	// reportChange is the change of the load, as a fraction of the limit, above which it
	// is reported at once. The choice between targets isn't finer than that.
	reportChange = 0.1
)

// addConn adds a connection and sends a report on it at once: an entry sends nothing to
// a target before its first report.
func (s *Sidecar) addConn(c *peer.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = true
	first := s.lastReport
	first.Leaving = s.leaving.Load()
	if !s.reportedAt.IsZero() {
		first.Age = time.Since(s.reportedAt)
	}
	_ = c.SendReport(first) // the next report makes up for a lost one
}

func (s *Sidecar) removeConn(c *peer.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *Sidecar) openConns() []*peer.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}

// report sends the load of the target to the entries, more often while it changes.
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
		case <-s.reportNow:
		}
		load, ok := s.load(ctx)
		if !ok {
			return context.Cause(ctx)
		}
		next := reportOf(load, s.leaving.Load())
		quiet++
		if quiet < idleReports && alike(next, last) {
			continue
		}
		last, quiet = next, 0
		s.sendReport(next)
	}
}

// sendReport sends a report on all connections.
func (s *Sidecar) sendReport(m frame.Report) {
	s.sequence++
	m.Sequence = s.sequence
	for _, c := range s.recordReport(m) {
		_ = c.SendReport(m) // the next report makes up for a lost one
	}
}

// recordReport keeps the report for connections that begin before the next one,
// and returns the open connections.
func (s *Sidecar) recordReport(m frame.Report) []*peer.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastReport = m
	s.reportedAt = time.Now()
	return slices.Collect(maps.Keys(s.conns))
}

// alike reports whether two reports differ too little to be worth sending.
func alike(a, b frame.Report) bool {
	if a.Leaving != b.Leaving {
		return false
	}
	limit := float64(max(b.Limit, 1))
	work := math.Abs(float64(a.Running) + float64(a.Queued) - float64(b.Running) - float64(b.Queued))
	return work <= reportChange*limit && math.Abs(float64(a.Limit)-float64(b.Limit)) <= reportChange*limit
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
