package engine_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"wagtailshelf.example/wagtailshelf/internal/wire/engine"
)

// FuzzReports decodes arbitrary reports of an engine: decoding fails, or the report is within
// its bounds and in order.
func FuzzReports(f *testing.F) {
	for _, seed := range []string{
		`{"running":3,"waiting":1,"queuedTokens":90,"cacheBlocks":4,"cacheLimit":9,"step":7,"ageMicros":1500}`,
		`{"running":-1}`,
		`{"events":[{"seq":1,"kind":"stored","block":5},{"seq":4,"kind":"evicted","block":5}],"next":5}`,
		`{"events":[{"seq":4,"kind":"stored"},{"seq":4,"kind":"stored"}],"next":5}`,
		`{"steps":2,"tokens":9,"micros":9000,"map":1,"experts":[[4,5],[6,3]]}`,
		`{"fence":3,"epoch":1,"next":80,"map":1,"prepared":2,"limit":90,"switch":90,"held":[{"rank":0,"layer":1,"expert":2}]}`,
		`{"switch":90}`,
		`{"accepted":false,"reason":"tooLate","next":8}`,
		`{"accepted":true,"reason":"tooLate"}`,
		`null`, `[]`, `{`, ``,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if l, err := engine.DecodeLoad(b); err == nil {
			assert.GreaterOrEqual(t, min(l.Running, l.Waiting, l.QueuedTokens, l.CacheBlocks, l.CacheLimit), 0)
		}
		if page, err := engine.DecodeEvents(b); err == nil {
			for _, ev := range page.Events {
				assert.Less(t, ev.Seq, page.Next)
			}
		}
		if c, err := engine.DecodeCounts(b); err == nil {
			assert.LessOrEqual(t, len(c.Experts), engine.MaxLayers)
		}
		if s, err := engine.DecodeState(b); err == nil && s.Switch != 0 {
			assert.NotZero(t, s.Prepared)
		}
		if r, err := engine.DecodeOrderReply(b); err == nil {
			assert.Equal(t, r.Accepted, r.Reason == "")
		}
	})
}
