package gateway

import (
	"sync"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
)

const (
	// leftKept is how long a target that left is remembered. A copy that the store comes
	// back from is some seconds old.
	leftKept = 2 * time.Minute
	// mostLeft bounds the memory of it: a release of all servers, three times over.
	mostLeft = 4096
	// copyLasts is how long a copy's entry of a server that has left may stand: it lapses
	// after three heartbeats. One that stands longer is of a server that lives, and had lost
	// the store.
	copyLasts = 10 * time.Second
)

// left are the lives of targets that have left. A store that comes back from a copy lists
// those that left since, as ready: callers would be sent to servers that are about to end, or
// have.
type left struct {
	mu    sync.Mutex
	lives map[string]leftLife
	held  map[string]leftLife // that a copy lists, and since when
}

type leftLife struct {
	target roster.Target
	at     time.Time
}

func newLeft() *left {
	return &left{lives: make(map[string]leftLife), held: make(map[string]leftLife)}
}

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

// hold tells whether a target that a copy lists is a life that has left, or an earlier one of a
// target that the entry knows. It is held then, until its entry lapses, is written again, or has
// stood for so long that the server must live.
func (l *left) hold(now time.Time, t roster.Target, known roster.Target) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	was, found := l.lives[t.ID]
	hasLeft := found && was.target.SameLife(t) && now.Sub(was.at) < leftKept
	isEarlier := known.ID == t.ID && !known.SameLife(t) && !t.Born.After(known.Born)
	if !hasLeft && !isEarlier {
		return false
	}
	l.held[t.ID] = leftLife{target: t, at: now}
	return true
}

// told says that the store has told of a target since: that goes before what a copy has.
func (l *left) told(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.held, id)
}

// due are the targets whose entries of a copy have not lapsed.
func (l *left) due(now time.Time) []roster.Target {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []roster.Target
	for id, life := range l.held {
		if now.Sub(life.at) >= copyLasts {
			list = append(list, life.target)
			delete(l.held, id)
		}
	}
	return list
}

func (l *left) sweep(now time.Time) {
	for id, life := range l.lives {
		if now.Sub(life.at) >= leftKept {
			delete(l.lives, id)
		}
	}
}
