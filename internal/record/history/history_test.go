package history_test

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/record/history"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

var epoch = time.Date(2026, 3, 2, 14, 0, 0, 0, time.UTC)

func entry(number uint64, text string) history.Entry {
	return history.Entry{
		Number: number, Digest: document.DigestOf([]byte(text)), By: fmt.Sprintf("operator-%d", number%3),
		At: epoch.Add(time.Duration(number) * time.Minute), Text: []byte(text),
	}
}

// shelf is a platform for one archive.
type shelf struct {
	objects map[object.Key]object.Object
	version object.Version
	lose    func(c object.Call) bool // the call takes effect, its answer is lost
	writes  int
}

func newShelf() *shelf { return &shelf{objects: make(map[object.Key]object.Object)} }

func (s *shelf) do(c object.Call) object.Reply {
	r := object.Reply{ID: c.ID, Op: c.Op, Status: object.Done}
	current := s.objects[c.Key]
	switch {
	case c.Op == object.List:
		for k, o := range s.objects {
			if strings.HasPrefix(string(k), string(c.Key)) {
				r.Objects = append(r.Objects, o)
			}
		}
	case current.Version != c.Version:
		r.Status, r.Object = object.Conflict, current
	case c.Op == object.Delete:
		delete(s.objects, c.Key)
	default:
		s.version++
		s.writes++
		r.Object = object.Object{Key: c.Key, Version: s.version, Value: c.Value}
		s.objects[c.Key] = r.Object
	}
	if s.lose != nil && s.lose(c) {
		return object.Reply{ID: c.ID, Op: c.Op, Status: object.Unknown}
	}
	return r
}

// run hands an event to an archive, and the replies to its calls, until it asks
// for nothing more. It returns the numbers that are archived by then.
func (s *shelf) run(a *history.Archive, now time.Time, ev history.Event) []uint64 {
	var done []uint64
	queue := []history.Event{ev}
	for steps := 0; len(queue) > 0; steps++ {
		if steps > 1000 {
			panic("the archive asks for ever")
		}
		actions := a.Handle(now, queue[0])
		queue = queue[1:]
		for _, action := range actions {
			switch action.Kind {
			case history.Call:
				queue = append(queue, history.Event{Kind: history.Answered, Reply: s.do(action.Call)})
			case history.Archived:
				done = append(done, action.Entry.Number)
			}
		}
		if at := a.Deadline(); len(queue) == 0 && !at.IsZero() {
			now = at
			queue = append(queue, history.Event{Kind: history.Tick})
		}
	}
	return done
}

func (s *shelf) read(t require.TestingT, service string) []history.Entry {
	var segments []object.Object
	for k, o := range s.objects {
		if strings.HasPrefix(string(k), string(history.Prefix(service))) {
			segments = append(segments, o)
		}
	}
	entries, err := history.Read(segments)
	require.NoError(t, err)
	return entries
}

func newArchive(s *shelf) *history.Archive {
	a := history.NewArchive(rand.New(rand.NewPCG(1, 1)))
	s.run(a, epoch, history.Event{Kind: history.Gained})
	return a
}

func accept(s *shelf, a *history.Archive, e history.Entry) []uint64 {
	return s.run(a, epoch, history.Event{Kind: history.Accepted, Service: "agenda", Entry: e})
}

func TestArchiveKeepsTextsAndAnswersWhatWasInForce(t *testing.T) {
	s := newShelf()
	a := newArchive(s)
	texts := []string{"one\ntwo\nthree\n", "one\n2\nthree\n", "", "three\none\n2\nthree\nno newline", "one\ntwo\nthree\n"}
	for i, text := range texts {
		assert.Equal(t, []uint64{uint64(i + 1)}, accept(s, a, entry(uint64(i+1), text)))
	}
	entries := s.read(t, "agenda")
	require.Len(t, entries, len(texts))
	for i, e := range entries {
		assert.Equal(t, texts[i], string(e.Text))
	}
	in, ok := history.InForceAt(entries, epoch.Add(3*time.Minute+30*time.Second))
	require.True(t, ok)
	assert.Equal(t, uint64(3), in.Number)
	_, ok = history.InForceAt(entries, epoch)
	assert.False(t, ok)
}

// The holder accepts 7 and dies before it wrote the history. The next holder
// offers the document that it has in force, and goes on with 8. A holder that
// was paused in between and wakes offers 7 and 8 again.
func TestANextHolderWritesWhatTheFormerDidNot(t *testing.T) {
	s := newShelf()
	first := newArchive(s)
	accept(s, first, entry(6, "six\n"))
	next := newArchive(s)
	assert.Equal(t, []uint64{7}, accept(s, next, entry(7, "seven\n")))
	assert.Equal(t, []uint64{8}, accept(s, next, entry(8, "eight\n")))
	assert.Equal(t, []uint64{7}, accept(s, first, entry(7, "seven\n")))
	assert.Equal(t, []uint64{8}, accept(s, first, entry(8, "eight\n")))
	entries := s.read(t, "agenda")
	require.Len(t, entries, 3)
	assert.Equal(t, "eight\n", string(entries[2].Text))
}

// The write of an entry takes effect and its answer is lost. The archive reads
// the history before it writes again, finds the number there, and says that it
// is archived; it does not stand there twice.
func TestALostAnswerIsReadBack(t *testing.T) {
	s := newShelf()
	a := newArchive(s)
	lost := false
	s.lose = func(c object.Call) bool {
		first := c.Op == object.Put && !lost
		lost = lost || first
		return first
	}
	assert.Equal(t, []uint64{1}, accept(s, a, entry(1, "one\n")))
	assert.Equal(t, 1, s.writes)
	assert.Len(t, s.read(t, "agenda"), 1)
}

const alphabet = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ+-\n"

// The newest segment is at its size limit: an entry that has no room opens the
// next one, with its text whole. Beyond the limit of segments the oldest goes.
func TestHistoryAtItsSizeLimit(t *testing.T) {
	s := newShelf()
	a := newArchive(s)
	rng := rand.New(rand.NewPCG(3, 3))
	var number uint64
	for len(s.objects) < 3 || number < 6 {
		number++
		text := make([]byte, 400<<10)
		for i := range text {
			text[i] = alphabet[rng.IntN(len(alphabet))] // hardly compresses, and no line comes twice
		}
		require.Equal(t, []uint64{number}, accept(s, a, entry(number, string(text))))
	}
	for k, o := range s.objects {
		assert.LessOrEqual(t, len(o.Value), object.MaxValueBytes, k)
	}
	entries := s.read(t, "agenda")
	require.Len(t, entries, int(number))
	for _, e := range entries {
		assert.Len(t, e.Text, 400<<10)
	}
}

func TestOldSegmentsAreDeletedBeyondTheLimit(t *testing.T) {
	s := newShelf()
	for i := range history.MaxSegments + 3 {
		segment := &history.Segment{}
		require.NoError(t, segment.Add(entry(uint64(i+1), "x\n")))
		s.version++
		k := history.SegmentKey("agenda", i+1)
		s.objects[k] = object.Object{Key: k, Version: s.version, Value: segment.Encode()}
	}
	a := newArchive(s)
	accept(s, a, entry(1000, "y\n"))
	assert.Len(t, s.objects, history.MaxSegments)
	entries := s.read(t, "agenda")
	assert.Equal(t, uint64(4), entries[0].Number)
	assert.Equal(t, uint64(1000), entries[len(entries)-1].Number)
}

func TestDamageIsReportedAndKept(t *testing.T) {
	s := newShelf()
	a := newArchive(s)
	accept(s, a, entry(1, "one\n"))
	k := history.SegmentKey("agenda", 1)
	o := s.objects[k]
	o.Value = append([]byte{}, o.Value...)
	o.Value[len(o.Value)/2] ^= 0xff
	s.objects[k] = o

	next := history.NewArchive(rand.New(rand.NewPCG(1, 1)))
	next.Handle(epoch, history.Event{Kind: history.Gained})
	calls := next.Handle(epoch, history.Event{Kind: history.Accepted, Service: "agenda", Entry: entry(2, "two\n")})
	require.Len(t, calls, 1)
	actions := next.Handle(epoch, history.Event{Kind: history.Answered, Reply: s.do(calls[0].Call)})
	require.Equal(t, history.Damage, actions[0].Kind)
	require.ErrorIs(t, actions[0].Err, history.ErrDamaged)
	require.Equal(t, history.Call, actions[1].Kind)
	assert.Equal(t, history.SegmentKey("agenda", 2), actions[1].Call.Key)
}

// Somebody changes a text in the stored history with common tools, so that the
// object is well-formed. The digest tells.
func TestATextThatWasChangedAfterwardsIsDamage(t *testing.T) {
	segment := &history.Segment{}
	require.NoError(t, segment.Add(entry(1, "one\n")))
	r, err := gzip.NewReader(bytes.NewReader(segment.Encode()))
	require.NoError(t, err)
	raw, err := io.ReadAll(r)
	require.NoError(t, err)
	var forged bytes.Buffer
	w := gzip.NewWriter(&forged)
	_, err = w.Write(bytes.Replace(raw, []byte(`"one\n"`), []byte(`"two\n"`), 1))
	require.NoError(t, err)
	require.NoError(t, w.Close())
	_, _, err = history.DecodeSegment(forged.Bytes())
	require.ErrorIs(t, err, history.ErrDamaged)
	assert.ErrorContains(t, err, "digest")
}

// A platform that loses answers, two holders that come and go, texts of all
// kinds: the history has each accepted entry that a holder could write, once, in
// order, with its text.
func TestArchiveUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newShelf()
		s.lose = func(object.Call) bool { return rapid.IntRange(0, 3).Draw(t, "lose") == 0 }
		holders := []*history.Archive{newArchive(s), newArchive(s)}
		texts := map[uint64]string{}
		var number uint64
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			a := holders[rapid.IntRange(0, 1).Draw(t, "holder")]
			if number == 0 || rapid.Bool().Draw(t, "new") {
				number++
				texts[number] = strings.Join(rapid.SliceOfN(rapid.SampledFrom([]string{"a\n", "b\n", "c\n", "d"}), 0, 6).Draw(t, "text"), "")
			}
			accept(s, a, entry(number, texts[number]))
			if a.Waiting() != 0 {
				t.Fatalf("%d entries wait though the archive asks for nothing", a.Waiting())
			}
		}
		entries := s.read(t, "agenda")
		require.Len(t, entries, int(number))
		for i, e := range entries {
			require.Equal(t, uint64(i+1), e.Number)
			require.Equal(t, texts[e.Number], string(e.Text))
		}
	})
}

func TestMergeKeepsTextsAndReportsTwoDigests(t *testing.T) {
	recorded := entry(1, "one\n")
	recorded.Text, recorded.Holder = nil, "mtl-a-entry-1"
	archived := entry(1, "one\n")
	archived.By = ""
	merged, err := history.Merge([]history.Entry{entry(2, "two\n"), archived}, []history.Entry{recorded})
	require.NoError(t, err)
	require.Len(t, merged, 2)
	assert.Equal(t, "one\n", string(merged[0].Text))
	assert.Equal(t, recorded.By, merged[0].By)
	_, err = history.Merge(merged, []history.Entry{entry(2, "other\n")})
	require.ErrorIs(t, err, history.ErrTwoDigests)
}

func FuzzDecodeSegment(f *testing.F) {
	segment := &history.Segment{}
	for i, text := range []string{"one\ntwo\n", "one\n2\n"} {
		require.NoError(f, segment.Add(entry(uint64(i+1), text)))
	}
	f.Add(segment.Encode())
	f.Add([]byte("\x1f\x8b"))
	f.Fuzz(func(_ *testing.T, value []byte) {
		_, _, _ = history.DecodeSegment(value)
	})
}

func BenchmarkAdd(b *testing.B) {
	for _, targets := range []int{16, 1300} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			var text strings.Builder
			for i := range targets {
				fmt.Fprintf(&text, "  - {name: t%d, address: 127.0.%d.%d:8443, dataCentre: dc-%d}\n", i, i/256, i%256, i%22)
			}
			segment := &history.Segment{}
			var number, kept uint64
			for b.Loop() {
				number++
				kept++
				e := entry(number, strings.Replace(text.String(), "t7,", fmt.Sprintf("t7, weight: %d,", number), 1))
				if segment.Add(e) != nil {
					segment, kept = &history.Segment{}, 1
					require.NoError(b, segment.Add(e))
				}
			}
			b.ReportMetric(float64(len(segment.Encode()))/float64(kept), "B/entry")
		})
	}
}
