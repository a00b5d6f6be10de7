package request

import "hash/crc64"

var digestTable = crc64.MakeTable(crc64.ECMA)

// Digest returns the digest of a response's bytes, given that of the bytes before data; 0 for none.
func Digest(before uint64, data []byte) uint64 { return crc64.Update(before, digestTable, data) }
