package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/order"
)

// ErrCantTell tells that an engine doesn't know what it was ordered.
var ErrCantTell = errors.New("engine: orders can't be read back")

// StatusError is a status code that a report or an order doesn't expect.
type StatusError struct {
	Code int
}

// Error names the status code.
func (e *StatusError) Error() string {
	return fmt.Sprintf("engine: status %d %s", e.Code, http.StatusText(e.Code))
}

// Load reads the engine's load.
func (c *Client) Load(ctx context.Context) (Load, error) {
	body, err := c.read(ctx, "/load", "")
	if err != nil {
		return Load{}, err
	}
	return DecodeLoad(body)
}

// Events reads the prefix cache events from a sequence number on.
func (c *Client) Events(ctx context.Context, from uint64) (Events, error) {
	query := url.Values{"from": {strconv.FormatUint(from, 10)}}
	body, err := c.read(ctx, "/events", query.Encode())
	if err != nil {
		return Events{}, err
	}
	return DecodeEvents(body)
}

// Counts reads what the engine did since its start.
func (c *Client) Counts(ctx context.Context) (Counts, error) {
	body, err := c.read(ctx, "/counts", "")
	if err != nil {
		return Counts{}, err
	}
	return DecodeCounts(body)
}

// State reads back what the engine was ordered. It returns [ErrCantTell] if the
// engine doesn't know.
func (c *Client) State(ctx context.Context) (State, error) {
	body, err := c.read(ctx, "/orders", "")
	if status := new(StatusError); errors.As(err, &status) && status.Code == http.StatusNotImplemented {
		return State{}, ErrCantTell
	}
	if err != nil {
		return State{}, err
	}
	return DecodeState(body)
}

// ReadBack is [Client.State] in the form of package order. An engine that can't
// tell gives a state that is not known, and no error.
func (c *Client) ReadBack(ctx context.Context) (order.State, error) {
	s, err := c.State(ctx)
	if errors.Is(err, ErrCantTell) {
		return order.State{}, nil
	}
	if err != nil {
		return order.State{}, err
	}
	return s.state(), nil
}

// Give sends one copy of an order. Lost tells that no answer came: the order may
// have been carried out, or may still be. The connection of the copy is closed
// by then. A copy that was certainly not sent is lost as well; the guard that
// counts the copies need not tell these apart.
func (c *Client) Give(ctx context.Context, o order.Order) (res order.Result, lost bool) {
	unknown := order.Result{ID: o.ID, Kind: o.Kind, Status: order.Unknown}
	w, err := encodeOrder(o)
	if err != nil {
		return unknown, true
	}
	reply, err := c.Order(ctx, w, c.orderTimeout(o))
	if err != nil {
		return unknown, true
	}
	return reply.result(o), false
}

// Order gives an order on a connection of its own and waits for the answer.
func (c *Client) Order(ctx context.Context, ord Order, timeout time.Duration) (OrderReply, error) {
	data, err := json.Marshal(ord)
	if err != nil {
		return OrderReply{}, &CallError{NotSent: true, Err: err}
	}
	code, body, err := c.exchange(ctx, timeout, Call{
		Method:        http.MethodPost,
		Path:          "/orders",
		Header:        http.Header{"Content-Type": {"application/json"}},
		Body:          bytes.NewReader(data),
		ContentLength: int64(len(data)),
	})
	if err != nil {
		return OrderReply{}, err
	}
	if code != http.StatusOK && code != http.StatusConflict {
		return OrderReply{}, &StatusError{Code: code}
	}
	return DecodeOrderReply(body)
}

// Cancel asks the engine to cancel the run of a request. A run that is not
// there is no error.
func (c *Client) Cancel(ctx context.Context, id string) error {
	query := url.Values{"id": {id}}
	code, _, err := c.exchange(ctx, c.cfg.ReportTimeout, Call{Method: http.MethodPost, Path: "/cancel", RawQuery: query.Encode(), Repeatable: true})
	if err != nil {
		return err
	}
	if code >= http.StatusMultipleChoices && code != http.StatusNotFound {
		return &StatusError{Code: code}
	}
	return nil
}

func (c *Client) read(ctx context.Context, path, query string) ([]byte, error) {
	code, body, err := c.exchange(ctx, c.cfg.ReportTimeout, Call{Method: http.MethodGet, Path: path, RawQuery: query, Repeatable: true})
	if err != nil {
		return nil, err
	}
	if code != http.StatusOK {
		return nil, &StatusError{Code: code}
	}
	return body, nil
}

// exchange carries out a call and reads its whole answer, bounded in time and size.
func (c *Client) exchange(ctx context.Context, timeout time.Duration, call Call) (int, []byte, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, timeout, ErrSilent)
	defer cancel()
	resp, err := c.Do(ctx, call)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.cfg.MaxReport+1))
	if err != nil {
		return 0, nil, &CallError{Err: err}
	}
	if int64(len(body)) > c.cfg.MaxReport {
		return 0, nil, fmt.Errorf("%w: more than %d bytes", ErrInvalid, c.cfg.MaxReport)
	}
	return resp.StatusCode, body, nil
}
