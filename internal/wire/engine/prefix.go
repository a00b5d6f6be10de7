package engine

import "encoding/binary"

// BlockBytes is the length of a prompt block in the engines' prefix cache.
const BlockBytes = 64

const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// BlockHashes returns the hashes by which an engine identifies the complete blocks of
// a prompt in its cache events: FNV-1a over the prompt up to each block's end.
func BlockHashes(prompt []byte) []uint64 {
	hashes := make([]uint64, 0, len(prompt)/BlockBytes)
	h := uint64(fnvOffset)
	for i, b := range prompt {
		h = (h ^ uint64(b)) * fnvPrime
		if (i+1)%BlockBytes == 0 {
			hashes = append(hashes, h)
		}
	}
	return hashes
}

// HashBytes returns the FNV-1a hash of the length of b followed by b.
func HashBytes(b []byte) uint64 {
	h := uint64(fnvOffset)
	for _, c := range binary.LittleEndian.AppendUint64(nil, uint64(len(b))) {
		h = (h ^ uint64(c)) * fnvPrime
	}
	for _, c := range b {
		h = (h ^ uint64(c)) * fnvPrime
	}
	return h
}
