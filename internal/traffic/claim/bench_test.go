package claim_test

import (
	"encoding/binary"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/record/object"
	"wagtailshelf.example/wagtailshelf/internal/traffic/claim"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

// BenchmarkShardKept measures the cost of a claim: its time, its memory in each
// process that reads the shard, and its size in the platform's store.
func BenchmarkShardKept(b *testing.B) {
	const kept, batch = 20_000, 100
	var before, after runtime.MemStats
	for range b.N {
		s := newStore()
		runtime.GC()
		runtime.ReadMemStats(&before)
		shard := claim.New(claim.DefaultConfig("agenda", 0), rand.New(rand.NewPCG(1, 1)))
		now, began := t0, time.Now()
		for n := 0; n < kept; n += batch {
			var calls []object.Call
			collect := func(actions []claim.Action) {
				for _, a := range actions {
					if a.Kind == claim.Call {
						calls = append(calls, a.Call)
					}
				}
			}
			for i := range batch {
				var id request.ID
				binary.BigEndian.PutUint64(id[:], uint64(n+i)+1)
				owner := request.Prior{ID: id, Target: "hall-derby-deckapp-1", Incarnation: 1_700_000_000, Fingerprint: 1 << 60}
				asked := claim.Event{Kind: claim.ClaimRequested, Key: claim.NewKey("s", "w", id.String()), Owner: owner}
				collect(shard.Handle(now, asked))
			}
			for len(calls) > 0 {
				c := calls[0]
				calls = calls[1:]
				collect(shard.Handle(now, claim.Event{Kind: claim.Replied, Reply: s.do(c)}))
			}
			now = now.Add(200 * time.Millisecond)
			collect(shard.Handle(now, claim.Event{Kind: claim.Tick}))
			for len(calls) > 0 {
				c := calls[0]
				calls = calls[1:]
				collect(shard.Handle(now, claim.Event{Kind: claim.Replied, Reply: s.do(c)}))
			}
		}
		b.ReportMetric(float64(time.Since(began).Nanoseconds())/kept, "ns/claim")
		stored := 0
		for _, o := range s.objects {
			stored += len(o.Value)
		}
		b.ReportMetric(float64(stored)/kept, "storedB/claim")
		s.objects, s.previous = nil, nil
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/kept, "B/claim")
		b.ReportMetric(float64(shard.State().Claims), "claims")
	}
}
