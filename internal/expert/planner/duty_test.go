package planner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/expert/group"
)

func TestGroupIsBalanced(t *testing.T) {
	w := newWorld(t)
	d := w.add("rank-0")
	w.pass(time.Hour, steep)
	require.True(t, d.Holds(w.now))
	require.NotEmpty(t, w.ended)
	s := w.status()
	require.Equal(t, w.inForce, s.Map)
	require.Equal(t, w.m.Digest().String(), s.Digest)
	require.Less(t, s.Skew, 1.1)
	require.NotEmpty(t, s.Why)
	require.Less(t, s.Moves[0].Measured, s.Moves[0].Before)
	require.Equal(t, w.inForce, w.record().Number)
	require.True(t, w.m.Equal(w.record().Map))
}

// As long as each window makes the estimate better, a plan is made after each;
// once it is as good as it gets, one per period.
func TestPeriods(t *testing.T) {
	w := newWorld(t)
	w.add("rank-0")
	w.pass(12*time.Minute, steep)
	require.InDelta(t, 10, len(w.planned), 1)
	w.pass(50*time.Minute, steep)
	require.InDelta(t, 20, len(w.planned), 1)
}

// Two processes seek the lease. The holder stops without a word; the other takes
// over under a higher fence, and begins from the record with the map in force.
func TestHolderDies(t *testing.T) {
	w := newWorld(t)
	w.add("rank-0")
	w.pass(20*time.Minute, steep)
	w.held["rank-0"] = true
	w.add("rank-1")
	w.pass(20*time.Minute, func(e int) uint64 { return steep(shape.Experts - 1 - e) })
	require.True(t, w.duties["rank-1"].Holds(w.now))
	require.IsIncreasing(t, []uint64{w.fences[0], w.fences[len(w.fences)-1]})
	require.Less(t, w.status().Skew, 1.1)
}

// The holder leads the group to a new map and dies before the record is written.
// Plans from the record's map are refused from then on, as the ranks have another.
// The next holder followed the switch at its own rank, so it must go on from the
// map in force and bring the record up to date.
func TestHolderDiesBeforeTheRecord(t *testing.T) {
	w := newWorld(t)
	w.add("rank-0")
	w.add("rank-1")
	w.drop = 1000
	for len(w.ended) == 0 {
		w.pass(time.Second, steep)
	}
	w.pass(time.Second, steep)
	w.held["rank-0"], w.drop = true, 0
	require.Equal(t, group.Number(1), w.record().Number)
	require.Greater(t, w.inForce, group.Number(1))
	w.pass(5*time.Minute, steep)
	require.True(t, w.duties["rank-1"].Holds(w.now))
	require.Equal(t, w.inForce, w.record().Number)
	require.True(t, w.m.Equal(w.record().Map))
	before := w.inForce
	w.pass(20*time.Minute, func(e int) uint64 { return steep(shape.Experts - 1 - e) })
	require.Greater(t, w.inForce, before)
}

// As before, but the next holder is a process that was started in between, so it
// has not followed the switch either. After two refused plans it must leave the
// lease to a process that has, or nothing would be planned until the group forms
// again.
func TestHolderThatKnowsNothingLeaves(t *testing.T) {
	w := newWorld(t)
	w.add("rank-0")
	w.add("rank-1")
	w.drop = 1000
	for len(w.ended) == 0 {
		w.pass(time.Second, steep)
	}
	w.pass(time.Second, steep)
	w.drop = 0
	w.held["rank-1"] = true
	w.add("rank-0")
	w.pass(time.Minute, steep)
	require.True(t, w.duties["rank-0"].Holds(w.now))
	w.held["rank-1"] = false
	w.pass(30*time.Minute, func(e int) uint64 { return steep(shape.Experts - 1 - e) })
	require.True(t, w.duties["rank-1"].Holds(w.now))
	require.Equal(t, w.inForce, w.record().Number)
	require.Less(t, w.status().Skew, 1.1)
}

// The holder is paused past the end of its lease and another takes over. When it
// goes on, everything it had queued arrives at once. It must neither ask, plan nor
// tell anybody anything: its map numbers would be refused, but its loads would
// compete with drafting.
func TestPausedHolderStaysSilent(t *testing.T) {
	w := newWorld(t)
	paused := w.add("rank-0")
	w.pass(10*time.Minute, steep)
	w.held["rank-0"] = true
	w.add("rank-1")
	w.pass(time.Minute, steep)
	require.True(t, w.duties["rank-1"].Holds(w.now))
	for _, ev := range []Event{
		{Kind: Told, From: "rank-1", Switch: group.Message{Kind: group.Report, Group: "g", Epoch: 1}},
		{Kind: Answered, From: "rank-1", Message: &Message{Group: "g", Answer: &Answer{Rank: 1}}},
		{Kind: Tick},
	} {
		for _, a := range paused.Handle(w.now, ev) {
			require.Equal(t, Call, a.Kind)
			require.Zero(t, a.Call.ID&ownCalls, "only the lease may be asked for")
		}
	}
}

// The platform is out for an hour from the middle of the day on. The lease ends,
// so planning stops, the group keeps its map, and after the outage the map in
// force is still the one that the record is brought up to.
func TestPlatformOutage(t *testing.T) {
	w := newWorld(t)
	w.add("rank-0")
	w.pass(20*time.Minute, steep)
	before := w.inForce
	w.out = true
	w.pass(time.Hour, func(e int) uint64 { return steep(shape.Experts - 1 - e) })
	require.False(t, w.duties["rank-0"].Holds(w.now))
	require.Equal(t, before, w.inForce)
	w.out = false
	w.pass(20*time.Minute, func(e int) uint64 { return steep(shape.Experts - 1 - e) })
	require.Greater(t, w.inForce, before)
	require.Equal(t, w.inForce, w.record().Number)
}

// The record is written but the answer is lost, or the write itself is. The duty
// can't tell the two apart; it must read the record back and go on from there,
// until the record has the map in force.
func TestLostWriteOfRecord(t *testing.T) {
	for _, lost := range [][2]int{{1, 0}, {0, 1}, {1, 1}} {
		w := newWorld(t)
		w.add("rank-0")
		w.lose, w.drop = lost[0], lost[1]
		for len(w.ended) == 0 {
			w.pass(time.Second, steep)
		}
		w.pass(10*time.Second, steep) // no further plan is made in it
		require.Zero(t, w.lose+w.drop)
		require.Equal(t, w.inForce, w.record().Number)
		require.True(t, w.m.Equal(w.record().Map))
	}
}

// The ranks refuse every map, say because the store is too slow. Each attempt is
// charged to the store's allowance, and there is one per period at most.
func TestRefusalsArePaced(t *testing.T) {
	w := newWorld(t)
	w.add("rank-0")
	w.refuse = true
	w.pass(time.Hour, steep)
	require.NotEmpty(t, w.ended)
	require.LessOrEqual(t, len(w.ended), 12)
	for _, a := range w.ended {
		require.Equal(t, group.Refused, a.Vote)
	}
	require.Equal(t, group.Number(1), w.inForce)
	require.Equal(t, "refused", w.status().Moves[0].Outcome)
}

// The group has formed again with another map while the holder led a switch. What
// the holder believed is void: it must read the record and plan from that map.
func TestGroupFormsAgain(t *testing.T) {
	w := newWorld(t)
	w.add("rank-0")
	w.pass(20*time.Minute, steep)
	r := w.record()
	r.Epoch, r.Number = 2, 1 // numbers begin anew with each epoch
	m, err := expertmap.Even(shape)
	require.NoError(t, err)
	r.Map = m
	value, err := r.Encode()
	require.NoError(t, err)
	w.write(RecordKey("s", "g"), value)
	w.inForce, w.m, w.epoch = r.Number, m, 2
	clear(w.offered)
	clear(w.votes)
	clear(w.promised)
	w.pass(20*time.Minute, func(e int) uint64 { return steep(shape.Experts - 1 - e) })
	require.Equal(t, uint64(2), w.status().Epoch)
	require.Equal(t, w.inForce, w.record().Number)
	require.Less(t, w.status().Skew, 1.1)
}

// Without a document nobody has chosen weights, so nothing may be moved.
func TestNoPlanWithoutDocument(t *testing.T) {
	w := newWorld(t)
	w.duties["rank-0"] = New(Config{Service: "s", Group: "g", Self: w.add("rank-0").cfg.Self}, nil)
	w.hand("rank-0", Event{Kind: Seek})
	w.pass(20*time.Minute, steep)
	require.True(t, w.duties["rank-0"].Holds(w.now))
	require.Empty(t, w.ended)
}

func TestReporter(t *testing.T) {
	first := Snapshot{Steps: 100, Busy: time.Second, Counts: []uint64{5, 5}}
	later := Snapshot{Steps: 150, Busy: 2 * time.Second, Counts: []uint64{9, 5}}
	restarted := Snapshot{Steps: 160, Busy: 3 * time.Second, Counts: []uint64{9, 4}}
	q := &Message{Group: "g", Window: 7, Counts: true}
	cases := []struct {
		name string
		from string
		now  Snapshot
		want Answer
	}{
		{"next window", "a", later, Answer{Rank: 3, Steps: 50, Busy: time.Second, Counts: []uint32{4, 0}}},
		{"another asker", "b", later, Answer{Rank: 3}},
		{"engine restarted", "a", Snapshot{Steps: 1, Counts: []uint64{5, 5}}, Answer{Rank: 3}},
		{"counts fell", "a", restarted, Answer{Rank: 3, Counts: nil}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := NewReporter("g", 3)
			require.Equal(t, &Answer{Rank: 3}, r.Answer("a", q, first).Answer)
			if c.name == "counts fell" {
				r.Answer("a", q, later)
			}
			got := r.Answer("a", q, c.now)
			if c.from != "a" {
				got = r.Answer("b", q, c.now)
			}
			require.Equal(t, &c.want, got.Answer)
			require.Equal(t, uint64(7), got.Window)
		})
	}
	require.Nil(t, NewReporter("g", 0).Answer("a", &Message{Group: "other"}, first))
	require.Nil(t, NewReporter("g", 0).Answer("a", &Message{Group: "g", Answer: &Answer{}}, first))
}

func FuzzDecode(f *testing.F) {
	for _, m := range []Message{
		{Group: "g", Window: 1, Counts: true},
		{Group: "g", Answer: &Answer{Rank: 2, Steps: 5, Busy: time.Second, Counts: []uint32{1, 2}}},
	} {
		b, err := m.Encode()
		require.NoError(f, err)
		f.Add(b)
	}
	f.Add([]byte{0xa1, 0x01, 0x60})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode(b)
		if err != nil {
			return
		}
		require.NoError(t, m.check())
		_, err = m.Encode()
		require.NoError(t, err)
	})
}

// Names may have hyphens, so keys that are joined by one would let two groups share
// a record.
func TestKeysDoNotCollide(t *testing.T) {
	require.NotEqual(t, RecordKey("a", "b-c"), RecordKey("a-b", "c"))
	require.NotEqual(t, StatusKey("a", "b-c"), StatusKey("a-b", "c"))
}
