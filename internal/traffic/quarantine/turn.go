package quarantine

import (
	"encoding/binary"
	"hash/fnv"
	"time"
)

const (
	// probeTurn is the time between the probes of two entries. A request that crashes its target
	// does so in a fraction of a second, and other entries receive the record at once, or after
	// the end of a watch whose connection was cut.
	probeTurn = 5 * time.Second
	// unknownTurns is the number of turns if an entry does not know how many entries there are.
	unknownTurns = 16
)

// Turn returns how many entries may probe a request before the entry with an index, which counts
// from 1. The first entry depends on the request, so that no entry's callers always wait longer.
// If all entries had the first turn, the end of a quarantine could crash as many targets as there
// are entries.
func Turn(f Fingerprint, index, entries int) int {
	entries = max(entries, index, 1)
	return int((binary.BigEndian.Uint64(f[:])%uint64(entries) + uint64(index-1)) % uint64(entries))
}

// TurnByName returns the turn of an entry that does not know its index. Two entries may have the
// same turn.
func TurnByName(entry string, f Fingerprint) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(entry)) // never fails
	_, _ = h.Write(f[:])
	return int(h.Sum32() % unknownTurns)
}
