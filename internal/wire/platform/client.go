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
	ErrOutage  = errors.New("platform: outage, call held back")
	ErrBudget  = errors.New("platform: call rate over budget")
	ErrTooBig  = errors.New("platform: value too large")
	ErrInvalid = errors.New("platform: invalid call")
)

// Config sets up a [Client].
type Config struct {
	URL      string        // base URL, for example "http://127.0.0.1:7000"
	Budget   budget.Config // rate, backoff, return after an outage
	Timeout  time.Duration // wait for the answer to a call; DefaultTimeout if zero
	MaxWait  time.Duration // wait for a call's turn; DefaultMaxWait if zero
	Watch    time.Duration // bound of a watch; DefaultWatch if zero
	MaxReply int64         // bytes of an answer; DefaultMaxReply if zero
	Metrics  *metrics.Set  // a private set if nil
	Seed     uint64        // of the jitter; random if zero

	// Addresses are dialled in the place of the URL's host: the first one, and
	// the next after a failed dial or silence.
	Addresses []netip.AddrPort
	// Dial opens connections; net.Dialer if nil.
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
		// Shorter than a call's timeout, so that the next address gets its turn.
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

// New returns a client. An invalid URL fails each call.
func New(cfg Config) *Client {
	cfg = cfg.withDefaults()
	base, err := url.Parse(cfg.URL)
	if err != nil {
		base = nil
	}
	addr := &addresses{list: cfg.Addresses, dialer: cfg.Dial}
	transport := &http.Transport{
		DialContext:         addr.dial,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
		ForceAttemptHTTP2:   false,
	}
	return &Client{
		cfg:  cfg,
		base: base,
		http: &http.Client{Transport: transport},
		addr: addr,
		gate: budget.New(cfg.Budget, rand.New(rand.NewPCG(cfg.Seed, 0))),
	}
}

// Close drops the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Out tells whether the client takes the platform to be out.
func (c *Client) Out() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gate.Closed()
}

// Do carries out one call. The reply's status is Unknown when the call is a
// write that may have taken effect, or a read that got no answer.
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
	reply, silent := c.try(ctx, call)
	if !silent || isWrite(call.Op) || ctx.Err() != nil {
		return reply
	}
	// The read met silence, perhaps of its connection only. The idle ones are
	// dropped by now, so this second try dials.
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

// validKey keeps keys to what passes through a URL's path unchanged.
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

// try makes one attempt. Silent tells that the answer did not come in time.
func (c *Client) try(ctx context.Context, call object.Call) (reply object.Reply, silent bool) {
	verdict, err := c.turn(ctx)
	if err != nil {
		return object.Reply{Status: object.Refused, Err: err}, false
	}
	ex := c.send(ctx, c.cfg.Timeout, c.request(call))
	c.report(verdict, ex)
	return readReply(call, ex), ex.silent
}

// turn waits until the gate lets a call through, at most for MaxWait: a call
// that waits longer would miss its own purpose, and its caller is told at once.
func (c *Client) turn(ctx context.Context) (budget.Verdict, error) {
	give := time.Now().Add(c.cfg.MaxWait)
	for {
		d := c.ask()
		switch d.Verdict {
		case budget.Allowed, budget.Probe:
			return d.Verdict, nil
		}
		cause := ErrBudget
		if d.Verdict == budget.Closed {
			cause = ErrOutage
		}
		if !sleep(ctx, min(d.Wait, time.Until(give))) || !time.Now().Before(give) {
			return 0, cause
		}
	}
}

func (c *Client) ask() budget.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gate.Ask(time.Now())
}

func (c *Client) report(v budget.Verdict, ex exchange) {
	if ex.silent {
		// The other idle connections may have gone silent with this one.
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
