// Package rankport is how the process that plans for an expert group speaks to the
// sidecars beside the group's ranks: a look at a rank, and an order to it. Messages
// are CBOR over HTTP.
//
// An order from a rank's own host is free and its counts are read without a pause
// of the group; from elsewhere both cost.
package rankport

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"wagtailshelf.example/wagtailshelf/internal/expert/changeover"
	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
)

// ErrSuperseded reports that a sidecar follows a newer planner.
var ErrSuperseded = merry.New("a newer planner has the duty")

// ErrNeedsMap reports that a sidecar does not have the map that changes are based on.
var ErrNeedsMap = merry.New("the sidecar needs the whole map")

// Asker names the planner that asks.
type Asker struct {
	Term  int64            `cbor:"1,keyasint"` // a later planner of the group has a higher one
	Name  string           `cbor:"2,keyasint"`
	Rank  int              `cbor:"3,keyasint"` // of the group, beside which it runs
	Group roster.GroupName `cbor:"4,keyasint"` // that it plans for
}

// Look asks for the state of a rank.
type Look struct {
	Asker  Asker  `cbor:"1,keyasint"`
	Counts bool   `cbor:"2,keyasint"`
	Since  uint64 `cbor:"3,keyasint"` // the mark of the last answer: counts come as what was added
	Lists  bool   `cbor:"4,keyasint"`
	// Entries are told to those that plan next, should the planner fail: they have to
	// go on telling the entries of the ranks at once.
	Entries []Entry `cbor:"5,keyasint,omitempty"`
}

// Entry is one that made itself known to the planner.
type Entry struct {
	Address netip.AddrPort `cbor:"1,keyasint"`
	Demand  float64        `cbor:"2,keyasint"`
	Fresh   bool           `cbor:"3,keyasint"`
}

// Seen is the state of a rank.
type Seen struct {
	// Term is that of the planner that the sidecar follows; 0 if the asker plans for
	// another group than the rank's.
	Term   int64             `cbor:"1,keyasint"`
	Report changeover.Report `cbor:"2,keyasint"`
	Mark   uint64            `cbor:"3,keyasint"`
	Counts Counts            `cbor:"4,keyasint"` // none if the sidecar doesn't know the mark
	Lists  changeover.Lists  `cbor:"5,keyasint"`
	Failed string            `cbor:"6,keyasint"` // why the engine could not be asked
}

// Order is an order to a rank.
type Order struct {
	Asker Asker            `cbor:"1,keyasint"`
	Order changeover.Order `cbor:"2,keyasint"`
	// Base and Changes stand for the map of a prepare order: the digest of a map that
	// the sidecar has, and what differs from it. A map of 72 ranks has 2.6 KB, and what
	// differs some hundred bytes.
	Base    string `cbor:"3,keyasint"`
	Changes []byte `cbor:"4,keyasint"`
}

// Done is what came of an order.
type Done struct {
	Term   int64             `cbor:"1,keyasint"`
	Result changeover.Result `cbor:"2,keyasint"`
	Failed string            `cbor:"3,keyasint"`
	// NeedsMap tells that the sidecar does not have the base, and nothing was done.
	NeedsMap bool `cbor:"4,keyasint"`
}

const (
	lookPath  = "/rank/look"
	orderPath = "/rank/order"
	// maxMessage bounds a message; the largest is a map of some hundred ranks.
	maxMessage = 4 << 20
	// callTimeout covers the sidecar's own call to its engine.
	callTimeout = 350 * time.Millisecond
	// lookTimeout of a look: a packet that is lost is sent again after 200 ms.
	lookTimeout = 250 * time.Millisecond
	// PrepareWait is how long a sidecar waits for its engine to copy experts before
	// it answers; prepareTimeout covers it.
	PrepareWait    = time.Second
	prepareTimeout = PrepareWait + callTimeout
)

// Handler serves a sidecar's side.
type Handler struct {
	Look  func(context.Context, Look) Seen
	Order func(context.Context, Order) Done
}

// Register adds the paths to a mux.
func (h Handler) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST "+lookPath, func(w http.ResponseWriter, r *http.Request) {
		serve(w, r, h.Look)
	})
	mux.HandleFunc("POST "+orderPath, func(w http.ResponseWriter, r *http.Request) {
		serve(w, r, h.Order)
	})
}

func serve[In, Out any](w http.ResponseWriter, r *http.Request, do func(context.Context, In) Out) {
	var in In
	text, err := io.ReadAll(io.LimitReader(r.Body, maxMessage))
	if err == nil {
		err = cbor.Unmarshal(text, &in)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	out, err := cbor.Marshal(do(r.Context(), in))
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	// The asker finds out by itself if the answer does not arrive.
	_, _ = w.Write(out)
}

// Client is the planner's side.
type Client struct {
	client *http.Client
}

// NewClient returns a client.
func NewClient() *Client {
	return &Client{client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 5 * time.Second, DisableCompression: true},
	}}
}

// Look asks for the state of a rank.
func (c *Client) Look(ctx context.Context, at netip.AddrPort, l Look) (Seen, error) {
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	s, err := call[Look, Seen](ctx, c, at, lookPath, l)
	switch {
	case err != nil:
		return s, err
	case s.Term > l.Asker.Term:
		return s, merry.Wrap(ErrSuperseded)
	case s.Failed != "":
		return s, merry.Errorf("the engine could not be asked: %s", s.Failed)
	}
	return s, nil
}

// Order gives an order to a rank.
func (c *Client) Order(ctx context.Context, at netip.AddrPort, o Order) (changeover.Result, error) {
	timeout := callTimeout
	if o.Order.Operation == changeover.Prepare {
		timeout = prepareTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	d, err := call[Order, Done](ctx, c, at, orderPath, o)
	switch {
	case err != nil:
		return changeover.NoAnswer, err
	case d.NeedsMap:
		return changeover.NoAnswer, merry.Wrap(ErrNeedsMap)
	case d.Term > o.Asker.Term:
		return changeover.Unfit, merry.Wrap(ErrSuperseded)
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
