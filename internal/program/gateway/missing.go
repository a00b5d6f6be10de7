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
// targets are listed again soon after the store is back.
//
// A target may also have left during the failure or after it. The failure is therefore taken to
// have ended as early as it may have: when the last failed call began. A watch that is never
// answered shows the failure only seconds after it is over. Until the store is certain to have been
// back for long enough, the target remains a last resort.
type missing struct {
	mu         sync.Mutex
	failedAt   time.Time // when the last failed call began
	failing    bool      // no call has succeeded since
	regainedAt time.Time // when the first call succeeded after the last failure
	keptUntil  map[string]time.Time
}

func newMissing() *missing { return &missing{keptUntil: make(map[string]time.Time)} }

// storeFailed records a failed call that began at the given time.
func (m *missing) storeFailed(began time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failedAt, m.failing = began, true
}

// storeRegained records that a call succeeded after a failure.
func (m *missing) storeRegained(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failing {
		m.failing, m.regainedAt = false, now
	}
}

// storeRestored records that the store was restored from a backup. Servers that started after
// the backup are not in it, and write their entries again.
func (m *missing) storeRestored(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failedAt, m.failing, m.regainedAt = now, false, now
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
	case now.Before(until) && now.Before(m.failedAt.Add(missingGrace)):
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

// noteStoreCall records the outcome of a call of the list of targets, which may be the first
// success after a failure. A store that has dropped its history has answered: the entries that its
// next list lacks have not expired for lack of a store.
func (g *Gateway) noteStoreCall(now, began time.Time, err error) {
	switch {
	case err == nil:
		g.missing.storeRegained(now)
	case !errors.Is(err, feed.ErrHistoryGone):
		g.missing.storeFailed(began)
	}
}
