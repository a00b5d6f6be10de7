package ingress

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// stallTime is how long a client must have made no progress before its connection may be closed for others.
	// It is longer than a lost packet takes to be sent again.
	stallTime = 500 * time.Millisecond
	// progressBytes is how much a client must send or read for that to count as progress. One that sends a
	// byte now and then makes none.
	progressBytes = 1 << 10
)

// phase is what a connection waits for.
type phase uint32

const (
	sending phase = iota // the client, which has a request to send; a new connection begins so
	serving              // the process
	reading              // the client, which has a response to read
	idle                 // the client, which may send another request
)

// client is the state of one connection. Its methods are safe for concurrent use.
type client struct {
	phase    atomic.Uint32
	since    atomic.Int64 // Unix time of the last progress, in nanoseconds
	unmarked atomic.Int64 // bytes since then
	cut      func()       // closes the connection
	bytes    int64        // reserved memory; guarded by the table
	gone     bool         // the table no longer counts it; guarded by the table
}

// enter notes that the connection waits for something else, from now on.
func (c *client) enter(now time.Time, p phase) {
	c.since.Store(now.UnixNano())
	c.unmarked.Store(0)
	c.phase.Store(uint32(p))
}

// set notes what the connection waits for, without progress of the client.
func (c *client) set(p phase) { c.phase.Store(uint32(p)) }

// is reports whether the connection is in a phase.
func (c *client) is(p phase) bool { return phase(c.phase.Load()) == p }

// progress notes that the client sent or read bytes.
func (c *client) progress(now time.Time, n int) {
	if c.unmarked.Add(int64(n)) >= progressBytes {
		c.since.Store(now.UnixNano())
		c.unmarked.Store(0)
	}
}

// stalled returns for how long the process has waited for the client in vain; 0 if it does not wait.
func (c *client) stalled(now time.Time) time.Duration {
	if c.is(serving) || c.is(idle) {
		return 0
	}
	return time.Duration(now.UnixNano() - c.since.Load())
}

// table decides which connections are kept if there is no room for all. The one whose client has stalled for the
// longest time is closed first; an idle one if there is no such client; never one whose request is being served.
type table struct {
	maxConnections int
	maxBytes       int64

	mu      sync.Mutex
	clients map[*client]struct{}
	bytes   int64
}

func newTable(maxConnections int, maxBytes int64) *table {
	return &table{maxConnections: maxConnections, maxBytes: maxBytes, clients: make(map[*client]struct{})}
}

// open adds a connection. It returns the connection that has to be closed for it, if any, and whether there is room.
func (t *table) open(now time.Time, c *client) (victim *client, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.clients) >= t.maxConnections {
		victim = t.choose(now, c, func(*client) bool { return true })
		if victim == nil {
			return nil, false
		}
		t.remove(victim)
	}
	c.enter(now, sending)
	t.clients[c] = struct{}{}
	return victim, true
}

// grow reserves memory until a connection has so many bytes. It returns the connections that have to be closed for
// it, and whether there is room.
func (t *table) grow(now time.Time, c *client, bytes int64) (victims []*client, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.gone {
		return nil, false
	}
	for bytes > c.bytes && t.bytes+bytes-c.bytes > t.maxBytes {
		v := t.choose(now, c, func(v *client) bool { return v.bytes > 0 && !v.is(idle) })
		if v == nil {
			return victims, false
		}
		t.remove(v)
		victims = append(victims, v)
	}
	t.bytes += bytes - c.bytes
	c.bytes = bytes
	return victims, true
}

// choose returns the connection, other than c, to close first among those that may be closed for c.
func (t *table) choose(now time.Time, c *client, may func(*client) bool) *client {
	var stalled, oldest *client
	longest := stallTime
	for v := range t.clients {
		if v == c || !may(v) {
			continue
		}
		if d := v.stalled(now); d >= longest {
			stalled, longest = v, d
		}
		if v.is(idle) && (oldest == nil || v.since.Load() < oldest.since.Load()) {
			oldest = v
		}
	}
	if stalled != nil {
		return stalled
	}
	return oldest
}

// remove ends the counting of a connection.
func (t *table) remove(c *client) {
	if c.gone {
		return
	}
	c.gone = true
	t.bytes -= c.bytes
	c.bytes = 0
	delete(t.clients, c)
}

// close ends the counting of a connection that has ended.
func (t *table) close(c *client) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(c)
}

// isGone reports whether the connection was closed, or has to be.
func (t *table) isGone(c *client) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return c.gone
}

// use returns how many connections are open, and how many bytes are reserved.
func (t *table) use() (connections int, bytes int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.clients), t.bytes
}
