package platform

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"path"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wagtailshelf.example/wagtailshelf/internal/record/budget"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
	"wagtailshelf.example/wagtailshelf/internal/wire/response"
)

// Defaults of a [Config].
const (
	DefaultTimeout  = 2 * time.Second
	DefaultMaxWait  = 250 * time.Millisecond
	DefaultWatch    = 20 * time.Second
	DefaultMaxReply = 64 << 20
)

const (
	maxIdleConns = 4
	idleTimeout  = 30 * time.Second
)

// Errors of calls that were not sent.
var (
	ErrOutage  = errors.New("platform: outage, call not sent")
	ErrBudget  = errors.New("platform: call rate over budget")
	ErrTooBig  = errors.New("platform: value too large")
	ErrInvalid = errors.New("platform: invalid call")
)

// Config sets up a [Client].
type Config struct {
	URL      string        // base URL, for example "http://127.0.0.1:7000"
	Budget   budget.Config // rate, backoff, ramp after an outage
	Timeout  time.Duration // longest wait for a response; DefaultTimeout if zero
	MaxWait  time.Duration // longest wait until the budget allows a call; DefaultMaxWait if zero
	Watch    time.Duration // longest wait of a watch; DefaultWatch if zero
	MaxReply int64         // largest response body in bytes; DefaultMaxReply if zero
	Metrics  *metrics.Set  // a new set if nil
	Seed     uint64        // seed of the backoff jitter; random if zero

	// Addresses are dialled instead of the URL's host: the first one to begin
	// with, and the next one after a failed dial or a timeout.
	Addresses []netip.AddrPort
	// Dial opens connections; a net.Dialer if nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

func (c Config) withDefaults() Config {
	if c.Timeout <= 0 {
		c.Timeout = DefaultTimeout
	}
	if c.MaxWait <= 0 {
		c.MaxWait = DefaultMaxWait
	}
	if c.Watch <= 0 {
		c.Watch = DefaultWatch
	}
	if c.MaxReply <= 0 {
		c.MaxReply = DefaultMaxReply
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	if c.Seed == 0 {
		c.Seed = rand.Uint64()
	}
	if c.Dial == nil {
		// Shorter than a call's timeout, so that the next address is tried in time.
		c.Dial = (&net.Dialer{Timeout: c.Timeout / 2}).DialContext
	}
	return c
}

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	cfg  Config
	base *url.URL
	http *http.Client
	addr *addresses

	mu   sync.Mutex
	gate *budget.Gate
}

// New returns a client. If the URL is invalid, each call fails.
func New(cfg Config) *Client {
	cfg = cfg.withDefaults()
	base, err := url.Parse(cfg.URL)
	if err != nil {
		base = nil
	}
	addr := &addresses{list: cfg.Addresses, dialer: cfg.Dial}
	transport := response.NewTransport(&http.Transport{
		DialContext:         addr.dial,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
		ForceAttemptHTTP2:   false,
	})
	return &Client{
		cfg:  cfg,
		base: base,
		http: &http.Client{Transport: transport},
		addr: addr,
		gate: budget.New(cfg.Budget, rand.New(rand.NewPCG(cfg.Seed, 0))),
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// InOutage reports whether the client considers the platform to be in an outage.
func (c *Client) InOutage() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gate.Closed()
}

// Do carries out one call. The reply's status is [object.Unknown] when the call is
// a write that may have taken effect, or a read that got no usable response.
func (c *Client) Do(ctx context.Context, call object.Call) object.Reply {
	reply := c.do(ctx, call)
	reply.ID = call.ID
	reply.Op = call.Op
	c.countReply(call, reply.Status)
	return reply
}

func (c *Client) do(ctx context.Context, call object.Call) object.Reply {
	if err := c.check(call); err != nil {
		return object.Reply{Status: object.Refused, Err: err}
	}
	reply, timedOut := c.try(ctx, call)
	if !timedOut || isWrite(call.Op) || ctx.Err() != nil {
		return reply
	}
	// The read timed out, perhaps only because its connection is dead. The idle
	// connections are closed by now, so the second attempt dials a new one.
	reply, _ = c.try(ctx, call)
	return reply
}

func (c *Client) check(call object.Call) error {
	switch {
	case c.base == nil:
		return fmt.Errorf("%w: bad base URL %q", ErrInvalid, c.cfg.URL)
	case call.Op < object.Get || call.Op > object.List:
		return fmt.Errorf("%w: operation %d", ErrInvalid, call.Op)
	case !validKey(call):
		return fmt.Errorf("%w: key %q", ErrInvalid, call.Key)
	case len(call.Value) > object.MaxValueBytes:
		return fmt.Errorf("%w: %s has %d bytes", ErrTooBig, call.Key, len(call.Value))
	}
	return nil
}

// validKey reports whether a key passes through the path of a URL unchanged.
func validKey(call object.Call) bool {
	if call.Op == object.List {
		return len(call.Key) <= maxKeyBytes
	}
	key := string(call.Key)
	if len(key) > maxKeyBytes || call.Key.Kind() == "" || call.Key.Name() == "" {
		return false
	}
	return path.Clean("/"+key) == "/"+key
}

// try makes one attempt. It reports timedOut if no response came in time.
func (c *Client) try(ctx context.Context, call object.Call) (reply object.Reply, timedOut bool) {
	verdict, err := c.waitTurn(ctx)
	if err != nil {
		return object.Reply{Status: object.Refused, Err: err}, false
	}
	ex := c.send(ctx, c.cfg.Timeout, c.request(call))
	c.reportOutcome(verdict, ex)
	return readReply(call, ex), ex.timedOut
}

// waitTurn waits until the gate allows a call, at most for MaxWait. A call that had
// to wait longer would come too late to be useful, so its caller gets an error.
func (c *Client) waitTurn(ctx context.Context) (budget.Verdict, error) {
	deadline := time.Now().Add(c.cfg.MaxWait)
	for {
		d := c.askGate()
		switch d.Verdict {
		case budget.Allowed, budget.Probe:
			return d.Verdict, nil
		}
		cause := ErrBudget
		if d.Verdict == budget.Closed {
			cause = ErrOutage
		}
		if !sleep(ctx, min(d.Wait, time.Until(deadline))) || !time.Now().Before(deadline) {
			return 0, cause
		}
	}
}

func (c *Client) askGate() budget.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gate.Ask(time.Now())
}

func (c *Client) reportOutcome(v budget.Verdict, ex exchange) {
	if ex.timedOut {
		// The other idle connections may be dead like this one.
		c.http.CloseIdleConnections()
		c.addr.next()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gate.Report(time.Now(), v, ex.outcome())
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
