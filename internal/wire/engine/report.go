package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/order"

	"wagtailshelf.example/wagtailshelf/internal/wire/space"
)

// ErrNoReadBack reports that an engine can't report the state of its orders.
var ErrNoReadBack = errors.New("engine: orders can't be read back")

// StatusError reports an unexpected status code of a report or an order.
type StatusError struct {
	Code int
}

// Error returns a text with the status code.
func (e *StatusError) Error() string {
	return fmt.Sprintf("engine: status %d %s", e.Code, http.StatusText(e.Code))
}

// Load reads the engine's load.
func (c *Client) Load(ctx context.Context) (Load, error) {
	body, err := c.get(ctx, "/load", "")
	if err != nil {
		return Load{}, err
	}
	return DecodeLoad(body)
}

// Events reads a page of prefix cache events that begins at a sequence number.
func (c *Client) Events(ctx context.Context, from uint64) (Events, error) {
	query := url.Values{"from": {strconv.FormatUint(from, 10)}}
	body, err := c.get(ctx, "/events", query.Encode())
	if err != nil {
		return Events{}, err
	}
	return DecodeEvents(body)
}

// Counts reads the engine's totals since its start.
func (c *Client) Counts(ctx context.Context) (Counts, error) {
	body, err := c.get(ctx, "/counts", "")
	if err != nil {
		return Counts{}, err
	}
	return DecodeCounts(body)
}

// State reads the state of the engine's orders. It returns [ErrNoReadBack] if the engine
// can't report it.
func (c *Client) State(ctx context.Context) (State, error) {
	body, err := c.get(ctx, "/orders", "")
	if status := new(StatusError); errors.As(err, &status) && status.Code == http.StatusNotImplemented {
		return State{}, ErrNoReadBack
	}
	if err != nil {
		return State{}, err
	}
	return DecodeState(body)
}

// ReadBack returns [Client.State] in the form of package order. If the engine can't report
// the state, the returned state is marked as not known, and there is no error.
func (c *Client) ReadBack(ctx context.Context) (order.State, error) {
	s, err := c.State(ctx)
	if errors.Is(err, ErrNoReadBack) {
		return order.State{}, nil
	}
	if err != nil {
		return order.State{}, err
	}
	return s.toState(), nil
}

// SendOrder sends one copy of an order. The result lost reports that no reply arrived: the engine
// may have executed the order, or may still execute it. The connection of the copy is closed
// when SendOrder returns. A copy that was certainly not sent also counts as lost; the guard that
// counts the copies need not distinguish the two.
func (c *Client) SendOrder(ctx context.Context, o order.Order) (res order.Result, lost bool) {
	unknown := order.Result{ID: o.ID, Kind: o.Kind, Status: order.Unknown}
	w, err := encodeOrder(o)
	if err != nil {
		return unknown, true
	}
	reply, err := c.Order(ctx, w, c.orderTimeout(o))
	if err != nil {
		return unknown, true
	}
	return reply.toResult(o), false
}

// Order sends an order on a new connection and waits for the reply.
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

// Cancel asks the engine to cancel the run of a request. It is no error if there is no
// such run.
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

// get reads a report from a path of the engine.
func (c *Client) get(ctx context.Context, path, query string) ([]byte, error) {
	code, body, err := c.exchange(ctx, c.cfg.ReportTimeout, Call{Method: http.MethodGet, Path: path, RawQuery: query, Repeatable: true})
	if err != nil {
		return nil, err
	}
	if code != http.StatusOK {
		return nil, &StatusError{Code: code}
	}
	return body, nil
}

// exchange sends a call and reads the complete answer, within a time and size limit.
func (c *Client) exchange(ctx context.Context, timeout time.Duration, call Call) (int, []byte, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, timeout, ErrSilent)
	defer cancel()
	resp, err := c.Do(ctx, call)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err := space.ReadAll(resp.Body, resp.ContentLength, c.cfg.MaxReport, nil)
	if errors.Is(err, space.ErrTooLong) {
		return 0, nil, fmt.Errorf("%w: more than %d bytes", ErrInvalid, c.cfg.MaxReport)
	}
	if err != nil {
		return 0, nil, &CallError{Err: err}
	}
	return resp.StatusCode, body, nil
}
