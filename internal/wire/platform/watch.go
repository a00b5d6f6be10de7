package platform

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/record/budget"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

// watchCause is the cause under which watches are counted.
const watchCause object.Cause = "watch"

// Watch waits, at most for Config.Watch, until an object with the prefix has a
// version above since. It returns the changed objects, a deleted one with a nil
// value, and the version to pass to the next watch. Without a change it returns
// no objects.
//
// Events can be missed and connections can stop delivering data, so the caller has
// to read the objects after each watch, failed ones included.
func (c *Client) Watch(ctx context.Context, prefix object.Key, since object.Version) ([]object.Object, object.Version, error) {
	if c.base == nil {
		return nil, since, fmt.Errorf("%w: bad base URL %q", ErrInvalid, c.cfg.URL)
	}
	verdict, err := c.waitTurn(ctx)
	if err != nil {
		return nil, since, err
	}
	wait := c.cfg.Watch
	if verdict == budget.Probe {
		// All other calls wait for the outcome of a probe, so it must not wait itself.
		wait = 0
	}
	return c.watch(ctx, verdict, prefix, since, wait)
}

func (c *Client) watch(ctx context.Context, v budget.Verdict, prefix object.Key, since object.Version, wait time.Duration) ([]object.Object, object.Version, error) {
	ex := c.send(ctx, wait+c.cfg.Timeout, watchRequest(prefix, since, wait))
	c.countWatch(ex)
	c.reportOutcome(v, ex)
	if ex.err != nil {
		return nil, since, ex.err
	}
	if ex.code != http.StatusOK {
		return nil, since, fmt.Errorf("platform: watch: status %d", ex.code)
	}
	objs, next, err := decodeObjects(prefix, ex.body)
	if err != nil {
		return nil, since, err
	}
	return objs, max(next, since), nil
}
