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
	testTime = time.UnixMilli(1_700_000_000_000)
	fatal    = quarantine.Fingerprint{7}
)

// recordOf returns an entry's stored record with the given number of crashes.
func recordOf(entry string, crashes int, at position.Position) Stored {
	r := Stored{Record: quarantine.Record{Entry: entry, Written: testTime}, Position: at}
	for n := range crashes {
		failed := testTime.Add(time.Duration(n-10) * time.Second)
		r.Crashes = append(r.Crashes, quarantine.Crash{
			Run:         quarantine.Run{Request: fatal, Sent: failed.Add(-10 * time.Millisecond), Failed: failed},
			Incarnation: quarantine.Incarnation{Target: string(rune('a' + n)), Started: testTime},
		})
	}
	return r
}

func newKeeper() *Keeper {
	return NewKeeper(quarantine.New("me"), &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
}

func requireCrashes(t *testing.T, k *Keeper, n int) {
	t.Helper()
	require.Equal(t, n, k.Quarantine.Check(testTime, fatal).Crashes)
}

// Another entry's record has two crashes. The store is restored from a backup that has one of them,
// or none, without an operator having removed any: the request stays quarantined until that entry
// writes its record again.
func TestRecordsOfOthersInABackup(t *testing.T) {
	for name, list := range map[string][]Stored{
		"shorter": {recordOf("other", 1, position.Position{Era: 2, Revision: 3})},
		"none":    nil,
	} {
		t.Run(name, func(t *testing.T) {
			k := newKeeper()
			k.ApplyList(t.Context(), testTime, []Stored{recordOf("other", 2, position.Position{Era: 1, Revision: 9})}, false)
			requireCrashes(t, k, 2)
			k.ApplyList(t.Context(), testTime, list, true)
			requireCrashes(t, k, 2)
			k.ApplyChange(t.Context(), testTime, recordOf("other", 0, position.Position{Era: 2, Revision: 5}))
			requireCrashes(t, k, 0)
		})
	}
}

// Without a restore, an absent record was removed by an operator, which releases the request.
func TestRecordsRemovedByAnOperator(t *testing.T) {
	k := newKeeper()
	k.ApplyList(t.Context(), testTime, []Stored{recordOf("other", 2, position.Position{Era: 1, Revision: 9})}, false)
	k.ApplyList(t.Context(), testTime, nil, false)
	requireCrashes(t, k, 0)
}

// After a restore the own record is lost, or an older version is in its place, at a revision number
// that was assigned again. The record is written once, at its present position; a record without
// crashes is not written.
func TestOwnRecordInABackup(t *testing.T) {
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
				r.Written = testTime
				written <- r
				return position.Position{Era: 2, Revision: 50}, Written, nil
			}
			k.ApplyList(t.Context(), testTime, nil, false)
			for _, c := range recordOf("me", c.saw, position.Position{}).Crashes {
				k.Quarantine.Crashed(testTime, c.Incarnation, []quarantine.Run{c.Run})
			}
			k.Quarantine.OwnRecord(testTime) // the record was written before the restore
			k.ownPosition.Store(&position.Position{Era: 1, Revision: 90})
			k.ApplyList(t.Context(), testTime, c.list, true)
			ctx, stop := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer stop()
			require.NoError(t, k.Run(ctx))
			close(written)
			var got []Stored
			for r := range written {
				got = append(got, r)
			}
			require.Equal(t, c.want, got)
		})
	}
}
