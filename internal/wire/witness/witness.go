// Package witness tells whether the process that served an exchange still runs as the exchange ends.
//
// A process that listens at an address may be another one than a moment before. A witness is a connection to the address
// on which nothing is sent, opened while the connection of the exchange was open: it ends with the process that both
// lead to. If it outlasts the exchange, that process runs. If both end together, the process may have ended.
package witness

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/netip"
	"os"
	"sync"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/wire/presence"
	"wagtailshelf.example/wagtailshelf/internal/wire/response"
	"wagtailshelf.example/wagtailshelf/internal/wire/upstream"
)

const (
	// maxLife is for how long exchanges that begin use a witness. Servers close a connection on which no request
	// comes, few of them within two seconds. One that is closed so together with an exchange looks like an end.
	maxLife = time.Second
	// lifeFraction is the fraction of the age at which a server has closed a witness during which exchanges use the
	// next one, and knownFor for how long that age is known.
	lifeFraction = 0.6
	knownFor     = time.Minute
	// leastLife is how long a witness has lived that is replaced while an exchange goes on. A server that takes no
	// further connections closes them at once, and would be asked again and again.
	leastLife = time.Second
	// checkInterval is the time between two looks at a witness. It is longer than a process takes to end.
	checkInterval = 250 * time.Millisecond
)

// Proof is what is known of the process that served an exchange.
type Proof uint8

// The proofs.
const (
	None  Proof = iota // there is no witness
	Runs               // it still runs
	Ended              // it may have ended, together with the exchange
)

// String returns the proof as it is logged.
func (p Proof) String() string { return [...]string{"none", "runs", "ended"}[p] }

// Set is the witnesses that a process has. Its fields are set before the first exchange. It is safe for concurrent use.
type Set struct {
	OnDial func()                       // called for each witness that was opened
	Keep   func(at netip.AddrPort) bool // reports whether a witness stays open for exchanges that are to begin
	Go     func(f func())               // runs a function in a goroutine

	mu     sync.Mutex
	all    map[*witness]struct{}
	newest map[netip.AddrPort]*witness // those that exchanges may still join
	lives  map[netip.AddrPort]lifetime // of witnesses at servers that close them early
	closed bool
}

// lifetime is for how long exchanges use a witness, and when that was found.
type lifetime struct {
	life  time.Duration
	since time.Time
}

// witness is a connection on which nothing is sent. The set's mutex guards it.
type witness struct {
	at      netip.AddrPort
	conn    *response.Conn // nil while it is being opened
	opened  time.Time
	watches map[*Watch]struct{}
}

// Watch is what the witnesses tell of one exchange. The set's mutex guards it.
type Watch struct {
	set       *Set
	at        netip.AddrPort
	open      func() bool // reports whether neither side has closed the connection of the exchange
	witness   *witness    // nil if there is none
	served    bool        // its response has begun
	closed    bool        // its connection was seen to be closed while the witness was open
	outlasted bool        // the witness has outlasted it
	ended     bool        // the witness ended together with the exchange
	stopped   bool
}

// New returns a set without witnesses.
func New() *Set {
	return &Set{
		OnDial: func() {},
		Keep:   func(netip.AddrPort) bool { return true },
		Go:     func(f func()) { go f() },
		all:    make(map[*witness]struct{}),
		newest: make(map[netip.AddrPort]*witness),
		lives:  make(map[netip.AddrPort]lifetime),
	}
}

// Watch begins to watch an exchange, before its request is sent. The function open reports whether neither side has
// closed its connection. [Watch.Stop] must follow.
func (s *Set) Watch(now time.Time, at netip.AddrPort, open func() bool) *Watch {
	x := &Watch{set: s, at: at, open: open}
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.newest[at]; w != nil && s.Keep(at) && s.usable(now, w) {
		x.join(w)
	}
	return x
}

// Seek finds a witness for an exchange whose response has begun, unless it has one. It does not wait for it.
func (x *Watch) Seek(now time.Time) {
	x.set.mu.Lock()
	defer x.set.mu.Unlock()
	x.served = true
	x.seek(now)
}

func (x *Watch) seek(now time.Time) {
	s := x.set
	if x.witness != nil || x.ended || x.stopped || s.closed {
		return
	}
	w := s.newest[x.at]
	switch {
	case w != nil && w.conn == nil: // it is seen once it is open whether the exchange goes on
	case w != nil && s.usable(now, w):
		if !x.open() {
			return
		}
	default:
		if w != nil {
			s.retire(w)
		}
		w = &witness{at: x.at, watches: make(map[*Watch]struct{})}
		s.all[w], s.newest[x.at] = struct{}{}, w
		s.Go(func() { s.follow(w) })
	}
	x.join(w)
}

// usable reports whether exchanges may still join a witness.
func (s *Set) usable(now time.Time, w *witness) bool {
	return w.conn != nil && now.Sub(w.opened) < s.life(now, w.at) && w.conn.Open()
}

// retire lets no more exchanges join a witness. Those that wait for a response leave it: a server that serves one
// connection after the other would wait for a request of the witness before it serves them.
func (s *Set) retire(w *witness) {
	if s.newest[w.at] == w {
		delete(s.newest, w.at)
	}
	for x := range w.watches {
		if !x.served {
			x.leave()
		}
	}
	s.closeUnneeded(w)
}

// End returns what is known of the process, now that the connection of the exchange has ended. It waits for the time
// in which a process that ends closes its connections, if there is a witness.
func (x *Watch) End(ctx context.Context) Proof {
	p := x.proof()
	if p != Runs {
		return p
	}
	select {
	case <-ctx.Done():
		return None
	case <-time.After(presence.Settle):
		return x.proof()
	}
}

func (x *Watch) proof() Proof {
	x.set.mu.Lock()
	defer x.set.mu.Unlock()
	switch {
	case x.outlasted:
		return Runs
	case x.ended:
		return Ended
	case x.witness == nil || x.witness.conn == nil:
		return None
	case x.witness.conn.Open():
		return Runs
	case x.witness.conn.ClosedByPeer():
		return Ended
	}
	return None
}

// Stop ends the watch.
func (x *Watch) Stop() {
	x.set.mu.Lock()
	defer x.set.mu.Unlock()
	x.stopped = true
	w := x.witness
	x.leave()
	x.set.closeUnneeded(w)
}

func (x *Watch) join(w *witness) {
	x.witness = w
	w.watches[x] = struct{}{}
}

func (x *Watch) leave() {
	if x.witness != nil {
		delete(x.witness.watches, x)
		x.witness = nil
	}
}

// life returns for how long exchanges with an address use a witness.
func (s *Set) life(now time.Time, at netip.AddrPort) time.Duration {
	if l, found := s.lives[at]; found && now.Sub(l.since) < knownFor {
		return l.life
	}
	return maxLife
}

// Close closes all witnesses. The exchanges that go on have none.
func (s *Set) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for w := range s.all {
		w.close()
	}
}

// closeUnneeded closes a witness that no exchange has, and none may join or it may not be kept for that.
func (s *Set) closeUnneeded(w *witness) {
	if w == nil || len(w.watches) > 0 || s.newest[w.at] == w && s.Keep(w.at) {
		return
	}
	w.close()
}

// close closes the connection. The goroutine that follows it removes it from the set.
func (w *witness) close() {
	if w.conn != nil {
		_ = w.conn.Close() // it may have ended already
	}
}

// follow opens a witness and waits for its end.
func (s *Set) follow(w *witness) {
	conn, err := upstream.Dial(context.Background(), w.at)
	if err == nil {
		s.OnDial()
		defer conn.Close()
	}
	if !s.begin(time.Now(), w, conn) {
		return
	}
	err = s.await(w, conn)
	ended := time.Now()
	time.Sleep(presence.Settle)
	s.end(ended, w, errors.Is(err, io.EOF))
}

// await waits for the end of a witness and returns how it ended.
func (s *Set) await(w *witness, conn *response.Conn) error {
	for {
		_ = conn.SetReadDeadline(time.Now().Add(checkInterval)) // fails only if it is closed, as reading does then
		_, err := conn.Read(make([]byte, 1))
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		s.check(time.Now(), w)
	}
}

// check retires a witness after its life, and notes which exchanges it has outlasted: an entry may pass the end of a
// response on long after it has come, when the witness has ended too.
func (s *Set) check(now time.Time, w *witness) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for x := range w.watches {
		closed := w.conn.Open() && !x.open()
		x.outlasted = x.outlasted || closed && x.closed
		x.closed = closed
	}
	if now.Sub(w.opened) >= s.life(now, w.at) {
		s.retire(w)
	}
}

// begin notes that a witness is open, or with no connection that it can't be opened, and reports whether it is needed.
// An exchange that has ended meanwhile may have ended with another process than that of the witness.
func (s *Set) begin(now time.Time, w *witness, conn *response.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.conn, w.opened = conn, now
	for x := range w.watches {
		if conn == nil || !x.open() {
			x.leave()
		}
	}
	needed := conn != nil && !s.closed && (len(w.watches) > 0 || s.newest[w.at] == w && s.Keep(w.at))
	if !needed {
		s.forget(w)
	}
	return needed
}

// end notes that a witness ended at some time: if byPeer is set, the process closed it, or ended. It had not ended if
// exchanges go on; they get another witness.
func (s *Set) end(now time.Time, w *witness, byPeer bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(w)
	age := now.Sub(w.opened)
	runs := byPeer
	for x := range w.watches {
		x.leave()
		switch open := x.open(); {
		case !open && byPeer:
			x.ended, runs = !x.outlasted, x.outlasted && runs
		case open && age >= leastLife:
			x.seek(time.Now())
		}
	}
	maps.DeleteFunc(s.lives, func(_ netip.AddrPort, l lifetime) bool { return now.Sub(l.since) >= knownFor })
	if life := time.Duration(lifeFraction * float64(age)); runs && life < maxLife {
		s.lives[w.at] = lifetime{life: life, since: now}
	}
}

// forget removes a witness that has ended.
func (s *Set) forget(w *witness) {
	delete(s.all, w)
	if s.newest[w.at] == w {
		delete(s.newest, w.at)
	}
}
