package witness

import (
	"bufio"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/standin/rawserver"
	"wagtailshelf.example/wagtailshelf/internal/wire/presence"
	"wagtailshelf.example/wagtailshelf/internal/wire/upstream"
)

// patience is how long a test waits for what happens at once.
const patience = 5 * time.Second

// testbed is a set of witnesses, a server and the server's ends of its connections, in the order in which they were
// opened.
type testbed struct {
	*Set
	t      *testing.T
	at     netip.AddrPort
	conns  chan *net.TCPConn
	dialed atomic.Int64
}

func newTestbed(t *testing.T) *testbed {
	b := &testbed{Set: New(), t: t, conns: make(chan *net.TCPConn, 16)}
	b.OnDial = func() { b.dialed.Add(1) }
	b.at = rawserver.Start(t, func(c *net.TCPConn, _ *bufio.Reader) { b.conns <- c })
	t.Cleanup(b.Close)
	return b
}

// exchange opens the connection of an exchange and returns the server's end of it.
func (b *testbed) exchange() (x *Watch, server *net.TCPConn) {
	c, err := upstream.Dial(b.t.Context(), b.at)
	require.NoError(b.t, err)
	b.t.Cleanup(func() { _ = c.Close() })
	x = b.Watch(time.Now(), b.at, c.Open)
	b.t.Cleanup(x.Stop)
	return x, <-b.conns
}

// witnessed begins an exchange that has a witness, and returns the server's ends of both connections.
func (b *testbed) witnessed() (x *Watch, exchange, w *net.TCPConn) {
	x, exchange = b.exchange()
	x.Seek(time.Now())
	w = <-b.conns
	require.Eventually(b.t, func() bool { return x.proof() == Runs }, patience, time.Millisecond)
	return x, exchange, w
}

// has reports whether an exchange has a witness that is open, or will be.
func (b *testbed) has(x *Watch) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return x.witness != nil
}

func TestProcessThatRuns(t *testing.T) {
	b := newTestbed(t)
	x, exchange, _ := b.witnessed()
	require.NoError(t, exchange.Close())
	require.Equal(t, Runs, x.End(t.Context()))
}

// Guards against a process that ended and is taken for the one that listens at its address since.
func TestProcessThatEnds(t *testing.T) {
	for name, first := range map[string]int{"exchange first": 0, "witness first": 1} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, Ended, endProcess(t, first).End(t.Context()))
		})
	}
}

// endProcess closes the connections of an exchange and of its witness one after the other, as a process that ends does.
func endProcess(t *testing.T, first int) *Watch {
	t.Helper()
	for { // until this machine is fast enough to do it in time
		x, exchange, w := newTestbed(t).witnessed()
		conns := []*net.TCPConn{exchange, w}
		begin := time.Now()
		require.NoError(t, conns[first].Close())
		require.NoError(t, conns[1-first].Close())
		if time.Since(begin) < presence.Settle {
			return x
		}
	}
}

// Guards against a process that is not asked about until long after its end.
func TestProcessThatEndedBefore(t *testing.T) {
	x := endProcess(t, 1)
	time.Sleep(10 * presence.Settle)
	require.Equal(t, Ended, x.End(t.Context()))
}

// Guards against sound responses that count as truncated because a server closes its idle connections.
func TestIdleWitnessIsClosed(t *testing.T) {
	t.Run("replaced", func(t *testing.T) {
		t.Parallel()
		b := newTestbed(t)
		x, exchange, w := b.witnessed()
		time.Sleep(leastLife)
		require.NoError(t, w.Close())
		<-b.conns
		require.Eventually(t, func() bool { return x.proof() == Runs }, patience, time.Millisecond)
		require.NoError(t, exchange.Close())
		require.Equal(t, Runs, x.End(t.Context()))
	})
	t.Run("at once", func(t *testing.T) {
		t.Parallel()
		b := newTestbed(t)
		x, exchange, w := b.witnessed()
		require.NoError(t, w.Close())
		require.Eventually(t, func() bool { return !b.has(x) }, patience, time.Millisecond)
		require.NoError(t, exchange.Close())
		require.Equal(t, None, x.End(t.Context()))
		require.EqualValues(t, 1, b.dialed.Load())
	})
}

// Guards against sound responses that count as truncated again and again, as a server closes connections that are idle for
// a shorter time than most do.
func TestIdleTimeoutIsLearned(t *testing.T) {
	b := newTestbed(t)
	_, _, w := b.witnessed()
	const timeout = 200 * time.Millisecond
	time.Sleep(timeout)
	require.NoError(t, w.Close())
	require.Eventually(t, func() bool { b.mu.Lock(); defer b.mu.Unlock(); return len(b.lives) == 1 }, patience, time.Millisecond)
	begin := time.Now()
	b.witnessed()
	young, _ := b.exchange()
	require.True(t, b.has(young) || time.Since(begin) > timeout/2, "a machine that is too slow can't tell")
	old := b.Watch(time.Now().Add(timeout*7/10), b.at, func() bool { return true })
	require.False(t, b.has(old))
	require.Equal(t, maxLife, b.life(time.Now().Add(knownFor), b.at))
}

// Guards against a sound response that counts as truncated since its caller reads it slowly: its server has ended it
// long ago, and closes the witness before the caller has it all.
func TestEndIsAskedForLate(t *testing.T) {
	b := newTestbed(t)
	x, exchange, w := b.witnessed()
	require.NoError(t, exchange.Close())
	time.Sleep(3 * checkInterval)
	require.NoError(t, w.Close())
	time.Sleep(5 * presence.Settle)
	require.Equal(t, Runs, x.End(t.Context()))
}

// A server resets the connections that are too many for it.
func TestWitnessIsReset(t *testing.T) {
	b := newTestbed(t)
	x, exchange, w := b.witnessed()
	require.NoError(t, w.SetLinger(0))
	require.NoError(t, w.Close())
	require.NoError(t, exchange.Close())
	require.Equal(t, None, x.End(t.Context()))
	time.Sleep(2 * presence.Settle)
	require.Equal(t, None, x.End(t.Context()))
}

// A witness that was opened after the end of an exchange may lead to the next process.
func TestWitnessIsTooLate(t *testing.T) {
	b := newTestbed(t)
	x, exchange := b.exchange()
	require.NoError(t, exchange.Close())
	time.Sleep(presence.Settle)
	x.Seek(time.Now())
	<-b.conns
	require.Eventually(t, func() bool { return !b.has(x) }, patience, time.Millisecond)
	require.Equal(t, None, x.End(t.Context()))
	next, exchange := b.exchange()
	require.NoError(t, exchange.Close())
	require.Equal(t, Runs, next.End(t.Context()), "it was open before this one began")
}

func TestAddressWithoutServer(t *testing.T) {
	s := New()
	x := s.Watch(time.Now(), netip.MustParseAddrPort("127.0.0.1:1"), func() bool { return true })
	defer x.Stop()
	x.Seek(time.Now())
	require.Eventually(t, func() bool { s.mu.Lock(); defer s.mu.Unlock(); return x.witness == nil }, patience, time.Millisecond)
	require.Equal(t, None, x.End(t.Context()))
	require.Empty(t, s.newest)
}

func TestExchangesShareAWitness(t *testing.T) {
	for _, keep := range []bool{false, true} {
		b := newTestbed(t)
		b.Keep = func(netip.AddrPort) bool { return keep }
		first, _, _ := b.witnessed()
		first.Seek(time.Now())
		second, _ := b.exchange()
		require.Equal(t, keep, b.has(second))
		second.Seek(time.Now())
		require.Equal(t, Runs, second.End(t.Context()))
		require.EqualValues(t, 1, b.dialed.Load())
	}
}

// Guards against an exchange that waits for ever, since its server waits for a request of the witness first.
func TestServerOfOneConnectionAtATime(t *testing.T) {
	b := newTestbed(t)
	x, _, w := b.witnessed()
	waiting, _ := b.exchange()
	require.True(t, b.has(waiting))
	x.Stop()
	requireClosed(t, w)
	require.False(t, b.has(waiting))
}

// requireClosed requires that the other side closes a connection.
func requireClosed(t *testing.T, w *net.TCPConn) {
	t.Helper()
	require.NoError(t, w.SetReadDeadline(time.Now().Add(patience)))
	_, err := w.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// Guards against connections that stay open though nobody needs them, or are closed though somebody does.
func TestUnneededWitnessIsClosed(t *testing.T) {
	t.Run("with the last exchange", func(t *testing.T) {
		b := newTestbed(t)
		b.Keep = func(netip.AddrPort) bool { return false }
		x, _, w := b.witnessed()
		other, _ := b.exchange()
		other.Seek(time.Now())
		x.Stop()
		require.Equal(t, Runs, other.proof())
		other.Stop()
		requireClosed(t, w)
	})
	t.Run("after its life", func(t *testing.T) {
		b := newTestbed(t)
		x, _, w := b.witnessed()
		time.Sleep(maxLife + 2*checkInterval)
		require.Equal(t, Runs, x.proof())
		next, _ := b.exchange()
		require.False(t, b.has(next))
		x.Stop()
		requireClosed(t, w)
	})
	t.Run("with the set", func(t *testing.T) {
		b := newTestbed(t)
		x, _, w := b.witnessed()
		b.Close()
		requireClosed(t, w)
		require.Equal(t, None, x.End(t.Context()))
		require.Eventually(t, func() bool { return !b.has(x) }, patience, time.Millisecond)
		x.Seek(time.Now())
		require.False(t, b.has(x))
	})
}
