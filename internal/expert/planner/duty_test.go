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
	c := w.add("rank-0")
	w.advance(time.Hour, steep)
	require.True(t, c.Holds(w.now))
	require.NotEmpty(t, w.ended)
	s := w.status()
	require.Equal(t, w.active, s.Map)
	require.Equal(t, w.m.Digest().String(), s.Digest)
	require.Less(t, s.Skew, 1.1)
	require.NotEmpty(t, s.Explanation)
	require.Less(t, s.Switches[0].Measured, s.Switches[0].Before)
	require.Equal(t, w.active, w.record().Number)
	require.True(t, w.m.Equal(w.record().Map))
}

// A plan must be made after each window as long as windows improve the estimate, and
// once per period when the estimate has settled.
func TestPeriods(t *testing.T) {
	w := newWorld(t)
	w.add("rank-0")
	w.advance(12*time.Minute, steep)
	require.InDelta(t, 10, len(w.planned), 1)
	w.advance(50*time.Minute, steep)
	require.InDelta(t, 20, len(w.planned), 1)
}

// Two processes seek the lease. The holder stops without resigning; the other must
// take over under a higher fence and plan from the record, which has the active map.
func TestHolderDies(t *testing.T) {
	w := newWorld(t)
	w.add("rank-0")
	w.advance(20*time.Minute, steep)
	w.paused["rank-0"] = true
	w.add("rank-1")
	w.advance(20*time.Minute, func(e int) uint64 { return steep(shape.Experts - 1 - e) })
	require.True(t, w.controllers["rank-1"].Holds(w.now))
	require.IsIncreasing(t, []uint64{w.fences[0], w.fences[len(w.fences)-1]})
	require.Less(t, w.status().Skew, 1.1)
}

// The holder leads the group to a new map and dies before it has written the record.
// From then on the ranks refuse maps planned from the record's map, because they use
// another one. The next holder has observed the switch through its own rank, so it
// must plan from the active map and update the record.
func TestHolderDiesBeforeWritingRecord(t *testing.T) {
	w := newWorld(t)
	w.add("rank-0")
	w.add("rank-1")
	w.loseWrites = 1000
	for len(w.ended) == 0 {
		w.advance(time.Second, steep)
	}
	w.advance(time.Second, steep)
	w.paused["rank-0"], w.loseWrites = true, 0
	require.Equal(t, group.Number(1), w.record().Number)
	require.Greater(t, w.active, group.Number(1))
	w.advance(5*time.Minute, steep)
	require.True(t, w.controllers["rank-1"].Holds(w.now))
	require.Equal(t, w.active, w.record().Number)
	require.True(t, w.m.Equal(w.record().Map))
	before := w.active
	w.advance(20*time.Minute, func(e int) uint64 { return steep(shape.Experts - 1 - e) })
	require.Greater(t, w.active, before)
}

// The holder dies before it has written the record, and the next holder was started
// after the switch, so it has not observed the switch. After two refused maps it must
// cede the lease to a process that has; otherwise no map could be planned until the
// group forms again.
func TestHolderWithUnknownBaseResigns(t *testing.T) {
	w := newWorld(t)
	w.add("rank-0")
	w.add("rank-1")
	w.loseWrites = 1000
	for len(w.ended) == 0 {
		w.advance(time.Second, steep)
	}
	w.advance(time.Second, steep)
	w.loseWrites = 0
	w.paused["rank-1"] = true
	w.add("rank-0")
	w.advance(time.Minute, steep)
	require.True(t, w.controllers["rank-0"].Holds(w.now))
	w.paused["rank-1"] = false
	w.advance(30*time.Minute, func(e int) uint64 { return steep(shape.Experts - 1 - e) })
	require.True(t, w.controllers["rank-1"].Holds(w.now))
	require.Equal(t, w.active, w.record().Number)
	require.Less(t, w.status().Skew, 1.1)
}

// The holder is paused past the end of its lease and another process takes over. When
// it resumes, it handles all its queued events at once. It must not plan or send any
// message: the ranks would refuse its map numbers, but its loads would compete with
// inference.
func TestPausedHolderStaysSilent(t *testing.T) {
	w := newWorld(t)
	paused := w.add("rank-0")
	w.advance(10*time.Minute, steep)
	w.paused["rank-0"] = true
	w.add("rank-1")
	w.advance(time.Minute, steep)
	require.True(t, w.controllers["rank-1"].Holds(w.now))
	for _, ev := range []Event{
		{Kind: SwitchReceived, From: "rank-1", Switch: group.Message{Kind: group.Report, Group: "g", Epoch: 1}},
		{Kind: AnswerReceived, From: "rank-1", Message: &Message{Group: "g", Answer: &Answer{Rank: 1}}},
		{Kind: Tick},
	} {
		for _, a := range paused.Handle(w.now, ev) {
			require.Equal(t, Call, a.Kind)
			require.Zero(t, a.Call.ID&ownCallBit, "only calls of the lease are allowed")
		}
	}
}

// The platform is unavailable for an hour. The lease ends, so planning must stop and
// the group keep its map. After the outage, planning must go on, and the record must
// have the active map.
func TestPlatformOutage(t *testing.T) {
	w := newWorld(t)
	w.add("rank-0")
	w.advance(20*time.Minute, steep)
	before := w.active
	w.platformDown = true
	w.advance(time.Hour, func(e int) uint64 { return steep(shape.Experts - 1 - e) })
	require.False(t, w.controllers["rank-0"].Holds(w.now))
	require.Equal(t, before, w.active)
	w.platformDown = false
	w.advance(20*time.Minute, func(e int) uint64 { return steep(shape.Experts - 1 - e) })
	require.Greater(t, w.active, before)
	require.Equal(t, w.active, w.record().Number)
}

// A write of the record is lost, or it takes effect and its reply is lost. The
// controller can't distinguish the two; it must read the record back and continue
// until the record has the active map.
func TestLostWriteOfRecord(t *testing.T) {
	for _, lost := range [][2]int{{1, 0}, {0, 1}, {1, 1}} {
		w := newWorld(t)
		w.add("rank-0")
		w.loseReplies, w.loseWrites = lost[0], lost[1]
		for len(w.ended) == 0 {
			w.advance(time.Second, steep)
		}
		w.advance(10*time.Second, steep) // too short for another plan
		require.Zero(t, w.loseReplies+w.loseWrites)
		require.Equal(t, w.active, w.record().Number)
		require.True(t, w.m.Equal(w.record().Map))
	}
}

// The ranks refuse every map, for example because the weight store is too slow. Each
// attempt is charged to the load allowance, and there must be at most one attempt per
// period.
func TestRefusalsArePaced(t *testing.T) {
	w := newWorld(t)
	w.add("rank-0")
	w.refuse = true
	w.advance(time.Hour, steep)
	require.NotEmpty(t, w.ended)
	require.LessOrEqual(t, len(w.ended), 12)
	for _, a := range w.ended {
		require.Equal(t, group.Refused, a.Vote)
	}
	require.Equal(t, group.Number(1), w.active)
	require.Equal(t, "refused", w.status().Switches[0].Outcome)
}

// The group forms again with another map while a holder plans for it, so the holder's
// view of the group is outdated. It must read the record and plan from the record's map.
func TestGroupFormsAgain(t *testing.T) {
	w := newWorld(t)
	w.add("rank-0")
	w.advance(20*time.Minute, steep)
	r := w.record()
	r.Epoch, r.Number = 2, 1 // each epoch starts with number 1 again
	m, err := expertmap.Even(shape)
	require.NoError(t, err)
	r.Map = m
	value, err := r.Encode()
	require.NoError(t, err)
	w.write(RecordKey("s", "g"), value)
	w.active, w.m, w.epoch = r.Number, m, 2
	clear(w.proposed)
	clear(w.votes)
	clear(w.promised)
	w.advance(20*time.Minute, func(e int) uint64 { return steep(shape.Experts - 1 - e) })
	require.Equal(t, uint64(2), w.status().Epoch)
	require.Equal(t, w.active, w.record().Number)
	require.Less(t, w.status().Skew, 1.1)
}

// Without a document no operator has chosen weights, so no expert may be moved.
func TestNoPlanWithoutDocument(t *testing.T) {
	w := newWorld(t)
	w.controllers["rank-0"] = New(Config{Service: "s", Group: "g", Self: w.add("rank-0").cfg.Self}, nil)
	w.handle("rank-0", Event{Kind: Seek})
	w.advance(20*time.Minute, steep)
	require.True(t, w.controllers["rank-0"].Holds(w.now))
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

// Names may contain hyphens, so with a hyphen between the names in a key, two groups
// could share a record.
func TestKeysDoNotCollide(t *testing.T) {
	require.NotEqual(t, RecordKey("a", "b-c"), RecordKey("a-b", "c"))
	require.NotEqual(t, StatusKey("a", "b-c"), StatusKey("a-b", "c"))
}
