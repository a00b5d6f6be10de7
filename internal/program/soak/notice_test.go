package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"wagtailshelf.example/wagtailshelf/platform/standin"
)

const (
	// drain is how long after a target said that it leaves it may get requests.
	drain = 2 * time.Second
	// underWay is how long after it asked for rest what was sent before may arrive.
	underWay = 500 * time.Millisecond
	// mostInRest of an entry may reach a target within a rest that it asked it for.
	mostInRest = 2
)

// notifier is a plain server that at times turns all away and asks for rest, and at times says
// that it leaves, though it is listed as ready. It starts again under its id after that.
type notifier struct {
	w    *world
	id   string
	http *standin.Server

	mu      sync.Mutex
	rest    time.Duration // that it asks for; 0 if it serves
	leaves  bool
	born    time.Time
	words   []wordTo
	arrived []arrival
}

// wordTo is what a notifier said to an entry.
type wordTo struct {
	entry int
	life  time.Time // the server's birth
	at    time.Time
	rest  time.Duration // 0 if it said that it leaves
}

type arrival struct {
	entry int
	life  time.Time
	at    time.Time
	id    string
}

// newID names a request by the entry that it is sent to, which its servers can't see otherwise.
func newID(entry int, number int64) string { return fmt.Sprintf("soak-%d-%d", entry, number) }

func entryOf(id string) (entry int) {
	if _, err := fmt.Sscanf(id, "soak-%d-", &entry); err != nil {
		return -1
	}
	return entry
}

func (w *world) startNotifier(number int) {
	n := &notifier{w: w, id: fmt.Sprint("n-", number)}
	n.http = standin.NewServer(w.t, n.answer)
	n.begin()
	w.notifiers = append(w.notifiers, n)
}

// begin begins a life.
func (n *notifier) begin() {
	n.mu.Lock()
	n.born = time.Now()
	n.mu.Unlock()
	n.write()
}

// write writes the entry of the life that runs.
func (n *notifier) write() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.w.store.PutServerBorn(n.id, "app", n.http.Address, n.born)
}

func (n *notifier) answer(a standin.Reply, q standin.Request) {
	n.mu.Lock()
	rest, leaves := n.rest, n.leaves
	word := wordTo{entry: entryOf(q.ID), life: n.born, at: time.Now(), rest: rest}
	n.arrived = append(n.arrived, arrival{word.entry, word.life, word.at, q.ID})
	if rest > 0 || leaves {
		n.words = append(n.words, word)
	}
	n.mu.Unlock()
	if leaves {
		a.Header("Server-Leaving", "1")
	}
	if rest > 0 {
		a.Header("Retry-After", fmt.Sprint(rest.Seconds()))
		a.NotRun()
		return
	}
	n.w.ledger.Ran(q.ID, q.Workspace)
	a.Whole(http.StatusOK, "body of "+q.ID)
}

func (n *notifier) set(rest time.Duration, leaves bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rest, n.leaves = rest, leaves
}

// run has the server say one thing after the other until the context ends.
func (n *notifier) run(ctx context.Context, r *rand.Rand) {
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(r.Int64N(int64(most-least)))
	}
	pause := func(d time.Duration) {
		select {
		case <-ctx.Done():
		case <-time.After(d):
		}
	}
	for ctx.Err() == nil {
		pause(between(200*time.Millisecond, time.Second))
		if r.IntN(2) == 0 {
			n.set(between(600*time.Millisecond, 3*time.Second), false)
			pause(between(time.Second, 4*time.Second))
			n.set(0, false)
			continue
		}
		n.set(0, true)
		pause(drain + between(500*time.Millisecond, 2*time.Second))
		n.set(0, false)
		time.Sleep(100 * time.Millisecond) // what was under way is answered by the life that it was sent to
		n.begin()
	}
}

// check holds what reached the server against what it had said.
func (n *notifier) check() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, word := range n.words {
		var late []string
		for _, a := range n.arrived {
			if a.entry != word.entry || !a.life.Equal(word.life) || n.w.disturbed(a.entry, word.at, a.at) {
				continue
			}
			after := a.at.Sub(word.at)
			if word.rest == 0 && after > drain || after > underWay && after < word.rest {
				late = append(late, a.id)
			}
		}
		if word.rest == 0 && len(late) > 0 || len(late) > mostInRest {
			n.w.problem("%s said to entry %d that it leaves or wants rest (%s), and got %s\n%s",
				n.id, word.entry, word.rest, strings.Join(late, " "), n.w.logs(late[0]))
			return
		}
	}
}

// disturb notes that an entry was stopped, frozen or started.
func (w *world) disturb(p *process) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, e := range w.entries {
		if e == p {
			w.disturbances = append(w.disturbances, disturbance{i, time.Now()})
		}
	}
}

type disturbance struct {
	entry int
	at    time.Time
}

// disturbed tells whether an entry was stopped, frozen or started between two moments.
func (w *world) disturbed(entry int, from, to time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, d := range w.disturbances {
		if d.entry == entry && !d.at.Before(from) && !d.at.After(to) {
			return true
		}
	}
	return false
}
