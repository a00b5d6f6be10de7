package platform

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/record/budget"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

// watchCause is the cause that watches are counted by.
const watchCause object.Cause = "watch"

// Watch waits, at most for Config.Watch, until an object below the prefix has a
// version above since. It returns the changed objects, a deleted one with a nil
// value, and the version to go on from; no objects if nothing changed.
//
// Events can be missed and connections go silent, so the caller follows each
// watch, failed ones included, by a read.
func (c *Client) Watch(ctx context.Context, prefix object.Key, since object.Version) ([]object.Object, object.Version, error) {
	if c.base == nil {
		return nil, since, fmt.Errorf("%w: bad base URL %q", ErrInvalid, c.cfg.URL)
	}
	verdict, err := c.turn(ctx)
	if err != nil {
		return nil, since, err
	}
	wait := c.cfg.Watch
	if verdict == budget.Probe {
		// A probe that waits would keep all other calls waiting.
		wait = 0
	}
	return c.watch(ctx, verdict, prefix, since, wait)
}

func (c *Client) watch(ctx context.Context, v budget.Verdict, prefix object.Key, since object.Version, wait time.Duration) ([]object.Object, object.Version, error) {
	ex := c.send(ctx, wait+c.cfg.Timeout, watchRequest(prefix, since, wait))
	c.countWatch(ex)
	c.report(v, ex)
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
