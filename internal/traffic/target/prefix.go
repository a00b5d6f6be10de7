package target

import (
	"encoding/binary"
	"math/bits"
)

const (
	// blockBytes is the length of a block of a prompt, in bytes. It is near the
	// text of the sixteen to sixty-four tokens that engines cache as a unit.
	blockBytes = 128
	// leadingBlocks is how many blocks of a prompt tell where it is sent. More
	// would tell apart prompts that share all that is worth caching.
	leadingBlocks = 8
	// ownerCount is how many targets share the prompts of one coarse prefix.
	ownerCount = 4
)

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

// PrefixOf returns the prefix of a prompt. It is the same in each process, so
// that all entries send a prompt to the same targets. A prompt shorter than a
// block has no prefix worth keeping.
func PrefixOf(workspace string, prompt []byte) Prefix {
	if len(prompt) < blockBytes {
		return Prefix{}
	}
	coarse := hashBytes(hashString(workspace), prompt[:blockBytes])
	rest := prompt[blockBytes:min(len(prompt), blockBytes*leadingBlocks)]
	whole := len(rest) / blockBytes * blockBytes
	return Prefix{Coarse: coarse, Fine: hashBytes(coarse, rest[:whole])}
}

// hashBytes hashes b, whose length is a multiple of eight.
func hashBytes(h uint64, b []byte) uint64 {
	for ; len(b) >= 8; b = b[8:] {
		h = mix(h, binary.LittleEndian.Uint64(b))
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
func (sd *side) owners(p Prefix, out *[ownerCount]int32) int {
	var ranks [ownerCount]uint64
	n := min(len(sd.keys), ownerCount)
	for i, key := range sd.keys[:n] {
		insert(&ranks, out, i+1, (key^p.Coarse)*mixA, int32(i))
	}
	// This loop is most of the cost of a pick. Keys and prefixes are well mixed, so
	// the upper bits of one product rank them, and the least rank is kept at hand.
	least := ranks[ownerCount-1]
	for i, key := range sd.keys[n:] {
		rank := (key ^ p.Coarse) * mixA
		if rank <= least {
			continue
		}
		insert(&ranks, out, n, rank, int32(n+i))
		least = ranks[ownerCount-1]
	}
	for i := range n {
		insert(&ranks, out, i+1, mix(sd.keys[out[i]], p.Fine), out[i])
	}
	return n
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
