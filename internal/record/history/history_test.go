package history_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
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

// platform is a stand-in of the platform that stores objects.
type platform struct {
	objects      map[object.Key]object.Object
	version      object.Version
	loseResponse func(c object.Call) bool // the call takes effect, but its response is lost
	writes       int
}

func newPlatform() *platform { return &platform{objects: make(map[object.Key]object.Object)} }

func (p *platform) do(_ context.Context, c object.Call) object.Reply {
	r := object.Reply{ID: c.ID, Op: c.Op, Status: object.Done}
	current := p.objects[c.Key]
	switch {
	case c.Op == object.List:
		for k, o := range p.objects {
			if strings.HasPrefix(string(k), string(c.Key)) {
				r.Objects = append(r.Objects, o)
			}
		}
	case current.Version != c.Version:
		r.Status, r.Object = object.Conflict, current
	case c.Op == object.Delete:
		delete(p.objects, c.Key)
	default:
		p.version++
		p.writes++
		r.Object = object.Object{Key: c.Key, Version: p.version, Value: c.Value}
		p.objects[c.Key] = r.Object
	}
	if p.loseResponse != nil && p.loseResponse(c) {
		return object.Reply{ID: c.ID, Op: c.Op, Status: object.Unknown}
	}
	return r
}

// keep adds an entry with a [history.Keeper], under a virtual clock.
func (p *platform) keep(t *testing.T, e history.Entry) error {
	return keepInBubble(t, p, e)
}

func (p *platform) read(t require.TestingT, service string) []history.Entry {
	var segments []object.Object
	for k, o := range p.objects {
		if strings.HasPrefix(string(k), string(history.Prefix(service))) {
			segments = append(segments, o)
		}
	}
	entries, err := history.Read(segments)
	require.NoError(t, err)
	return entries
}

func TestInForceAtFindsKeptTexts(t *testing.T) {
	p := newPlatform()
	texts := []string{"one\ntwo\nthree\n", "one\n2\nthree\n", "", "three\none\n2\nthree\nno newline", "one\ntwo\nthree\n"}
	for i, text := range texts {
		require.NoError(t, p.keep(t, entry(uint64(i+1), text)))
	}
	entries := p.read(t, "agenda")
	require.Len(t, entries, len(texts))
	for i, e := range entries {
		assert.Equal(t, texts[i], string(e.Text))
	}
	in, ok := history.ActiveAt(entries, epoch.Add(3*time.Minute+30*time.Second))
	require.True(t, ok)
	assert.Equal(t, uint64(3), in.Number)
	_, ok = history.ActiveAt(entries, epoch)
	assert.False(t, ok)
}

// Two operators apply documents at the same time: both find number 7 applied and add it
// to the history, and one of them then applies number 8. A process that was frozen since
// then adds number 7 again. The history must have each number once.
func TestStoredEntryIsNotAddedAgain(t *testing.T) {
	p := newPlatform()
	for _, e := range []history.Entry{entry(6, "six\n"), entry(7, "seven\n"), entry(7, "seven\n"), entry(8, "eight\n"), entry(7, "seven\n")} {
		require.NoError(t, p.keep(t, e))
	}
	entries := p.read(t, "agenda")
	require.Len(t, entries, 3)
	assert.Equal(t, "eight\n", string(entries[2].Text))
	assert.Equal(t, 3, p.writes)
}

// A number is already stored with another text: the platform has used one version
// twice, or somebody has changed the history. Nothing is written.
func TestTwoTextsUnderOneNumber(t *testing.T) {
	p := newPlatform()
	require.NoError(t, p.keep(t, entry(7, "seven\n")))
	require.ErrorIs(t, p.keep(t, entry(7, "other\n")), history.ErrTwoDigests)
	assert.Equal(t, 1, p.writes)
}

// The write of an entry takes effect and its response is lost. The next attempt reads
// the history first and finds the number, so that it is not stored twice.
func TestALostAnswerIsReadBack(t *testing.T) {
	p := newPlatform()
	lost := false
	p.loseResponse = func(c object.Call) bool {
		first := c.Op == object.Put && !lost
		lost = lost || first
		return first
	}
	require.NoError(t, p.keep(t, entry(1, "one\n")))
	assert.Equal(t, 1, p.writes)
	assert.Len(t, p.read(t, "agenda"), 1)
}

// The platform does not respond: Keep returns that the entry was not stored, so that
// the caller does not apply the next document.
func TestOutageIsReported(t *testing.T) {
	p := newPlatform()
	p.loseResponse = func(object.Call) bool { return true }
	require.ErrorIs(t, p.keep(t, entry(1, "one\n")), history.ErrNotKept)
}

const alphabet = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ+-\n"

// The newest segment is at its size limit: an entry that does not fit begins the next
// segment, with its complete text.
func TestHistoryAtItsSizeLimit(t *testing.T) {
	p := newPlatform()
	rng := rand.New(rand.NewPCG(3, 3))
	var number uint64
	for len(p.objects) < 3 || number < 6 {
		number++
		text := make([]byte, 400<<10)
		for i := range text {
			text[i] = alphabet[rng.IntN(len(alphabet))] // hardly compresses, and no line comes twice
		}
		require.NoError(t, p.keep(t, entry(number, string(text))))
	}
	for k, o := range p.objects {
		assert.LessOrEqual(t, len(o.Value), object.MaxValueBytes, k)
	}
	entries := p.read(t, "agenda")
	require.Len(t, entries, int(number))
	for _, e := range entries {
		assert.Len(t, e.Text, 400<<10)
	}
}

func TestOldSegmentsAreDeletedBeyondTheLimit(t *testing.T) {
	p := newPlatform()
	for i := range history.MaxSegments + 3 {
		segment := &history.Segment{}
		require.NoError(t, segment.Add(entry(uint64(i+1), "x\n")))
		p.version++
		k := history.SegmentKey("agenda", i+1)
		p.objects[k] = object.Object{Key: k, Version: p.version, Value: segment.Encode()}
	}
	require.NoError(t, p.keep(t, entry(1000, "y\n"))) // deletes the segments beyond the limit, which an earlier version of the program left
	assert.Equal(t, history.MaxSegments, len(p.objects))
	entries := p.read(t, "agenda")
	assert.Equal(t, uint64(4), entries[0].Number)
	assert.Equal(t, uint64(1000), entries[len(entries)-1].Number)
}

// A stored segment is damaged. It is left as it is, for auditors, to whom the damage is
// reported; the next entry begins a new segment.
func TestDamagedSegmentIsNotOverwritten(t *testing.T) {
	p := newPlatform()
	require.NoError(t, p.keep(t, entry(1, "one\n")))
	k := history.SegmentKey("agenda", 1)
	o := p.objects[k]
	o.Value = append([]byte{}, o.Value...)
	o.Value[len(o.Value)/2] ^= 0xff
	p.objects[k] = o
	require.NoError(t, p.keep(t, entry(2, "two\n")))
	assert.Equal(t, o.Value, p.objects[k].Value)
	_, err := history.Read([]object.Object{p.objects[k]})
	require.ErrorIs(t, err, history.ErrDamaged)
	entries, err := history.Read([]object.Object{p.objects[history.SegmentKey("agenda", 2)]})
	require.NoError(t, err)
	require.Len(t, entries, 1)
	assert.Equal(t, "two\n", string(entries[0].Text))
}

// Somebody changes a text in the stored history with common tools, so that the
// object is still well-formed. The digest reveals the change.
func TestChangedTextIsDamage(t *testing.T) {
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

// The platform loses responses, entries are added several times, and texts are of all
// kinds. The history must have each entry that Keep reported as stored, once, in order
// and with its text, and no entry that was never added.
func TestKeeperUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := newPlatform()
		p.loseResponse = func(object.Call) bool { return rapid.IntRange(0, 2).Draw(rt, "lose") == 0 }
		texts := map[uint64]string{}
		kept := map[uint64]bool{}
		var number uint64
		for range rapid.IntRange(1, 20).Draw(rt, "steps") {
			// A document is replaced only after it was stored.
			if number == 0 || kept[number] && rapid.Bool().Draw(rt, "new") {
				number++
				texts[number] = strings.Join(rapid.SliceOfN(rapid.SampledFrom([]string{"a\n", "b\n", "c\n", "d"}), 0, 6).Draw(rt, "text"), "")
			}
			if keepInBubble(t, p, entry(number, texts[number])) == nil {
				kept[number] = true
			}
		}
		entries := p.read(rt, "agenda")
		stored := map[uint64]bool{}
		for i, e := range entries {
			require.Equal(rt, uint64(i+1), e.Number)
			require.Equal(rt, texts[e.Number], string(e.Text))
			stored[e.Number] = true
		}
		for n := range kept {
			require.True(rt, stored[n], "number %d", n)
		}
	})
}

// keepInBubble adds an entry under a virtual clock, in a synctest bubble. A failure in
// rapid is a panic, which must be passed out of the bubble to reach rapid.
func keepInBubble(t *testing.T, p *platform, e history.Entry) error {
	var err error
	var failure any
	synctest.Test(t, func(t *testing.T) {
		defer func() { failure = recover() }()
		k := history.Keeper{Do: p.do}
		err = k.Keep(t.Context(), "agenda", e)
	})
	if failure != nil {
		panic(failure)
	}
	return err
}

func TestMergeKeepsTextsAndReportsTwoDigests(t *testing.T) {
	recorded := entry(1, "one\n")
	recorded.Text = nil
	merged, err := history.Merge([]history.Entry{entry(2, "two\n"), recorded}, []history.Entry{entry(1, "one\n")})
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
