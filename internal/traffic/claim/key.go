package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Key is the digest of an Idempotency-Key within its service and workspace.
// Sixteen bytes make a chance collision, which would refuse a request that was
// never made, less likely than once in 10^20 requests at 10^9 kept claims.
type Key [16]byte

// NewKey returns the key of an Idempotency-Key as the caller gave it. The same
// text in another service or workspace is another key.
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

// Shard returns the key's shard of n.
func (k Key) Shard(n int) int {
	return int(binary.BigEndian.Uint32(k[:4]) % uint32(n))
}

// String returns the key as hexadecimal digits.
func (k Key) String() string {
	return hex.EncodeToString(k[:])
}
