package platform

import (
	"context"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/record/object"
	"wagtailshelf.example/wagtailshelf/internal/record/watch"
)

// Follow drives a follower until ctx ends. It calls changed with the objects that
// have changed, deleted ones with a nil value, and current after each successful
// read. Both run on Follow's goroutine.
func (c *Client) Follow(ctx context.Context, f *watch.Follower, prefix object.Key, changed func([]object.Object), current func()) {
	l := follow{client: c, follower: f, prefix: prefix, changed: changed, current: current}
	for ctx.Err() == nil {
		if !sleep(ctx, time.Until(f.Deadline())) {
			return
		}
		l.handle(ctx, watch.Event{Kind: watch.Tick})
	}
}

// follow is the state of one call of [Client.Follow].
type follow struct {
	client   *Client
	follower *watch.Follower
	prefix   object.Key
	changed  func([]object.Object)
	current  func()
}

// handle passes one event to the follower and carries out the actions that it returns.
func (l *follow) handle(ctx context.Context, ev watch.Event) {
	for _, a := range l.follower.Handle(time.Now(), ev) {
		switch a.Kind {
		case watch.Changed:
			l.changed(a.Objects)
		case watch.ReadSucceeded:
			l.current()
		case watch.Read:
			l.handle(ctx, watch.Event{Kind: watch.ReadDone, Reply: l.client.Do(ctx, a.Call)})
		case watch.Watch:
			objs, next, err := l.client.Watch(ctx, l.prefix, a.Since)
			l.handle(ctx, watch.Event{Kind: watch.WatchDone, Objects: objs, Next: next, Failed: err != nil})
		}
	}
}
