package sidecar

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/phuslu/log"

	"wagtailshelf.example/wagtailshelf/internal/program/task"
	"wagtailshelf.example/wagtailshelf/internal/wire/witness"
)

// newWitnesses returns the witnesses of a target. They are not kept: it may serve one connection after the other.
func newWitnesses(l *log.Logger) *witness.Set {
	s := witness.New()
	s.Keep = func(netip.AddrPort) bool { return false }
	s.Go = func(f func()) { task.Go(l, "witness", f) }
	return s
}

// watched is a call's view of the process of its target. A call that gets a second connection is watched anew.
type watched struct {
	mu    sync.Mutex
	watch *witness.Watch // nil without a connection
}

func (w *watched) begin(x *witness.Watch) {
	w.stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watch = x
}

func (w *watched) current() *witness.Watch {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.watch
}

func (w *watched) stop() {
	if x := w.current(); x != nil {
		x.Stop()
	}
}

func (w *watched) seek(now time.Time) {
	if x := w.current(); x != nil {
		x.Seek(now)
	}
}

// end returns what is known of the target's process as its answer has ended.
func (w *watched) end(ctx context.Context) witness.Proof {
	if x := w.current(); x != nil {
		return x.End(ctx)
	}
	return witness.None
}
