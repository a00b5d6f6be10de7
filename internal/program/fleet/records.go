package fleet

import (
	"context"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/record/acceptance"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

// call makes a platform call and hands its reply back. A call that finds too many
// on their way ends as refused: the decisions then wait and try again.
func (f *Fleet) call(ctx context.Context, c object.Call, register bool) {
	select {
	case f.calls <- struct{}{}:
	default:
		f.reply(ctx, object.Reply{ID: c.ID, Op: c.Op, Status: object.Refused}, register)
		return
	}
	go func() {
		r := f.cfg.Platform.Do(ctx, c)
		<-f.calls
		f.reply(ctx, r, register)
	}()
}

// reply hands the end of a call to the owner of the decisions. Unlike a message
// it is not dropped, because nobody repeats it.
func (f *Fleet) reply(ctx context.Context, r object.Reply, register bool) {
	ev := event{acceptance: acceptance.Event{Kind: acceptance.Answer, Reply: r}}
	if register {
		ev = event{register: true, reply: r}
	}
	select {
	case f.inbox <- ev:
		return
	default:
	}
	go func() {
		select {
		case f.inbox <- ev:
		case <-ctx.Done():
		}
	}()
}

func (f *Fleet) tellWatch(on bool) {
	select {
	case f.watch <- on:
	default:
		f.counts.dropped.Inc()
	}
}

// follow watches the documents while this process holds the lease.
func (f *Fleet) follow(ctx context.Context) error {
	for {
		var on bool
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case on = <-f.watch:
		}
		for on {
			on = f.watchUntilTold(ctx)
		}
	}
}

// watchUntilTold watches until the lease is lost, or begins again where it is
// gained anew, and tells which.
func (f *Fleet) watchUntilTold(ctx context.Context) (on bool) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- f.watchDocuments(ctx) }()
	on = false
	select {
	case on = <-f.watch:
	case <-ctx.Done():
	}
	stop()
	<-ended
	return on
}

// watchDocuments shows each change of a document to the decisions. A watch that
// fails may have missed one, so a read follows.
func (f *Fleet) watchDocuments(ctx context.Context) error {
	prefix := object.Key(acceptance.DocumentKind + "/")
	var since object.Version
	for {
		objects, next, err := f.cfg.Platform.Watch(ctx, prefix, since)
		if err == nil {
			since = next
			f.observe(objects)
			continue
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-time.After(watchPause):
		}
		r := f.cfg.Platform.Do(ctx, object.Call{Op: object.List, Key: prefix, Cause: watchCause})
		if r.Status == object.Done {
			f.observe(r.Objects)
		}
	}
}

func (f *Fleet) observe(objects []object.Object) {
	for _, o := range objects {
		if o.Value != nil {
			f.put(event{acceptance: acceptance.Event{Kind: acceptance.Observed, Object: o}})
		}
	}
}
