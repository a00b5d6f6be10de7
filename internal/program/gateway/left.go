package gateway

import (
	"sync"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
)

const (
	// departureRetention is how long a target that left is remembered. A backup that the store
	// is restored from is some seconds old.
	departureRetention = 2 * time.Minute
	// maxDepartures bounds the memory used: a release of all servers, three times over.
	maxDepartures = 4096
	// restoredEntryLifetime is how long an entry may remain that its server does not renew, as the
	// restored one of a server that has left, or one that another writer has overwritten: it expires
	// after three heartbeats. An entry that remains longer is written by a live server.
	restoredEntryLifetime = 10 * time.Second
)

// departed remembers the incarnations of targets that have left. A store that is restored from
// a backup lists targets that left since as ready: callers would be sent to servers that are
// about to end, or have ended.
type departed struct {
	mu         sync.Mutex
	departures map[string]departure
	withheld   map[string]departure // listed by a restored backup or another writer, and since when
}

// departure is an incarnation of a target and the time at which it was remembered.
type departure struct {
	target roster.Target
	at     time.Time
}

func newDeparted() *departed {
	return &departed{departures: make(map[string]departure), withheld: make(map[string]departure)}
}

// note remembers a target that has left.
func (l *departed) note(now time.Time, t roster.Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.departures) >= maxDepartures {
		l.sweep(now)
	}
	if len(l.departures) < maxDepartures {
		l.departures[t.ID] = departure{target: t, at: now}
	}
}

// withhold reports whether a target that a restored backup lists is an incarnation that has left,
// or an earlier one of a target that the entry knows. It is then withheld until its entry expires,
// is written again, or has remained for so long that the server must be live.
func (l *departed) withhold(now time.Time, t roster.Target, known roster.Target) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous, found := l.departures[t.ID]
	hasLeft := found && previous.target.SameIncarnation(t) && now.Sub(previous.at) < departureRetention
	isEarlier := known.ID == t.ID && !known.SameIncarnation(t) && !t.Started.After(known.Started)
	if !hasLeft && !isEarlier {
		return false
	}
	l.withheld[t.ID] = departure{target: t, at: now}
	return true
}

// isWithheld reports whether an entry is withheld, and has not been written since. A list that repeats it, as after
// the store has dropped its history, says nothing new of its server.
func (l *departed) isWithheld(t roster.Target) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	held, found := l.withheld[t.ID]
	return found && held.target.ChangedAt == t.ChangedAt
}

// hold withholds an entry that is not known to be its server's own, until it expires, is written
// again, or has remained for so long that it must be.
func (l *departed) hold(now time.Time, t roster.Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if held, found := l.withheld[t.ID]; !found || held.target.ChangedAt != t.ChangedAt {
		l.withheld[t.ID] = departure{target: t, at: now}
	}
}

// reported records that the store has reported a target, which takes precedence over what is
// withheld.
func (l *departed) reported(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.withheld, id)
}

// due returns the targets whose withheld entries have not expired in time.
func (l *departed) due(now time.Time) []roster.Target {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []roster.Target
	for id, d := range l.withheld {
		if now.Sub(d.at) >= restoredEntryLifetime {
			list = append(list, d.target)
			delete(l.withheld, id)
		}
	}
	return list
}

func (l *departed) sweep(now time.Time) {
	for id, d := range l.departures {
		if now.Sub(d.at) >= departureRetention {
			delete(l.departures, id)
		}
	}
}
