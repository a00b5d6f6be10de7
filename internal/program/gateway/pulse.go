package gateway

import (
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"time"
)

const (
	// lateTurn is from when on a turn of the entry's clock is told as late. It needs the
	// processor and the lock of admission, as each request does.
	lateTurn = 200 * time.Millisecond
	// tellTurns is how often late turns are told at the most.
	tellTurns = time.Second
)

// pulse measures how late the turns of the entry's clock come.
type pulse struct {
	last  time.Time     // turn
	told  time.Time     // when a late turn was
	worst time.Duration // since it was told
}

// turn takes note of a turn. It returns the longest that turns came late since that was told
// last, if it is to be told now.
func (p *pulse) turn(now time.Time) (worst time.Duration, tell bool) {
	if !p.last.IsZero() {
		p.worst = max(p.worst, now.Sub(p.last)-tickInterval)
	}
	p.last = now
	if p.worst < lateTurn || now.Sub(p.told) < tellTurns {
		return 0, false
	}
	worst, p.worst, p.told = p.worst, 0, now
	return worst, true
}

// callerConnections counts the connections of callers.
type callerConnections struct {
	accepted atomic.Int64
	open     atomic.Int64
}

func (c *callerConnections) note(_ net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		c.accepted.Add(1)
		c.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		c.open.Add(-1)
	}
}

// noteTurn logs turns of the clock that come late, with what an entry has to do that has no
// processor time left, or whose lock is held.
func (g *Gateway) noteTurn(p *pulse, now time.Time) {
	late, tell := p.turn(now)
	if !tell {
		return
	}
	waiting := 0
	if r := g.rules.Load(); r != nil {
		for _, s := range r.config.Services {
			waiting += g.admit.Waiting(s.Name)
		}
	}
	g.log.Warn().Str("event", "turnLate").Dur("late", late).Int64("accepted", g.connections.accepted.Load()).
		Int64("connections", g.connections.open.Load()).Int("waiting", waiting).Int("goroutines", runtime.NumGoroutine()).Msg("")
}
