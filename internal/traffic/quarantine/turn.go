package quarantine

import (
	"encoding/binary"
	"hash/fnv"
	"time"
)

const (
	// trialTurn is how much later the next entry may let a request in for a trial. A request
	// that crashes its target does so in a fraction of a second, and other entries hear of it
	// at once, or when a watch that was cut has ended.
	trialTurn = 5 * time.Second
	// unknownTurns are taken by entries that don't know how many there are.
	unknownTurns = 16
)

// Turn is how many entries may let a request in for a trial before the one at a place, from 1
// on, among so many. Each request has another first one, so that callers of no entry wait
// longer than others. When all entries had the first turn, a hold ended with as many crashes
// as there are entries.
func Turn(f Fingerprint, place, entries int) int {
	entries = max(entries, place, 1)
	return int((binary.BigEndian.Uint64(f[:])%uint64(entries) + uint64(place-1)) % uint64(entries))
}

// TurnByName is the same for an entry that does not know its place. Two may have the same turn.
func TurnByName(entry string, f Fingerprint) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(entry)) // it never fails
	_, _ = h.Write(f[:])
	return int(h.Sum32() % unknownTurns)
}
