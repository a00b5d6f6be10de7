package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"
	"github.com/phuslu/log"
)

// intakeTimeout bounds a check. Callers give up after a second in which nothing reads their
// request.
const intakeTimeout = 500 * time.Millisecond

var errIntake = merry.New("another answer than that of the entry itself")

// intake finds out whether requests of callers get on here, by one of the entry's own that takes
// the same way: listener, connection, handler, admission. Without it an entry whose processor time
// is used up, or whose admission is held up, says that it is ready, and callers are sent to it whom
// it does not serve.
type intake struct {
	address netip.AddrPort // that callers connect to
	admit   func()         // returns once admission has taken a request
	log     *log.Logger
	took    *metrics.Histogram

	checking sync.Mutex // one check at a time
	failing  bool       // as was logged last

	mu  sync.Mutex
	own netip.AddrPort // of the check that is under way, as its handler sees it
}

func newIntake(address netip.AddrPort, admit func(), l *log.Logger, m *metrics.Set) *intake {
	return &intake{address: address, admit: admit, log: l, took: m.NewHistogram("wagtailshelf_intake_check_seconds")}
}

// works sends a request to the entry itself and tells whether it got on in time.
func (i *intake) works(ctx context.Context) bool {
	i.checking.Lock()
	defer i.checking.Unlock()
	begin := time.Now()
	err := i.check(ctx)
	took := time.Since(begin)
	i.took.Update(took.Seconds())
	if failing := err != nil; failing != i.failing {
		i.failing = failing
		i.log.Warn().Str("event", "intake").Bool("works", !failing).Dur("took", took).Err(err).Msg("")
	}
	return err == nil
}

func (i *intake) check(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, intakeTimeout)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp4", i.address.String())
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	deadline, _ := ctx.Deadline()
	if err := conn.SetDeadline(deadline); err != nil {
		return err
	}
	i.expect(addrPortOf(conn.LocalAddr()))
	defer i.expect(netip.AddrPort{})
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: self\r\nConnection: close\r\n\r\n"); err != nil {
		return err
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusNoContent {
		return errIntake
	}
	return nil
}

func (i *intake) expect(own netip.AddrPort) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.own = own
}

// isOwn tells whether a request is the check that is under way. It is known by its connection,
// which no caller can have.
func (i *intake) isOwn(remote string) bool {
	i.mu.Lock()
	own := i.own
	i.mu.Unlock()
	return own.IsValid() && remote == own.String()
}

// before answers the entry's own checks, and hands on what callers send.
func (i *intake) before(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if i.isOwn(r.RemoteAddr) {
			i.admit()
			w.WriteHeader(http.StatusNoContent)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func addrPortOf(a net.Addr) netip.AddrPort {
	if tcp, ok := a.(*net.TCPAddr); ok {
		return netip.AddrPortFrom(tcp.AddrPort().Addr().Unmap(), tcp.AddrPort().Port())
	}
	return netip.AddrPort{}
}
