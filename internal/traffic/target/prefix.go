package target

import (
	"encoding/binary"
	"math"
	"math/bits"
)

// ownerCount is the number of targets that share the prompts of one coarse prefix,
// its owners.
const ownerCount = 4

// Blocks defines which leading part of a prompt determines its prefix.
type Blocks struct {
	Bytes int // length of a block; close to the unit that engines cache
	Count int // maximum number of blocks in the prefix
}

// Odd multipliers with well-spread bits, from the golden ratio and the square
// root of three.
const (
	mixMultiplierA = 0x9e3779b97f4a7c15
	mixMultiplierB = 0xbb67ae8584caa73b
)

// mix hashes two words into one that depends on each bit of both.
func mix(a, b uint64) uint64 {
	hi, lo := bits.Mul64(a^mixMultiplierA, b^mixMultiplierB)
	return hi ^ lo
}

// Prefix returns the prefix of a prompt. It is the same in each process, so that
// all entries send a prompt to the same targets. A prompt shorter than a block is
// not worth caching and has no prefix.
func (b Blocks) Prefix(workspace string, prompt []byte) Prefix {
	if b.Bytes <= 0 || len(prompt) < b.Bytes {
		return Prefix{}
	}
	coarse := hashBytes(hashString(workspace), prompt[:b.Bytes])
	end := min(len(prompt)/b.Bytes, max(b.Count, 1)) * b.Bytes
	return Prefix{Coarse: coarse, Fine: hashBytes(coarse, prompt[b.Bytes:end])}
}

func hashBytes(h uint64, b []byte) uint64 {
	for ; len(b) >= 8; b = b[8:] {
		h = mix(h, binary.LittleEndian.Uint64(b))
	}
	for _, c := range b {
		h = mix(h, uint64(c)+1)
	}
	return mix(h, mixMultiplierA)
}

func hashString(s string) uint64 {
	h := uint64(len(s))
	for i := range len(s) {
		h = mix(h, uint64(s[i])+1)
	}
	return mix(h, mixMultiplierA)
}

// owners stores the indexes of the prefix's owners in out, the preferred one first,
// and returns their number.
//
// The owners are the ownerCount targets that rendezvous hashing ranks highest for the
// coarse prefix, so a workspace's common instructions are cached at a few targets and
// not at all of them. The fine prefix orders the owners, so that a long prompt that
// is sent again reaches the target that has all of it cached.
//
// A target owns prefixes in proportion to its weight.
func (sd *side) owners(p Prefix, out *[ownerCount]int32) int {
	found := ranking{side: sd, coarse: p.Coarse, out: out, minRank: sd.minRank}
	found.scan()
	if found.n < min(ownerCount, len(sd.keys)) {
		found = ranking{side: sd, coarse: p.Coarse, out: out}
		found.scan()
	}
	for i := range found.n {
		insert(&found.ranks, out, i+1, mix(sd.keys[out[i]], p.Fine), out[i])
	}
	return found.n
}

// expectedAbove is the expected number of targets that rank above side.minRank. The
// actual number is seldom less than ownerCount.
const expectedAbove = 3 * ownerCount

// initialMinRank returns a rank that expectedAbove of n targets are expected to exceed.
// A scan that starts with it avoids most insertions of targets that later ones replace.
func initialMinRank(n int) uint64 {
	if n <= 2*expectedAbove {
		return 0
	}
	return math.MaxUint64 - math.MaxUint64/uint64(n)*expectedAbove
}

// ranking finds the targets of a side that rank highest for a prefix.
type ranking struct {
	side    *side
	coarse  uint64
	minRank uint64 // only ranks above it are inserted
	n       int
	ranks   [ownerCount]uint64
	out     *[ownerCount]int32
}

// scan ranks all targets. It is most of the cost of a pick. Keys and prefixes are
// well mixed, so the upper bits of a single product are sufficient as a rank. Four
// targets at a time need only one branch, which is seldom taken.
func (r *ranking) scan() {
	keys := r.side.keys
	i := 0
	for ; i+4 <= len(keys); i += 4 {
		k := keys[i : i+4 : i+4]
		a, b := (k[0]^r.coarse)*mixMultiplierA, (k[1]^r.coarse)*mixMultiplierA
		c, d := (k[2]^r.coarse)*mixMultiplierA, (k[3]^r.coarse)*mixMultiplierA
		if max(a, b, c, d) > r.minRank {
			r.offer(a, i)
			r.offer(b, i+1)
			r.offer(c, i+2)
			r.offer(d, i+3)
		}
	}
	for ; i < len(keys); i++ {
		r.offer((keys[i]^r.coarse)*mixMultiplierA, i)
	}
}

// offer inserts a target if it ranks high enough.
func (r *ranking) offer(rank uint64, i int) {
	if rank <= r.minRank || !r.side.participates(i, r.coarse) {
		return
	}
	r.n = min(r.n+1, ownerCount)
	insert(&r.ranks, r.out, r.n, rank, int32(i))
	if r.n == ownerCount {
		r.minRank = r.ranks[ownerCount-1]
	}
}

// participates reports whether a target takes part in the ranking for a prefix: always
// if it has the greatest weight, and otherwise for a part of the prefixes that is
// proportional to its weight.
func (sd *side) participates(i int, coarse uint64) bool {
	if sd.equalWeights {
		return true
	}
	w := sd.states[i].relativeWeight
	return w >= 1 || float64(mix(sd.keys[i], coarse)) < w*(1<<64)
}

// insert inserts a rank and its target's index among the first n-1, which are in
// descending order. It overwrites the n-th.
func insert(ranks *[ownerCount]uint64, out *[ownerCount]int32, n int, rank uint64, i int32) {
	j := n - 1
	for ; j > 0 && ranks[j-1] < rank; j-- {
		ranks[j] = ranks[j-1]
		out[j] = out[j-1]
	}
	ranks[j] = rank
	out[j] = i
}
