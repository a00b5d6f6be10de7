package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Key is the digest of an Idempotency-Key within its service and workspace.
// A collision would refuse a request that was never made before. With sixteen
// bytes and 10^9 stored claims, it is less likely than once in 10^20 requests.
type Key [16]byte

// NewKey returns the key for the text of a caller's Idempotency-Key. The same
// text in another service or workspace gives another key.
func NewKey(service, workspace, text string) Key {
	h := sha256.New()
	for _, s := range []string{service, workspace, text} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(s)))
		h.Write(n[:])
		h.Write([]byte(s))
	}
	var k Key
	copy(k[:], h.Sum(nil))
	return k
}

// Shard returns the number of the key's shard, out of n shards.
func (k Key) Shard(n int) int {
	return int(binary.BigEndian.Uint32(k[:4]) % uint32(n))
}

// String returns the key as hexadecimal digits.
func (k Key) String() string {
	return hex.EncodeToString(k[:])
}
