package quarantine

import "time"

// Incarnation identifies one incarnation of a target. A target may restart under the same ID.
type Incarnation struct {
	Target  string
	Started time.Time // start time; zero if the target doesn't report it
}

// Run is a request that was running at a target when the target crashed, or a part of its prompt.
type Run struct {
	Request Fingerprint
	Sent    time.Time
	Failed  time.Time // when the connection of the request failed
	Part    bool      // the fingerprint is that of a part
}

// Crash is a crash of a target during a request. Its times are by the clock of the entry that
// observed it.
type Crash struct {
	Run
	Incarnation Incarnation
}

// Record lists the crashes that one entry observed and has not yet forgotten, and the parts that
// it knows to be harmless although other entries suspect them.
type Record struct {
	Entry    string
	Written  time.Time // when the record was written, by the entry's clock
	Crashes  []Crash
	Answered []Answer
}

// Answer is a complete response to a request with a part in its prompt.
type Answer struct {
	Part Fingerprint
	At   time.Time
}
