package acceptance

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/member"
)

// sizeVariable names the environment variable with the sizes to measure, for
// example "10,100,400".
const sizeVariable = "MEASURE_MEMBERS"

// changesPerDay is what the fleet is planned for.
const changesPerDay = 4400

// TestMeasure measures how long a change takes to come in force everywhere and
// what the fleet costs, idle and at the planned rate of changes. It is no test of
// a promise; see docs/MEASUREMENTS.md.
func TestMeasure(t *testing.T) {
	sizes := os.Getenv(sizeVariable)
	if sizes == "" {
		t.Skip(sizeVariable + " is not set")
	}
	for _, s := range strings.Split(sizes, ",") {
		n, err := strconv.Atoi(s)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(s, func(t *testing.T) { measure(t, n) })
	}
}

func measure(t *testing.T, n int) {
	w := newWorld(failer{t.Helper, t.Fatalf}, 1)
	w.unchecked = true
	w.addNodes(n, max(n*22/1640, 3))
	w.introduceAll()
	w.run(15 * time.Second)
	text := longText(4000)
	w.apply("agenda", text)
	w.until(20*time.Second, func() bool { return w.settled("agenda", 1) })
	w.run(5 * time.Second)

	idle := w.cost(func() { w.run(20 * time.Second) })
	var took []time.Duration
	changes := min(30, 16400/n)
	busy := w.cost(func() {
		for i := range changes {
			text = strings.Replace(text, fmt.Sprintf("line %d:", 100*i), fmt.Sprintf("line %d: changed", 100*i), 1)
			took = append(took, w.change("agenda", text, Number(i+2)))
			w.run(24*time.Hour/changesPerDay - took[i])
		}
	})
	slices.Sort(took)
	t.Logf("%d members, %d data centres, text of %d bytes", n, len(w.centres()), len(text))
	t.Logf("in force on all: median %s, 99th percentile %s, longest %s", took[len(took)/2], took[len(took)*99/100], took[len(took)-1])
	t.Logf("idle: %s", idle)
	t.Logf("at %d changes a day: %s", changesPerDay, busy)
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	t.Logf("%d KB of memory a member, its text included", m.HeapAlloc/uint64(n)/1024)
	runtime.KeepAlive(w)
}

// change applies a text and returns when it is in force on all.
func (w *world) change(service, text string, n Number) time.Duration {
	begin := w.now
	left := len(w.nodes)
	var last time.Time
	w.onForce = func(_ *node, d Document) {
		if d.Service == service && d.Number == n {
			left--
			last = w.now
		}
	}
	w.apply(service, text)
	w.until(20*time.Second, func() bool { return left == 0 })
	return last.Sub(begin)
}

// cost is what a stretch of time cost, by member and second.
type cost struct {
	bytes, messages, worst float64
	core                   float64 // share of a core
	calls                  float64 // of the platform, of the whole fleet, by second
}

func (c cost) String() string {
	return fmt.Sprintf("%.0f B/s sent a member (the most: %.0f), %.2f messages/s, %.4f%% of a core, %.2f platform calls/s of all together",
		c.bytes, c.worst, c.messages, 100*c.core, c.calls)
}

func (w *world) cost(do func()) cost {
	for _, n := range w.nodes {
		n.bytes, n.messages = 0, 0
	}
	calls := w.platform.calls
	begin := w.now
	w.timed, w.spent = true, 0
	do()
	w.timed = false
	seconds := w.now.Sub(begin).Seconds()
	each := seconds * float64(len(w.nodes))
	c := cost{core: w.spent.Seconds() / each, calls: float64(w.platform.calls-calls) / seconds}
	for _, n := range w.nodes {
		c.bytes += float64(n.bytes) / each
		c.messages += float64(n.messages) / each
		c.worst = max(c.worst, float64(n.bytes)/seconds)
	}
	return c
}

// introduceAll lets all processes know each other from the start.
func (w *world) introduceAll() {
	all := make([]member.Record, len(w.nodes))
	for i, n := range w.nodes {
		all[i] = member.Record{Identity: n.id, State: member.Alive}
	}
	for _, n := range w.nodes {
		msg := &member.Message{Kind: member.Update, From: "introduction", Incarnation: 1, Members: all}
		w.feed(n, Event{Kind: Received, Envelope: &Envelope{Member: msg}})
	}
}

func (w *world) centres() map[string]bool {
	out := make(map[string]bool)
	for _, n := range w.nodes {
		out[string(n.id.DataCentre)] = true
	}
	return out
}

// longText returns a text of the given number of lines of 50 bytes.
func longText(lines int) string {
	var b strings.Builder
	for i := range lines {
		fmt.Fprintf(&b, "line %d: %s\n", i, strings.Repeat(string(rune('a'+i%26)), 38))
	}
	return b.String()
}
