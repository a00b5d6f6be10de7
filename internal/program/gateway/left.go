package gateway

import (
	"sync"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
)

const (
	// leftKept is how long a target that left is remembered. A copy that the store comes
	// back from is some seconds old, and entries in it lapse within seconds.
	leftKept = 2 * time.Minute
	// mostLeft bounds the memory of it: a release of all servers, three times over.
	mostLeft = 4096
)

// left are the lives of targets that have left. A store that comes back from a copy lists
// those that left since, as ready: callers would be sent to servers that are about to end, or
// have.
type left struct {
	mu    sync.Mutex
	lives map[string]leftLife
	until time.Time // the list may be of a copy until then
}

type leftLife struct {
	target roster.Target
	at     time.Time
}

func newLeft() *left { return &left{lives: make(map[string]leftLife)} }

// note remembers a target that is gone.
func (l *left) note(now time.Time, t roster.Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.lives) >= mostLeft {
		l.sweep(now)
	}
	if len(l.lives) < mostLeft {
		l.lives[t.ID] = leftLife{target: t, at: now}
	}
}

// renewed says that the store has come back from a copy.
func (l *left) renewed(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	l.until = now.Add(leftKept)
}

// is tells whether a listed target is a life that has left, as a copy shows it.
func (l *left) is(now time.Time, t roster.Target) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.After(l.until) {
		return false
	}
	was, found := l.lives[t.ID]
	return found && was.target.SameLife(t) && now.Sub(was.at) < leftKept
}

func (l *left) sweep(now time.Time) {
	for id, life := range l.lives {
		if now.Sub(life.at) >= leftKept {
			delete(l.lives, id)
		}
	}
}
