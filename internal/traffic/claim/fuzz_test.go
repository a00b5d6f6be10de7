package claim_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/record/object"
	"wagtailshelf.example/wagtailshelf/internal/traffic/claim"
)

// FuzzSegment stores arbitrary bytes as the shard's first segment. A claim is
// then granted, taken or refused, or the segment is reported as corrupt. Nothing
// panics, and no claim waits forever.
func FuzzSegment(f *testing.F) {
	good := newStore()
	p := &process{t: &testing.T{}, shard: claim.New(claim.DefaultConfig("agenda", 0), rand.New(rand.NewPCG(1, 1))), store: good, now: t0}
	p.ask(1, false)
	p.serve()
	f.Add(good.objects["claims/agenda-000-001"].Value)
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, value []byte) {
		s := newStore()
		s.do(object.Call{Op: object.Put, Key: "claims/agenda-000-001", Value: value})
		p := newProcess(t, s)
		p.ask(2, false)
		for range 20 {
			p.serve()
			p.advance(100 * time.Millisecond)
		}
		last := p.actions[len(p.actions)-1].Kind
		require.Contains(t, []claim.ActionKind{claim.Granted, claim.Taken, claim.Refused, claim.Corrupt}, last)
		require.Zero(t, p.shard.State().Waiting)
	})
}
