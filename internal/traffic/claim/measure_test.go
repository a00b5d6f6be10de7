package claim_test

import (
	"container/heap"
	"encoding/binary"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/record/object"
	"wagtailshelf.example/wagtailshelf/internal/traffic/claim"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

var measure = flag.Bool("measure", false, "run the measurements of docs/MEASUREMENTS.md")

type timed struct {
	at  time.Time
	run func()
}

type schedule []timed

func (s schedule) Len() int           { return len(s) }
func (s schedule) Less(i, j int) bool { return s[i].at.Before(s[j].at) }
func (s schedule) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)        { *s = append(*s, x.(timed)) }
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// load is many processes that claim keys of one shard in virtual time, through
// a platform that answers in three to six milliseconds.
type load struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Time
	schedule schedule
	store    *store
	shards   []*claim.Shard
	asked    map[request.ID]time.Time
	waits    []time.Duration
	refused  int
	reads    int
}

func (l *load) after(d time.Duration, run func()) {
	heap.Push(&l.schedule, timed{l.now.Add(d), run})
}

func (l *load) handle(p int, ev claim.Event) {
	for _, a := range l.shards[p].Handle(l.now, ev) {
		switch a.Kind {
		case claim.Call:
			l.call(p, a.Call)
		case claim.Wake:
			l.after(a.At.Sub(l.now), func() { l.handle(p, claim.Event{Kind: claim.Tick}) })
		case claim.Granted:
			l.waits = append(l.waits, l.now.Sub(l.asked[a.Request]))
		case claim.Refuse:
			l.refused++
		case claim.Violated, claim.Corrupt:
			require.Fail(l.t, "broken", "%v %v", a.Violation, a.Err)
		}
	}
}

func (l *load) call(p int, c object.Call) {
	way := 1500*time.Microsecond + time.Duration(l.rng.IntN(1500))*time.Microsecond
	if c.Op != object.Put {
		l.reads++
	}
	l.after(way, func() {
		r := l.store.do(c)
		l.after(way, func() { l.handle(p, claim.Event{Kind: claim.Replied, Reply: r}) })
	})
}

func (l *load) arrive(rate float64) {
	l.after(time.Duration(l.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		var id request.ID
		binary.BigEndian.PutUint64(id[:], uint64(len(l.asked)+1))
		l.asked[id] = l.now
		owner := request.Prior{ID: id, Target: "hall-derby-deckapp-1", Incarnation: 1_700_000_000, Print: l.rng.Uint64()}
		key := claim.NewKey("s", "w", id.String())
		l.handle(l.rng.IntN(len(l.shards)), claim.Event{Kind: claim.Asked, Key: key, Owner: owner})
		l.arrive(rate)
	})
}

// TestMeasureClaims prints what claims cost, for a number of processes that
// write one shard, by rate and window.
func TestMeasureClaims(t *testing.T) {
	if !*measure {
		t.Skip("a measurement; run it with -args -measure")
	}
	const span = 10 * time.Second
	tests := []struct {
		processes int
		rate      float64
		window    time.Duration
	}{
		{1, 0.2, 200 * time.Millisecond}, {4, 5, 5 * time.Millisecond}, {4, 5, 200 * time.Millisecond},
		{4, 50, 5 * time.Millisecond}, {4, 50, 50 * time.Millisecond}, {4, 50, 200 * time.Millisecond},
		{16, 100, 50 * time.Millisecond}, {16, 100, 200 * time.Millisecond},
		{340, 150, 200 * time.Millisecond}, {340, 600, 200 * time.Millisecond},
		{1, 150, 200 * time.Millisecond}, {1, 600, 50 * time.Millisecond}, {1, 600, 200 * time.Millisecond},
		{2, 600, 200 * time.Millisecond},
	}
	fmt.Println("| processes | claims/s | window | granted | refused | wait p50 | wait p99 | writes/s | of these conflicts | reads/s | KB/s written |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|")
	for _, tt := range tests {
		cfg := claim.DefaultConfig("s", 0)
		cfg.Window = tt.window
		l := &load{t: t, rng: rand.New(rand.NewPCG(1, 2)), now: t0, store: newStore(), asked: make(map[request.ID]time.Time)}
		for range tt.processes {
			l.shards = append(l.shards, claim.New(cfg, rand.New(rand.NewPCG(uint64(len(l.shards)), 1))))
		}
		l.arrive(tt.rate)
		for l.schedule[0].at.Before(t0.Add(span)) {
			next := heap.Pop(&l.schedule).(timed)
			l.now = next.at
			next.run()
		}
		slices.Sort(l.waits)
		at := func(q float64) time.Duration { return l.waits[int(q*float64(len(l.waits)-1))].Round(time.Millisecond) }
		per := func(n int) float64 { return float64(n) / span.Seconds() }
		fmt.Printf("| %d | %g | %s | %d | %d | %s | %s | %.1f | %.0f%% | %.1f | %.0f |\n",
			tt.processes, tt.rate, tt.window, len(l.waits), l.refused, at(0.5), at(0.99),
			per(l.store.writes), 100*float64(l.store.refused)/float64(l.store.writes), per(l.reads), per(l.store.bytes)/1024)
	}
}
