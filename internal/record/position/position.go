// Package position orders what the platform's store has told.
//
// The store numbers its changes by a revision. It may come back from a copy that is some
// seconds old: its revision falls then, and numbers are given out again for something else.
// Each copy begins an era, so that only an era and a revision together tell what is later.
package position

import (
	"cmp"
	"strconv"
)

// Era counts the copies that the store came back from, as far as a process knows. It only
// rises in a process; 0 is the first one of a store that tells none.
type Era int64

// Position is a point in the history of the store.
type Position struct {
	Era      Era
	Revision int64 // within the era; 0 comes before all
}

// Compare is negative if p comes before o, and positive if it comes after.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Revision, o.Revision))
}

// Before tells whether p comes before o.
func (p Position) Before(o Position) bool { return p.Compare(o) < 0 }

// String is how logs tell it.
func (p Position) String() string {
	return strconv.FormatInt(int64(p.Era), 10) + "." + strconv.FormatInt(p.Revision, 10)
}

// revisionBits are those of a term that hold the revision: at 10,000 changes a second they
// last for three years of one era.
const revisionBits = 40

// Term is the position as one number that rises with it, for messages between processes.
func (p Position) Term() int64 {
	const most = 1<<revisionBits - 1
	return int64(p.Era)<<revisionBits | min(p.Revision, most)
}
