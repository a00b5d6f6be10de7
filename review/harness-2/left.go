package main

import (
	"strings"
	"time"
)

// leftCase has a server leave, which never says that it drains: its entry is removed, and it serves on. Then the
// store is away for a moment and comes back from a copy some seconds old, in which the server is listed, and
// discards its history.
func leftCase(w *world, trouble bool) ([]string, error) {
	var desks []*plain
	for n := 1; n <= 3; n++ {
		p, err := w.newPlain(n, 100*time.Millisecond)
		if err != nil {
			return nil, err
		}
		desks = append(desks, p)
	}
	w.putConfig(3, apiKey)
	if err := w.startEntries(3); err != nil {
		return nil, err
	}
	t := w.newTraffic(3, 24)
	time.Sleep(5 * time.Second) // all are in touch
	leaver := desks[0]
	backup := w.store.backup()
	time.Sleep(1500 * time.Millisecond)
	leaver.leave(4300 * time.Millisecond)
	left := time.Now()
	known, err := w.acknowledged(leaver.id + " is gone")
	if err != nil {
		return nil, err
	}
	if trouble {
		time.Sleep(time.Until(left.Add(500 * time.Millisecond)))
		w.store.setSilent(true)
		time.Sleep(500 * time.Millisecond)
		w.store.restore(backup)
		w.store.setSilent(false)
		w.putConfig(3, apiKey)
		time.Sleep(time.Until(left.Add(3300 * time.Millisecond)))
		w.store.discardHistory()
	}
	time.Sleep(time.Until(left.Add(7 * time.Second)))
	t.end()
	broken := t.late(leaver, known)
	w.noteLogs(leaver.id)
	t.report(len(broken))
	return broken, nil
}

// acknowledged waits until the store has told the watches of all entries something of a server, and have taken the answer,
// and returns when that was.
func (w *world) acknowledged(what string) (time.Time, error) {
	err := eventually(2*time.Second, "the watches of all entries are told that "+what, func() bool { return w.store.watchesTold(what) >= len(w.entries) })
	time.Sleep(50 * time.Millisecond)
	w.record.note("all entries have been told that %s", what)
	return time.Now(), err
}

// noteLogs records what the entries logged of a server, and of the store.
func (w *world) noteLogs(id string) {
	for _, e := range w.entries {
		for _, line := range e.logged(`"event":"`) {
			if strings.Contains(line, `"event":"target`) && strings.Contains(line, id) || strings.Contains(line, `"event":"store`) {
				w.record.note("log of %s: %s", e.name, line)
			}
		}
	}
}

func contains(lines []string, text string) bool {
	for _, line := range lines {
		if strings.Contains(line, text) {
			return true
		}
	}
	return false
}
