// Package position orders states of the platform's store.
//
// The store numbers its changes by a revision. It may be restored from a backup that is some
// seconds old: its revision falls then, and the same numbers are used again for other changes.
// Each restore begins an era, so that only an era and a revision together order two states.
package position

import (
	"cmp"
	"strconv"
)

// Era counts the restores of the store from a backup, as far as a process knows. Within a
// process it only rises; 0 is the first era of a store that doesn't report its era.
type Era int64

// Position is a point in the history of the store.
type Position struct {
	Era      Era
	Revision int64 // within the era; 0 comes before all others
}

// Compare is negative if p comes before o, and positive if it comes after.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Revision, o.Revision))
}

// Before reports whether p comes before o.
func (p Position) Before(o Position) bool { return p.Compare(o) < 0 }

// String formats the position as era.revision, for logs.
func (p Position) String() string {
	return strconv.FormatInt(int64(p.Era), 10) + "." + strconv.FormatInt(p.Revision, 10)
}

// revisionBits is the number of low bits of a term that hold the revision. At 10,000 changes
// a second they last for three years of one era.
const revisionBits = 40

// Term returns the position as one number that rises with it, for messages between processes.
func (p Position) Term() int64 {
	const maxRevision = 1<<revisionBits - 1
	return int64(p.Era)<<revisionBits | min(p.Revision, maxRevision)
}
