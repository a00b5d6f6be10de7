package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fleet simulates entries that share their records with a delay, and requests that crash their targets some time
// after they were sent.
type fleet struct {
	rng     *rand.Rand
	entries []*Quarantine
	now     time.Time
	group   bool // a crash closes all targets for a while, and what waits is sent when they open
	closed  time.Time
	waiting int // requests with the part that wait for the group
	running []fleetRun
	records []fleetRecord
	crashes []time.Time
	sent    []time.Time // when requests with the part were sent
	sound   soundRequests
}

type fleetRun struct {
	entry       int
	sent, crash time.Time
	verdict     Verdict
	parts       []Fingerprint
}

type fleetRecord struct {
	at     time.Time
	to     int
	record Record
}

const (
	fleetStep       = 5 * time.Millisecond
	fleetRunTime    = 300 * time.Millisecond // from sending to the crash
	fleetClosedTime = 4 * time.Second        // of a group, after a crash
	fleetMaxDelay   = 400 * time.Millisecond // until a record has reached another entry
)

func newFleet(seed uint64, entries int, group bool) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), now: start, group: group}
	for i := range entries {
		q := New(fmt.Sprint("entry-", i))
		q.Turn = func(p Fingerprint) int { return Turn(p, i+1, entries) }
		q.Answered(start, preamble)
		f.entries = append(f.entries, q)
	}
	return f
}

// run simulates a time in which requests with the part arrive at a rate per second at random entries.
func (f *fleet) run(d time.Duration, rate float64) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(fleetStep) {
		f.deliver()
		f.crash()
		f.runSound()
		arrivals := 0
		for expected := rate * fleetStep.Seconds(); f.rng.Float64() < expected; expected-- {
			arrivals++
		}
		if f.now.Before(f.closed) {
			f.waiting = min(f.waiting+arrivals, int(rate)+1) // each waits a second at most
			continue
		}
		for range arrivals + f.waiting {
			f.send(f.rng.IntN(len(f.entries)))
		}
		f.waiting = 0
	}
}

func (f *fleet) send(entry int) {
	parts := []Fingerprint{preamble, bad}
	if f.sound.parts != nil {
		parts = append(parts, f.sound.parts(f.rng)...)
	}
	v := f.entries[entry].Begin(f.now, parts...)
	if v.Quarantined {
		return
	}
	f.sent = append(f.sent, f.now)
	f.running = append(f.running, fleetRun{entry: entry, sent: f.now, crash: f.now.Add(fleetRunTime), verdict: v, parts: parts})
}

// crash ends the targets whose requests have run long enough. In a group, requests at other targets are cut.
func (f *fleet) crash() {
	left := f.running[:0]
	crashed := false
	for _, r := range f.running {
		if f.now.Before(r.crash) {
			left = append(left, r)
			continue
		}
		crashed = true
		f.crashes = append(f.crashes, f.now)
		q := f.entries[r.entry]
		q.End(f.now, r.verdict, Failed, r.parts...)
		var runs []Run
		for _, part := range r.parts {
			runs = append(runs, Run{Request: part, Part: true, Sent: r.sent, Failed: f.now})
		}
		q.Crashed(f.now, incarnation(fmt.Sprint("i-", len(f.crashes))), runs)
		f.share(r.entry)
	}
	f.running = left
	if crashed && f.group {
		f.closed = f.now.Add(fleetClosedTime)
	}
}

// share sends an entry's record to the others, each with a delay.
func (f *fleet) share(entry int) {
	record, _ := f.entries[entry].OwnRecord(f.now)
	for to := range f.entries {
		if to != entry {
			delay := time.Duration(f.rng.Int64N(int64(fleetMaxDelay)))
			f.records = append(f.records, fleetRecord{f.now.Add(delay), to, record})
		}
	}
}

func (f *fleet) deliver() {
	left := f.records[:0]
	for _, r := range f.records {
		if f.now.Before(r.at) {
			left = append(left, r)
			continue
		}
		f.entries[r.to].Merge(f.now, r.record)
	}
	f.records = left
}

// sentLate counts the requests sent later than a time after the fifth crash.
func (f *fleet) sentLate(after time.Duration) int {
	if len(f.crashes) < 5 {
		return 0
	}
	n := 0
	for _, at := range f.sent {
		if at.After(f.crashes[4].Add(after)) {
			n++
		}
	}
	return n
}

// Guards against a bound for all entries together that each keeps by itself: few requests with a part that
// crashes servers reach servers once five have crashed, through all holds and probes of a day.
func TestRequestsOfAllEntriesAfterTheFifthCrash(t *testing.T) {
	for _, c := range []struct {
		entries int
		group   bool
		rate    float64
	}{{5, true, 2}, {5, true, 10}, {5, false, 10}, {16, true, 5}, {16, false, 20}, {340, true, 20}, {340, false, 20}} {
		t.Run(fmt.Sprint(c.entries, c.group, c.rate), func(t *testing.T) {
			most := 0
			for seed := range uint64(5) {
				f := newFleet(seed, c.entries, c.group)
				f.run(75*time.Second, c.rate)
				most = max(most, len(f.crashes))
				require.LessOrEqual(t, f.sentLate(3*time.Second), 3, "seed %d, %d crashes", seed, len(f.crashes))
				require.False(t, f.entries[0].Check(f.now, preamble).Quarantined)
			}
			t.Logf("at most %d crashes in 75 s", most)
		})
	}
}
