package target

import (
	"encoding/binary"
	"math"
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
	r := ranking{side: sd, coarse: p.Coarse, out: out, least: sd.likely}
	r.scan()
	if r.n < min(ownerCount, len(sd.keys)) {
		r = ranking{side: sd, coarse: p.Coarse, out: out}
		r.scan()
	}
	for i := range r.n {
		insert(&r.ranks, out, i+1, mix(sd.keys[out[i]], p.Fine), out[i])
	}
	return r.n
}

// likelyCount is how many targets are expected to rank above side.likely. It is
// seldom less than ownerCount.
const likelyCount = 3 * ownerCount

// likelyRank returns a rank that likelyCount of n targets are expected to exceed.
// Starting at it spares most of the places that are taken and lost again.
func likelyRank(n int) uint64 {
	if n <= 2*likelyCount {
		return 0
	}
	return math.MaxUint64 - math.MaxUint64/uint64(n)*likelyCount
}

// ranking finds the targets of a side that rank highest for a prefix.
type ranking struct {
	side   *side
	coarse uint64
	least  uint64 // a rank must be above it
	n      int
	ranks  [ownerCount]uint64
	out    *[ownerCount]int32
}

// scan ranks all targets. It is most of the cost of a pick. Keys and prefixes are
// well mixed, so the upper bits of one product rank them. Four at a time cost one
// branch, which is seldom taken.
func (r *ranking) scan() {
	keys := r.side.keys
	i := 0
	for ; i+4 <= len(keys); i += 4 {
		k := keys[i : i+4 : i+4]
		a, b := (k[0]^r.coarse)*mixA, (k[1]^r.coarse)*mixA
		c, d := (k[2]^r.coarse)*mixA, (k[3]^r.coarse)*mixA
		if max(a, b, c, d) > r.least {
			r.put(a, i)
			r.put(b, i+1)
			r.put(c, i+2)
			r.put(d, i+3)
		}
	}
	for ; i < len(keys); i++ {
		r.put((keys[i]^r.coarse)*mixA, i)
	}
}

// put takes a target in if it ranks high enough.
func (r *ranking) put(rank uint64, i int) {
	if rank <= r.least || !r.side.takes(i, r.coarse) {
		return
	}
	r.n = min(r.n+1, ownerCount)
	insert(&r.ranks, r.out, r.n, rank, int32(i))
	if r.n == ownerCount {
		r.least = r.ranks[ownerCount-1]
	}
}

// takes reports whether a target takes part in ranking for a prefix: always if
// it is among the heaviest, and in proportion to its weight otherwise.
func (sd *side) takes(i int, coarse uint64) bool {
	if sd.equal {
		return true
	}
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
