package target

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPick measures one pick together with its Finish, with 1,300 targets of
// which 59 or all are in the entry's own data centre, and prompts of 12,000
// workspaces.
func BenchmarkPick(b *testing.B) {
	const targets, workspaces = 1300, 12000
	prefixes := make([]Prefix, workspaces)
	prompt := make([]byte, 2*blocks.Bytes)
	for i := range prefixes {
		prefixes[i] = blocks.Prefix(fmt.Sprint("workspace", i), prompt)
	}
	tried := []Name{"a3", "a7"}
	for _, local := range []int{59, targets} {
		cands := append(candidates("mtl-a", "a", local), candidates("mtl-b", "b", targets-local)...)
		for _, affine := range []bool{false, true} {
			b.Run(fmt.Sprintf("local=%d/affine=%t", local, affine), func(b *testing.B) {
				c := newChooser(Config{}, cands...)
				for i, cand := range cands {
					report(c, at(0), cand.Name, int64(i%50), 1000)
				}
				b.ReportAllocs()
				i := 0
				for b.Loop() {
					i++
					now := at(time.Duration(i) * 80 * time.Microsecond)
					q := Query{Tokens: 100, Tried: tried}
					if affine {
						q.Prefix = prefixes[i%workspaces]
					}
					ch, ok := c.Pick(now, q)
					if !ok {
						b.Fatal("no target")
					}
					c.Finish(now, ch, End{Kind: Answered})
				}
			})
		}
	}
}

// BenchmarkPrefix measures the hashing of a prompt of one kilobyte.
func BenchmarkPrefix(b *testing.B) {
	prompt := make([]byte, blocks.Count*blocks.Bytes)
	b.ReportAllocs()
	for b.Loop() {
		blocks.Prefix("workspace17", prompt)
	}
}
