// Package rankport is the protocol between the planner of an expert group and the sidecars
// on the hosts of the group's ranks: the planner polls the state of a rank and sends orders
// to it. Messages are CBOR over HTTP.
//
// Orders that a sidecar gives to the rank on its own host cost nothing, and it reads the
// rank's counts without a pause of the group. From another host both have a cost.
package rankport

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"wagtailshelf.example/wagtailshelf/internal/expert/changeover"
	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/wire/response"
	"wagtailshelf.example/wagtailshelf/internal/wire/space"
)

// ErrSuperseded reports that a sidecar follows a planner with a higher term.
var ErrSuperseded = merry.New("a newer planner leads the group")

// ErrNeedsMap reports that a sidecar does not have the map that a delta is based on.
var ErrNeedsMap = merry.New("the sidecar needs the complete map")

// Planner identifies the planner that sends a message.
type Planner struct {
	Term  int64            `cbor:"1,keyasint"` // a later planner of the group has a higher term
	Name  string           `cbor:"2,keyasint"`
	Rank  int              `cbor:"3,keyasint"` // rank of the group on whose host the planner runs
	Group roster.GroupName `cbor:"4,keyasint"` // group that the planner plans for
}

// Poll is the request for the state of a rank.
type Poll struct {
	Asker      Planner `cbor:"1,keyasint"`
	WantCounts bool    `cbor:"2,keyasint"` // include State.Counts in the response
	Since      uint64  `cbor:"3,keyasint"` // State.Mark of the last response: Counts holds what was added since
	WantLists  bool    `cbor:"4,keyasint"` // include State.Lists in the response
	// Entries are sent to the sidecars that plan next if the planner fails, since they have
	// to continue the planner updates to the entries at once.
	Entries []Entry `cbor:"5,keyasint,omitempty"`
}

// Entry is an entry whose heartbeats the planner receives.
type Entry struct {
	Address netip.AddrPort `cbor:"1,keyasint"`
	Demand  float64        `cbor:"2,keyasint"`
	Fresh   bool           `cbor:"3,keyasint"`
}

// State is the state of a rank, the response to a poll.
type State struct {
	// Term is the term of the planner that the sidecar follows; 0 if the asker plans for
	// another group than that of the rank.
	Term   int64             `cbor:"1,keyasint"`
	Report changeover.Report `cbor:"2,keyasint"`
	Mark   uint64            `cbor:"3,keyasint"` // identifies the state of the counts; the next poll sends it as Poll.Since
	Counts Counts            `cbor:"4,keyasint"` // none if the sidecar doesn't know the mark
	Lists  changeover.Lists  `cbor:"5,keyasint"`
	Failed string            `cbor:"6,keyasint"` // why the sidecar could not read the engine's state
}

// Order carries an order to a rank.
type Order struct {
	Asker Planner          `cbor:"1,keyasint"`
	Order changeover.Order `cbor:"2,keyasint"`
	// Base and Delta replace the map of a prepare order: Base is the digest of a map that
	// the sidecar has, and Delta the delta from it. A map of 72 ranks has 2.6 KB, and a
	// delta some hundred bytes.
	Base  string `cbor:"3,keyasint"`
	Delta []byte `cbor:"4,keyasint"`
}

// OrderResult is the result of an order.
type OrderResult struct {
	Term   int64             `cbor:"1,keyasint"`
	Result changeover.Result `cbor:"2,keyasint"`
	Failed string            `cbor:"3,keyasint"` // why the order failed
	// NeedsMap reports that the sidecar does not have the base map and did nothing.
	NeedsMap bool `cbor:"4,keyasint"`
}

const (
	pollPath  = "/rank/look"
	orderPath = "/rank/order"
	// maxRequest bounds a poll or an order; the largest is a map of some hundred ranks.
	maxRequest = 1 << 20
	// maxDecoding is how many requests are decoded at the same time: a message of many small items takes up
	// twenty times its size.
	maxDecoding = 2
	// maxMessage bounds the answer to one.
	maxMessage = 4 << 20
	// callTimeout covers the sidecar's own call to its engine.
	callTimeout = 350 * time.Millisecond
	// lookTimeout bounds a poll: a lost packet is sent again after 200 ms.
	pollTimeout = 250 * time.Millisecond
	// PrepareWait is how long a sidecar waits for its engine to copy experts before
	// it responds; prepareTimeout includes it.
	PrepareWait    = time.Second
	prepareTimeout = PrepareWait + callTimeout
)

// Handler is the sidecar's side of the protocol.
type Handler struct {
	Poll  func(context.Context, Poll) State
	Order func(context.Context, Order) OrderResult
	Space *space.Budget // bounds the bytes of requests that are held; nil for no bound
}

// Register adds the handler's paths to a mux.
func (h Handler) Register(mux *http.ServeMux) {
	in := &requests{space: h.Space, decoding: make(chan struct{}, maxDecoding)}
	mux.HandleFunc("POST "+pollPath, func(w http.ResponseWriter, r *http.Request) {
		serve(w, r, in, h.Poll)
	})
	mux.HandleFunc("POST "+orderPath, func(w http.ResponseWriter, r *http.Request) {
		serve(w, r, in, h.Order)
	})
}

// requests reads and decodes requests within bounds.
type requests struct {
	space    *space.Budget
	decoding chan struct{} // holds an element for each request that is decoded
}

// read decodes the body of a request. With an error, it has answered the request.
func (q *requests) read(w http.ResponseWriter, r *http.Request, in any) error {
	held := q.space.Hold(space.Callers)
	defer held.Release()
	control := http.NewResponseController(w)
	held.MayYield(func() { _ = control.SetReadDeadline(time.Now()) }) // fails only if the connection is closed
	text, err := space.ReadAll(r.Body, r.ContentLength, maxRequest, held)
	if held.Complete() || err != nil {
		w.Header().Set("Connection", "close")
		w.WriteHeader(statusOf(err))
		return merry.Wrap(ErrNotRead)
	}
	q.decoding <- struct{}{}
	defer func() { <-q.decoding }()
	if err := cbor.Unmarshal(text, in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return merry.Wrap(err)
	}
	return nil
}

// ErrNotRead reports a request that was not read to its end.
var ErrNotRead = merry.New("the request was not read")

// statusOf returns the status for a request that was not read to its end.
func statusOf(err error) int {
	switch {
	case errors.Is(err, space.ErrTooLong):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, space.ErrNoSpace):
		return http.StatusServiceUnavailable
	}
	return http.StatusRequestTimeout
}

func serve[In, Out any](w http.ResponseWriter, r *http.Request, q *requests, handle func(context.Context, In) Out) {
	var in In
	if q.read(w, r, &in) != nil {
		return
	}
	out, err := cbor.Marshal(handle(r.Context(), in))
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	// The planner notices if the response does not arrive.
	_, _ = w.Write(out)
}

// Client is the planner's side of the protocol.
type Client struct {
	client *http.Client
}

// NewClient returns a client with a connection pool of its own.
func NewClient() *Client {
	return &Client{client: &http.Client{
		Transport: response.NewTransport(&http.Transport{
			MaxIdleConnsPerHost: 2, IdleConnTimeout: 5 * time.Second, DisableCompression: true,
		}),
	}}
}

// Poll polls the state of a rank.
func (c *Client) Poll(ctx context.Context, at netip.AddrPort, l Poll) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	s, err := call[Poll, State](ctx, c, at, pollPath, l)
	switch {
	case err != nil:
		return s, err
	case s.Term > l.Asker.Term:
		return s, merry.Wrap(ErrSuperseded)
	case s.Failed != "":
		return s, merry.Errorf("the sidecar could not read the engine's state: %s", s.Failed)
	}
	return s, nil
}

// Order sends an order to a rank and returns its result.
func (c *Client) Order(ctx context.Context, at netip.AddrPort, o Order) (changeover.Result, error) {
	timeout := callTimeout
	if o.Order.Operation == changeover.Prepare {
		timeout = prepareTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	d, err := call[Order, OrderResult](ctx, c, at, orderPath, o)
	switch {
	case err != nil:
		return changeover.Unanswered, err
	case d.NeedsMap:
		return changeover.Unanswered, merry.Wrap(ErrNeedsMap)
	case d.Term > o.Asker.Term:
		return changeover.WrongState, merry.Wrap(ErrSuperseded)
	}
	return d.Result, nil
}

func call[In, Out any](ctx context.Context, c *Client, at netip.AddrPort, path string, in In) (Out, error) {
	var out Out
	text, err := cbor.Marshal(in)
	if err != nil {
		return out, merry.Wrap(err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at.String()+path, bytes.NewReader(text))
	if err != nil {
		return out, merry.Wrap(err)
	}
	w, err := c.client.Do(r)
	if err != nil {
		return out, merry.Wrap(err)
	}
	defer w.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(w.Body, maxMessage))
	if err != nil {
		return out, merry.Wrap(err)
	}
	if w.StatusCode != http.StatusOK {
		return out, merry.Errorf("%s: status %d", path, w.StatusCode)
	}
	if err := cbor.Unmarshal(answer, &out); err != nil {
		return out, merry.Wrap(err)
	}
	return out, nil
}
