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
	// drain is how long after a target announced its shutdown it may still get requests.
	drain = 2 * time.Second
	// inTransit is how long after a target asked for back-off the requests sent before may arrive.
	inTransit = 500 * time.Millisecond
	// maxDuringBackoff is how many requests of an entry may reach a target during a back-off
	// that the target asked this entry for.
	maxDuringBackoff = 2
)

// notifier is a plain server that at times refuses all requests and asks for back-off, and at
// times announces its shutdown, though it is listed as ready. After a shutdown it starts again
// under the same id.
type notifier struct {
	w    *world
	id   string
	http *standin.Server

	mu        sync.Mutex
	backoff   time.Duration // back-off that it asks for; 0 if it serves
	leaving   bool
	startedAt time.Time
	notices   []sentNotice
	arrivals  []arrival
}

// sentNotice is a target notice that a notifier sent to an entry.
type sentNotice struct {
	entry       int
	incarnation time.Time // the server's start time
	at          time.Time
	backoff     time.Duration // 0 if the server announced its shutdown
}

// arrival is a request that reached a notifier.
type arrival struct {
	entry       int
	incarnation time.Time
	at          time.Time
	id          string
}

// newID returns a request id that contains the number of the entry that the request is sent to;
// the servers have no other way to know it.
func newID(entry int, number int64) string { return fmt.Sprintf("soak-%d-%d", entry, number) }

// entryOf returns the entry's number in a request id, or -1 if it has none.
func entryOf(id string) (entry int) {
	if _, err := fmt.Sscanf(id, "soak-%d-", &entry); err != nil {
		return -1
	}
	return entry
}

func (w *world) startNotifier(number int) {
	n := &notifier{w: w, id: fmt.Sprint("n-", number)}
	n.http = standin.NewServer(w.t, n.respond)
	n.startIncarnation()
	w.notifiers = append(w.notifiers, n)
}

// startIncarnation starts a new incarnation of the server.
func (n *notifier) startIncarnation() {
	n.mu.Lock()
	n.startedAt = time.Now()
	n.mu.Unlock()
	n.register()
}

// register writes the server's current incarnation to the store.
func (n *notifier) register() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.w.store.PutServerStarted(n.id, "app", n.http.Address, n.startedAt)
}

func (n *notifier) respond(a standin.Reply, q standin.Request) {
	n.mu.Lock()
	backoff, leaving := n.backoff, n.leaving
	notice := sentNotice{entry: entryOf(q.ID), incarnation: n.startedAt, at: time.Now(), backoff: backoff}
	n.arrivals = append(n.arrivals, arrival{notice.entry, notice.incarnation, notice.at, q.ID})
	if backoff > 0 || leaving {
		n.notices = append(n.notices, notice)
	}
	n.mu.Unlock()
	if leaving {
		a.Header("Server-Leaving", "1")
	}
	if backoff > 0 {
		a.Header("Retry-After", fmt.Sprint(backoff.Seconds()))
		a.NotRun()
		return
	}
	n.w.ledger.Add(q.ID, q.Workspace)
	a.Complete(http.StatusOK, "body of "+q.ID)
}

func (n *notifier) set(backoff time.Duration, leaving bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.backoff, n.leaving = backoff, leaving
}

// run sends random notices, one kind after the other, until the context ends.
func (n *notifier) run(ctx context.Context, r *rand.Rand) {
	between := func(shortest, longest time.Duration) time.Duration {
		return shortest + time.Duration(r.Int64N(int64(longest-shortest)))
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
		time.Sleep(100 * time.Millisecond) // requests in transit are answered by the incarnation that they were sent to
		n.startIncarnation()
	}
}

// check reports a problem if too many requests arrived after a notice of the server.
func (n *notifier) check() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, notice := range n.notices {
		var late []string
		for _, a := range n.arrivals {
			if a.entry != notice.entry || !a.incarnation.Equal(notice.incarnation) || n.w.disturbed(a.entry, notice.at, a.at) {
				continue
			}
			after := a.at.Sub(notice.at)
			if notice.backoff == 0 && after > drain || after > inTransit && after < notice.backoff {
				late = append(late, a.id)
			}
		}
		if notice.backoff == 0 && len(late) > 0 || len(late) > maxDuringBackoff {
			n.w.problem("%s sent entry %d a notice (back-off %s, leaving if 0) and then got %s\n%s",
				n.id, notice.entry, notice.backoff, strings.Join(late, " "), n.w.logs(late[0]))
			return
		}
	}
}

// noteDisturbance records that an entry was stopped, frozen, resumed or started. It ignores
// other processes.
func (w *world) noteDisturbance(p *process) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, e := range w.entries {
		if e == p {
			w.disturbances = append(w.disturbances, disturbance{i, time.Now()})
		}
	}
}

// disturbance is the moment at which an entry was stopped, frozen, resumed or started.
type disturbance struct {
	entry int
	at    time.Time
}

// disturbed reports whether an entry was stopped, frozen, resumed or started between two moments.
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
