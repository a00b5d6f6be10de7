package gateway

import (
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"time"
)

const (
	// lateTick is the delay from which a tick of the entry's periodic work is logged as late. A
	// tick needs the processor and the lock of admission, as each request does.
	lateTick = 200 * time.Millisecond
	// lateTickLogInterval is the least time between two log lines on late ticks.
	lateTickLogInterval = time.Second
)

// tickLag measures how late the ticks of the entry's periodic work come.
type tickLag struct {
	last     time.Time     // the last tick
	reported time.Time     // when a late tick was last reported
	worst    time.Duration // the largest delay since then
}

// tick records a tick. It returns the largest delay since the last report, and whether it is to be
// reported now.
func (l *tickLag) tick(now time.Time) (worst time.Duration, report bool) {
	if !l.last.IsZero() {
		l.worst = max(l.worst, now.Sub(l.last)-tickInterval)
	}
	l.last = now
	if l.worst < lateTick || now.Sub(l.reported) < lateTickLogInterval {
		return 0, false
	}
	worst, l.worst, l.reported = l.worst, 0, now
	return worst, true
}

// callerConnections counts the connections of callers.
type callerConnections struct {
	accepted atomic.Int64
	open     atomic.Int64
}

func (c *callerConnections) track(_ net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		c.accepted.Add(1)
		c.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		c.open.Add(-1)
	}
}

// noteTick records a tick and logs late ticks, which show that the entry has no processor time or
// that its lock is held, together with the entry's current load.
func (g *Gateway) noteTick(lag *tickLag, now time.Time) {
	late, report := lag.tick(now)
	if !report {
		return
	}
	waiting := 0
	if r := g.config.Load(); r != nil {
		for _, s := range r.config.Services {
			waiting += g.admit.Waiting(s.Name)
		}
	}
	g.log.Warn().Str("event", "turnLate").Dur("late", late).Int64("accepted", g.connections.accepted.Load()).
		Int64("connections", g.connections.open.Load()).Int("waiting", waiting).Int("goroutines", runtime.NumGoroutine()).Msg("")
}
