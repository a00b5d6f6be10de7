package main

import (
	"fmt"
	"time"
)

// The server in need of limitCase.
const (
	needyRate    = 0.5 // requests a second
	needyTakes   = 700 * time.Millisecond
	needyAccepts = 10 // channels
	limitSpan    = 4 * time.Second
	limitMost    = 1.5*needyRate*4 + 5 // in limitSpan
	touchTime    = 3 * time.Second
	cutTime      = 5 * time.Second // the default of the kind srv_cut
)

// limitCase has a server in need name a limit. Then it is cut off from the store for some seconds, but not from the
// entries: its entry expires, and comes back. The server says the same limit in all its answers all the time.
func limitCase(w *world, trouble bool) ([]string, error) {
	var desks []*plain
	for n := 1; n <= 3; n++ {
		p, err := w.newPlain(n, 100*time.Millisecond)
		if err != nil {
			return nil, err
		}
		desks = append(desks, p)
	}
	w.putConfig(3, apiKey)
	if err := w.startEntries(4); err != nil {
		return nil, err
	}
	t := w.newTraffic(4, 40)
	time.Sleep(4 * time.Second) // all are in touch
	needy := desks[0]
	needy.mu.Lock()
	needy.headers["Server-Limit"] = fmt.Sprint(needyRate)
	needy.takes = needyTakes
	needy.mu.Unlock()
	named := time.Now()
	w.record.note("%s names Server-Limit %g from now on", needy.id, needyRate)
	time.Sleep(touchTime)
	needy.mu.Lock()
	needy.accepts = needyAccepts
	needy.mu.Unlock()
	if !w.allLogged(`"event":"targetLimited","target":"`+needy.id+`"`, "") {
		return nil, fmt.Errorf("not all entries have got an answer with the limit")
	}
	time.Sleep(5 * time.Second)
	if trouble {
		needy.setCut(true)
		time.Sleep(cutTime)
		needy.setCut(false)
	}
	time.Sleep(8 * time.Second)
	t.end()
	broken := overLimit(needy, named, needyRate, limitMost)
	w.noteLogs(needy.id)
	t.report(len(broken))
	return broken, nil
}

// setCut cuts the server off from the store, or heals that.
func (p *plain) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	p.w.record.note("%s is cut off from the store: %t", p.id, cut)
}
