package gateway

import (
	"errors"
	"sync"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/record/feed"
)

const (
	// missingGrace is how long after a failure of the store the list may still lack live targets:
	// those whose entries expired are listed again within two seconds.
	missingGrace = 2200 * time.Millisecond
	// keptShare is the part of the drain time for which a target that vanished is kept as if it
	// were listed. If it has left, it serves for the drain time from then on.
	keptShare = 0.8
	// expiryHeartbeats is how many heartbeat intervals an entry outlives the last answer of the
	// store at least: it expires after three, and its last heartbeat may be one old.
	expiryHeartbeats = 2
)

// stage is how far a target that vanished from the list is given up.
type stage uint8

const (
	stageKept       stage = iota // it gets requests as before
	stageLastResort              // it gets requests only if its service has no listed target
	stageGone                    // it gets none
)

// missing keeps targets that vanished from the list after a failure of the store. Their entries
// expire when they can't be renewed, so all targets may vanish at once though they are live; live
// targets are listed again soon after the store is back. A failure too short for an entry to expire
// counts for nothing: a target that vanished has left then.
//
// A target may also have left during a longer failure or after it. The failure is therefore taken to
// have ended as early as it may have: when the last failed call began. A watch that is never
// answered shows the failure only seconds after it is over. Until the store is certain to have been
// back for long enough, the target remains a last resort.
type missing struct {
	mu         sync.Mutex
	answeredAt time.Time // when the store last answered
	previousAt time.Time // when it answered before that
	failing    bool      // a call has failed since, the last one of which began at failingAt
	failingAt  time.Time
	failedAt   time.Time // when the last call began that failed during a failure that is over
	regainedAt time.Time // when the store answered first after that failure
	keptUntil  map[string]time.Time
}

func newMissing() *missing { return &missing{keptUntil: make(map[string]time.Time)} }

// storeFailed records a failed call that began at the given time.
func (m *missing) storeFailed(began time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failing, m.failingAt = true, began
}

// storeAnswered records that a call succeeded. An entry can't expire within the time expiry after
// the store has answered.
func (m *missing) storeAnswered(now time.Time, expiry time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failing && now.Sub(m.answeredAt) >= expiry {
		m.failedAt, m.regainedAt = m.failingAt, now
	}
	m.failing, m.previousAt, m.answeredAt = false, m.answeredAt, now
}

// storeIsFailing reports whether the store's last answer is followed by a failed call.
func (m *missing) storeIsFailing() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.failing
}

// newsSince returns the earliest time at which that may have happened which the store's last answer
// reported first: when it answered before that.
func (m *missing) newsSince() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.previousAt
}

// storeRestored records that the store was restored from a backup. Servers that started after
// the backup are not in it, and write their entries again.
func (m *missing) storeRestored(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failing, m.failedAt, m.regainedAt = false, now, now
}

// vanished records that a target is not listed any more, unless that is known. It returns the
// target's stage, which is kept for the time most at the most, and whether it is new.
func (m *missing) vanished(now time.Time, id string, most time.Duration) (s stage, first bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	until, known := m.keptUntil[id]
	if !known {
		until = now.Add(most)
	}
	if s = m.stage(now, until); s == stageGone {
		delete(m.keptUntil, id)
	} else {
		m.keptUntil[id] = until
	}
	return s, !known
}

// stage returns the stage of a target that is kept until the given time at the most.
func (m *missing) stage(now, until time.Time) stage {
	switch {
	case now.Before(until) && (m.failing || now.Before(m.failedAt.Add(missingGrace))):
		return stageKept
	case m.failing || now.Before(m.regainedAt.Add(missingGrace)):
		return stageLastResort
	}
	return stageGone
}

// found records that a target is listed again.
func (m *missing) found(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.keptUntil, id)
}

// due returns the missing targets that are kept no longer, with their stages. It forgets those that
// are gone.
func (m *missing) due(now time.Time) map[string]stage {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list map[string]stage
	for id, until := range m.keptUntil {
		s := m.stage(now, until)
		if s == stageKept {
			continue
		}
		if list == nil {
			list = make(map[string]stage)
		}
		list[id] = s
		if s == stageGone {
			delete(m.keptUntil, id)
		}
	}
	return list
}

// storeAnswered records that the store has answered a call of the list of targets.
func (g *Gateway) storeAnswered(now time.Time) {
	g.missing.storeAnswered(now, expiryHeartbeats*g.bounds.Load().Heartbeat)
}

// noteStoreFailure records a failed call of the list of targets, or the first success after it,
// which has no error. A store that has dropped its history has answered: the next list lacks no
// target whose entry expired for lack of a store.
func (g *Gateway) noteStoreFailure(began time.Time, err error) {
	if err != nil && !errors.Is(err, feed.ErrHistoryGone) {
		g.missing.storeFailed(began)
	}
}
