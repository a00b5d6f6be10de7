package acceptance

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/fleet/member"
)

func TestPatchMakesTheText(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		line := rapid.StringMatching(`[a-c]{0,12}\n?`)
		base := strings.Join(rapid.SliceOfN(line, 0, 80).Draw(rt, "base"), "")
		text := strings.Join(rapid.SliceOfN(line, 0, 80).Draw(rt, "text"), "")
		p, err := DecodePatch(NewPatch([]byte(base), []byte(text)).Encode())
		require.NoError(rt, err)
		got, err := p.Apply([]byte(base))
		require.NoError(rt, err)
		require.True(rt, bytes.Equal(got, []byte(text)))
	})
}

func TestPatchOfOneLineIsSmall(t *testing.T) {
	base := longText(20_000)
	text := strings.Replace(base, "line 9000:", "line 9000: changed", 1)
	patch := NewPatch([]byte(base), []byte(text)).Encode()
	t.Logf("patch of %d bytes for a text of %d", len(patch), len(text))
	assert.Less(t, len(patch), 4096)
}

// A patch is made anew by each process that has both texts. Made with chance, one in
// some thousand was ten times as large, and a message that was to carry a line carried
// a block of 4 KB.
func TestPatchIsTheSameEachTime(t *testing.T) {
	base := longText(2_000)
	text := strings.Replace(base, "line 900:", "line 900: changed", 1)
	first := NewPatch([]byte(base), []byte(text)).Encode()
	for range 20 {
		assert.Equal(t, first, NewPatch([]byte(base), []byte(text)).Encode())
	}
}

func TestPatchIsBounded(t *testing.T) {
	for _, s := range []PatchStep{{Offset: -1, Length: 2}, {Offset: 2, Length: -1}, {Offset: 4, Length: 9}, {Offset: 1 << 62, Length: 1 << 62}} {
		_, err := Patch{Steps: []PatchStep{s}}.Apply([]byte("12345"))
		assert.ErrorIs(t, err, ErrPatch)
	}
	big := Patch{Steps: make([]PatchStep, 3)}
	base := make([]byte, 500_000)
	for i := range big.Steps {
		big.Steps[i].Length = len(base)
	}
	_, err := big.Apply(base)
	assert.ErrorIs(t, err, ErrTextLarge)
}

// BenchmarkPatch makes and applies the patch for one changed line of a text of the
// largest size.
func BenchmarkPatch(b *testing.B) {
	base := []byte(longText(20_000))
	text := bytes.Replace(base, []byte("line 9000:"), []byte("line 9000: changed"), 1)
	for b.Loop() {
		if _, err := applyPatch(base, NewPatch(base, text).Encode(), DigestOf(text)); err != nil {
			b.Fatal(err)
		}
	}
}

// FuzzDecodeEnvelope feeds arbitrary bytes to a process.
func FuzzDecodeEnvelope(f *testing.F) {
	for _, e := range []Envelope{
		{Document: &Message{Kind: Hold, From: "a", Service: "agenda", Stage: 4, IDs: []member.ID{1}}},
		{Document: &Message{Kind: Part, From: "a", Service: "agenda", Digest: &Digest{}, Size: 9, Data: []byte("x")}},
		{Member: &member.Message{Kind: member.Update, From: "a", Facts: []member.Fact{
			newFact(acceptedPrefix+"agenda", 3, acceptedFact{}), newFact(stagePrefix+"agenda", 8, stageFact{Number: 4}),
		}}},
	} {
		b, err := e.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(_ *testing.T, b []byte) {
		e, err := DecodeEnvelope(b)
		if err != nil {
			return
		}
		w := newWorld(failer{}, 1)
		cfg := Config{Member: member.Config{Self: host.Identity{Name: "self", DataCentre: "d", Incarnation: 2}}}
		p := NewProcess(epoch, cfg, w.rng)
		p.Handle(epoch, Event{Kind: Received, Envelope: e})
		p.Handle(p.Deadline(), Event{Kind: Tick})
	})
}
