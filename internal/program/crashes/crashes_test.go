package crashes

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/record/position"
	"wagtailshelf.example/wagtailshelf/internal/traffic/quarantine"
)

var (
	start = time.UnixMilli(1_700_000_000_000)
	fatal = quarantine.Fingerprint{7}
)

// recordOf is an entry's record of as many crashes, as it lies in the store.
func recordOf(entry string, crashes int, at position.Position) Stored {
	r := Stored{Record: quarantine.Record{Entry: entry, Told: start}, Position: at}
	for n := range crashes {
		broke := start.Add(time.Duration(n-10) * time.Second)
		r.Crashes = append(r.Crashes, quarantine.Crash{
			Run:  quarantine.Run{Request: fatal, Sent: broke.Add(-10 * time.Millisecond), Broke: broke},
			Life: quarantine.Life{Target: string(rune('a' + n)), Born: start},
		})
	}
	return r
}

func newKeeper() *Keeper {
	return NewKeeper(quarantine.New("me"), &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
}

func requireCrashes(t *testing.T, k *Keeper, n int) {
	t.Helper()
	require.Equal(t, n, k.Quarantine.Look(start, fatal).Crashes)
}

// Another entry's record tells of two crashes. The store comes back from a copy that has one
// of them, or none, which no operator has removed: the request stays held back, until that
// entry tells again.
func TestRecordsOfOthersInACopy(t *testing.T) {
	for name, list := range map[string][]Stored{
		"shorter": {recordOf("other", 1, position.Position{Era: 2, Revision: 3})},
		"none":    nil,
	} {
		t.Run(name, func(t *testing.T) {
			k := newKeeper()
			k.Listed(t.Context(), start, []Stored{recordOf("other", 2, position.Position{Era: 1, Revision: 9})}, false)
			requireCrashes(t, k, 2)
			k.Listed(t.Context(), start, list, true)
			requireCrashes(t, k, 2)
			k.Changed(t.Context(), start, recordOf("other", 0, position.Position{Era: 2, Revision: 5}))
			requireCrashes(t, k, 0)
		})
	}
}

// The same list without a copy: an operator has removed the record, and frees the request.
func TestRecordsThatAnOperatorRemoved(t *testing.T) {
	k := newKeeper()
	k.Listed(t.Context(), start, []Stored{recordOf("other", 2, position.Position{Era: 1, Revision: 9})}, false)
	k.Listed(t.Context(), start, nil, false)
	requireCrashes(t, k, 0)
}

// The own record is lost, or an older one stands in its place, at a number that was given out
// again. It is written once, where it lies now; one with nothing to tell is not written.
func TestOwnRecordInACopy(t *testing.T) {
	for name, c := range map[string]struct {
		saw  int
		list []Stored
		want []Stored
	}{
		"lost":        {2, nil, []Stored{recordOf("me", 2, position.Position{})}},
		"older":       {2, []Stored{recordOf("me", 1, position.Position{Era: 2, Revision: 3})}, []Stored{recordOf("me", 2, position.Position{Era: 2, Revision: 3})}},
		"none at all": {0, nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			k := newKeeper()
			written := make(chan Stored, 8)
			k.Put = func(_ context.Context, r Stored) (position.Position, Status, error) {
				r.Told = start
				written <- r
				return position.Position{Era: 2, Revision: 50}, Kept, nil
			}
			k.Listed(t.Context(), start, nil, false)
			for _, c := range recordOf("me", c.saw, position.Position{}).Crashes {
				k.Quarantine.Crashed(start, c.Life, []quarantine.Run{c.Run})
			}
			k.Quarantine.Own(start) // it was written before
			k.own.Store(&position.Position{Era: 1, Revision: 90})
			k.Listed(t.Context(), start, c.list, true)
			ctx, stop := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer stop()
			require.NoError(t, k.Tell(ctx))
			close(written)
			var got []Stored
			for r := range written {
				got = append(got, r)
			}
			require.Equal(t, c.want, got)
		})
	}
}
