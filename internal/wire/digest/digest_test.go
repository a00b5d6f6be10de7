package digest

import (
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/traffic/ratelimit"
)

func TestRates(t *testing.T) {
	words := []ratelimit.Word{
		{Target: "a", Said: ratelimit.NewSaid(1.5), Age: time.Second},
		{Target: "b", Age: time.Minute},
	}
	require.Equal(t, words, Words(Rates(words)))
	require.Empty(t, Rates(nil))
}

// A datagram is unsigned. What is no rate in it is left out, and the rest holds.
func TestRatesOfAnyWriter(t *testing.T) {
	words := Words([]Rate{
		{Target: "a", Named: true, Rate: math.NaN()},
		{Target: "b", Named: true, Rate: -1},
		{Target: "c", Named: true, Rate: math.Inf(1), Age: -time.Hour},
		{Target: "d", Named: true},
	})
	require.Len(t, words, 2)
	require.Equal(t, "c", words[0].Target)
	require.Zero(t, words[0].Age)
	require.Positive(t, words[0].Said.Rate)
	require.Equal(t, ratelimit.Word{Target: "d", Said: ratelimit.NewSaid(0)}, words[1])
}

// A large group, and as many rates of targets in need as are told at a time: no datagram is
// larger than an Ethernet frame holds, or the loss of a part of it would lose all.
func TestDatagramsFit(t *testing.T) {
	const frame = 1500 - 28 // less what IP and UDP take
	d := Digest{Term: math.MaxInt32, Look: math.MaxInt32, Service: "service", Group: "group", Place: 340, Entries: 340, Age: time.Second}
	for range 256 {
		d.Ranks = append(d.Ranks, Rank{Target: "i-0123456789", Load: 99, Grant: 9, Slow: true})
	}
	for range MostRates {
		d.Rates = append(d.Rates, Rate{Target: "i-0123456789", Named: true, Rate: 1.234567, Age: time.Minute})
	}
	ranks, rates := 0, 0
	for _, part := range parts(d) {
		text, err := cbor.Marshal(message{Digest: &part})
		require.NoError(t, err)
		require.Less(t, len(text), frame)
		ranks += len(part.Ranks)
		rates += len(part.Rates)
	}
	require.Equal(t, len(d.Ranks), ranks)
	require.Equal(t, MostRates, rates)
}

// FuzzMessage reads any datagram. Each word of a rate in it can be kept to.
func FuzzMessage(f *testing.F) {
	text, err := cbor.Marshal(message{Hello: &Hello{Rates: []Rate{{Target: "a", Named: true, Rate: 1}}}})
	require.NoError(f, err)
	f.Add(text)
	f.Fuzz(func(t *testing.T, text []byte) {
		var m message
		if err := cbor.Unmarshal(text, &m); err != nil || m.Hello == nil {
			return
		}
		for _, w := range Words(m.Hello.Rates) {
			require.GreaterOrEqual(t, w.Said.Rate, ratelimit.Rate(0))
			require.GreaterOrEqual(t, w.Age, time.Duration(0))
		}
	})
}
