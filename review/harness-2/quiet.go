package main

import (
	"fmt"
	"time"
)

// The server in need of quietCase.
const (
	quietRate    = 2.0                 // requests a second
	quietMost    = 1.5*quietRate*4 + 5 // in limitSpan
	quietAccepts = 20                  // channels
	quietTime    = 82 * time.Second    // nobody asks for the service
)

// quietCase has a server in need name a limit, and nobody ask for its service for more than a minute. Then many requesters
// come at once. The server says the same limit in all its answers all the time.
func quietCase(w *world, trouble bool) ([]string, error) {
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
	needy.headers["Server-Limit"] = fmt.Sprint(quietRate)
	needy.takes = needyTakes
	needy.mu.Unlock()
	named := time.Now()
	w.record.note("%s names Server-Limit %g from now on", needy.id, quietRate)
	time.Sleep(touchTime)
	needy.mu.Lock()
	needy.accepts = quietAccepts
	needy.mu.Unlock()
	if !w.allLogged(`"event":"targetLimited","target":"`+needy.id+`"`, "") {
		return nil, fmt.Errorf("not all entries have got an answer with the limit")
	}
	if trouble {
		t.end()
		w.record.note("the requesters pause")
		time.Sleep(quietTime)
	}
	more := w.newTraffic(4, 100)
	time.Sleep(6 * time.Second)
	more.end()
	if !trouble {
		t.end()
	}
	broken := overLimit(needy, named, quietRate, quietMost)
	w.noteLogs(needy.id)
	more.report(len(broken))
	return broken, nil
}

// overLimit returns the spans in which a server got more requests than the limit allows that it had named.
func overLimit(p *plain, named time.Time, rate, most float64) (broken []string) {
	list := p.arrivals()
	for i, a := range list {
		n := 0
		for _, b := range list[i:] {
			if b.at.Sub(a.at) <= limitSpan {
				n++
			}
		}
		if since := a.at.Sub(named); since > touchTime && float64(n) > most {
			broken = append(broken, fmt.Sprintf("%s gets %d requests in the %s from %.3f s after it had named %g a second; %g are allowed",
				p.id, n, limitSpan, since.Seconds(), rate, most))
		}
	}
	return broken
}
