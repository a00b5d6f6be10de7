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

// timed is a function that runs at a time.
type timed struct {
	at  time.Time
	run func()
}

// schedule is a heap of functions, ordered by time.
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

// simulation runs many processes in virtual time. They claim keys of one shard
// through a platform that replies in three to six milliseconds.
type simulation struct {
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

func (s *simulation) after(d time.Duration, run func()) {
	heap.Push(&s.schedule, timed{s.now.Add(d), run})
}

func (s *simulation) handle(p int, ev claim.Event) {
	for _, a := range s.shards[p].Handle(s.now, ev) {
		switch a.Kind {
		case claim.Call:
			s.call(p, a.Call)
		case claim.Wake:
			s.after(a.At.Sub(s.now), func() { s.handle(p, claim.Event{Kind: claim.Tick}) })
		case claim.Granted:
			s.waits = append(s.waits, s.now.Sub(s.asked[a.Request]))
		case claim.Refused:
			s.refused++
		case claim.Violated, claim.Corrupt:
			require.Fail(s.t, "broken", "%v %v", a.Violation, a.Err)
		}
	}
}

func (s *simulation) call(p int, c object.Call) {
	oneWay := 1500*time.Microsecond + time.Duration(s.rng.IntN(1500))*time.Microsecond
	if c.Op != object.Put {
		s.reads++
	}
	s.after(oneWay, func() {
		r := s.store.do(c)
		s.after(oneWay, func() { s.handle(p, claim.Event{Kind: claim.Replied, Reply: r}) })
	})
}

func (s *simulation) arrive(rate float64) {
	s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		var id request.ID
		binary.BigEndian.PutUint64(id[:], uint64(len(s.asked)+1))
		s.asked[id] = s.now
		owner := request.Prior{ID: id, Target: "hall-derby-deckapp-1", Incarnation: 1_700_000_000, Fingerprint: s.rng.Uint64()}
		key := claim.NewKey("s", "w", id.String())
		s.handle(s.rng.IntN(len(s.shards)), claim.Event{Kind: claim.ClaimRequested, Key: key, Owner: owner})
		s.arrive(rate)
	})
}

// TestMeasureClaims prints the cost of claims by the number of processes that
// write one shard, the rate of claims and the window.
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
		s := &simulation{t: t, rng: rand.New(rand.NewPCG(1, 2)), now: t0, store: newStore(), asked: make(map[request.ID]time.Time)}
		for range tt.processes {
			s.shards = append(s.shards, claim.New(cfg, rand.New(rand.NewPCG(uint64(len(s.shards)), 1))))
		}
		s.arrive(tt.rate)
		for s.schedule[0].at.Before(t0.Add(span)) {
			next := heap.Pop(&s.schedule).(timed)
			s.now = next.at
			next.run()
		}
		slices.Sort(s.waits)
		quantile := func(q float64) time.Duration { return s.waits[int(q*float64(len(s.waits)-1))].Round(time.Millisecond) }
		perSecond := func(n int) float64 { return float64(n) / span.Seconds() }
		fmt.Printf("| %d | %g | %s | %d | %d | %s | %s | %.1f | %.0f%% | %.1f | %.0f |\n",
			tt.processes, tt.rate, tt.window, len(s.waits), s.refused, quantile(0.5), quantile(0.99),
			perSecond(s.store.writes), 100*float64(s.store.refused)/float64(s.store.writes), perSecond(s.reads), perSecond(s.store.bytes)/1024)
	}
}
