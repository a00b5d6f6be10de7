package target

import (
	"encoding/binary"
	"math/bits"
)

// ownerCount is how many targets share the prompts of one coarse prefix.
const ownerCount = 4

// Blocks says which part of a prompt tells where it is sent.
type Blocks struct {
	Bytes int // length of a block; near what engines cache as a unit
	Count int // blocks that count
}

// Odd multipliers with well-spread bits, from the golden ratio and the square
// root of three.
const (
	mixA = 0x9e3779b97f4a7c15
	mixB = 0xbb67ae8584caa73b
)

// mix folds two words into one that depends on each bit of both.
func mix(a, b uint64) uint64 {
	hi, lo := bits.Mul64(a^mixA, b^mixB)
	return hi ^ lo
}

// Prefix returns the prefix of a prompt. It is the same in each process, so that
// all entries send a prompt to the same targets. A prompt shorter than a block
// has none worth keeping.
func (b Blocks) Prefix(workspace string, prompt []byte) Prefix {
	if b.Bytes <= 0 || len(prompt) < b.Bytes {
		return Prefix{}
	}
	coarse := hashBytes(hashString(workspace), prompt[:b.Bytes])
	whole := min(len(prompt)/b.Bytes, max(b.Count, 1)) * b.Bytes
	return Prefix{Coarse: coarse, Fine: hashBytes(coarse, prompt[b.Bytes:whole])}
}

func hashBytes(h uint64, b []byte) uint64 {
	for ; len(b) >= 8; b = b[8:] {
		h = mix(h, binary.LittleEndian.Uint64(b))
	}
	for _, c := range b {
		h = mix(h, uint64(c)+1)
	}
	return mix(h, mixA)
}

func hashString(s string) uint64 {
	h := uint64(len(s))
	for i := range len(s) {
		h = mix(h, uint64(s[i])+1)
	}
	return mix(h, mixA)
}

// owners fills in the targets that the prefix belongs to, the best first, and
// returns how many there are.
//
// The coarse prefix has the ownerCount targets that rendezvous hashing ranks
// highest for it, so a workspace's common instructions are cached at a few
// targets and not at all of them. The fine prefix orders these, so that a long
// prompt that comes again meets the target that holds all of it.
//
// A target of less weight than the heaviest owns that much fewer prefixes.
func (sd *side) owners(p Prefix, out *[ownerCount]int32) int {
	var ranks [ownerCount]uint64
	n := 0
	// This loop is most of the cost of a pick. Keys and prefixes are well mixed, so
	// the upper bits of one product rank them, and the least rank is kept at hand.
	var least uint64
	for i, key := range sd.keys {
		rank := (key ^ p.Coarse) * mixA
		if rank <= least || !sd.takes(i, p.Coarse) {
			continue
		}
		n = min(n+1, ownerCount)
		insert(&ranks, out, n, rank, int32(i))
		least = ranks[ownerCount-1]
	}
	for i := range n {
		insert(&ranks, out, i+1, mix(sd.keys[out[i]], p.Fine), out[i])
	}
	return n
}

// takes reports whether a target takes part in ranking for a prefix: always if
// it is among the heaviest, and in proportion to its weight otherwise.
func (sd *side) takes(i int, coarse uint64) bool {
	w := sd.states[i].relative
	return w >= 1 || float64(mix(sd.keys[i], coarse)) < w*(1<<64)
}

// insert puts a rank in its place among the first n-1, which are in falling
// order. The last of n is overwritten.
func insert(ranks *[ownerCount]uint64, out *[ownerCount]int32, n int, rank uint64, i int32) {
	j := n - 1
	for ; j > 0 && ranks[j-1] < rank; j-- {
		ranks[j] = ranks[j-1]
		out[j] = out[j-1]
	}
	ranks[j] = rank
	out[j] = i
}
