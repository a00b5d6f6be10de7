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
	reports := []ratelimit.Report{
		{Target: "a", Statement: ratelimit.NewStatement(1.5), Age: time.Second},
		{Target: "b", Age: time.Minute},
	}
	require.Equal(t, reports, ToReports(FromReports(reports)))
	require.Empty(t, FromReports(nil))
}

// Datagrams are not signed, so any process can send one. Invalid rates in a datagram are left
// out, and the valid ones are used.
func TestInvalidRatesAreLeftOut(t *testing.T) {
	reports := ToReports([]Rate{
		{Target: "a", Named: true, Rate: math.NaN()},
		{Target: "b", Named: true, Rate: -1},
		{Target: "c", Named: true, Rate: math.Inf(1), Age: -time.Hour},
		{Target: "d", Named: true},
	})
	require.Len(t, reports, 2)
	require.Equal(t, "c", reports[0].Target)
	require.Zero(t, reports[0].Age)
	require.Positive(t, reports[0].Statement.Rate)
	require.Equal(t, ratelimit.Report{Target: "d", Statement: ratelimit.NewStatement(0)}, reports[1])
}

// With a large group and the greatest number of rates, every datagram still fits into an Ethernet
// frame. Otherwise it would be fragmented, and the loss of one fragment would lose all of it.
func TestDatagramsFit(t *testing.T) {
	const frame = 1500 - 28 // less the headers of IP and UDP
	d := Update{Term: math.MaxInt32, Poll: math.MaxInt32, Service: "service", Group: "group", Index: 340, Entries: 340, Age: time.Second}
	for range 256 {
		d.Ranks = append(d.Ranks, Rank{Target: "i-0123456789", Load: 99, Grant: 9, Slow: true})
	}
	for range MaxRates {
		d.Rates = append(d.Rates, Rate{Target: "i-0123456789", Named: true, Rate: 1.234567, Age: time.Minute})
	}
	ranks, rates := 0, 0
	for _, part := range split(d) {
		text, err := cbor.Marshal(message{Digest: &part})
		require.NoError(t, err)
		require.Less(t, len(text), frame)
		ranks += len(part.Ranks)
		rates += len(part.Rates)
	}
	require.Equal(t, len(d.Ranks), ranks)
	require.Equal(t, MaxRates, rates)
}

// FuzzMessage decodes arbitrary datagrams: the rates of every rate report are valid.
func FuzzMessage(f *testing.F) {
	text, err := cbor.Marshal(message{Hello: &Heartbeat{Rates: []Rate{{Target: "a", Named: true, Rate: 1}}}})
	require.NoError(f, err)
	f.Add(text)
	f.Fuzz(func(t *testing.T, text []byte) {
		var m message
		if err := cbor.Unmarshal(text, &m); err != nil || m.Hello == nil {
			return
		}
		for _, w := range ToReports(m.Hello.Rates) {
			require.GreaterOrEqual(t, w.Statement.Rate, ratelimit.Rate(0))
			require.GreaterOrEqual(t, w.Age, time.Duration(0))
		}
	})
}
