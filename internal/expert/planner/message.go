package planner

import (
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"wagtailshelf.example/wagtailshelf/internal/expert/demand"
	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

const (
	maxNameBytes    = 256
	maxMessageBytes = 1 << 20 // of a frame
	maxBusy         = time.Hour
	maxSteps        = 1 << 32
)

// ErrMessage reports a message that can't be read or is out of bounds.
var ErrMessage = merry.New("message of the planner is invalid")

// Message is what the holder of the lease and the ranks send each other: a
// question if Answer is nil.
type Message struct {
	Group  string  `cbor:"1,keyasint"`
	Window uint64  `cbor:"2,keyasint"`           // number of the window that the question ends
	Counts bool    `cbor:"3,keyasint,omitempty"` // question: the rank's counts are wanted, too
	Answer *Answer `cbor:"4,keyasint,omitempty"`
}

// Answer is what a rank did since its last answer to the same process.
type Answer struct {
	Rank   uint16        `cbor:"1,keyasint"`
	Steps  uint64        `cbor:"2,keyasint"`
	Busy   time.Duration `cbor:"3,keyasint"` // time that the rank itself took for its steps
	Counts []uint32      `cbor:"4,keyasint,omitempty"`
}

// Encode returns the message as it is sent.
func (m *Message) Encode() ([]byte, error) {
	return cbor.Marshal(m)
}

// Decode reads a message and checks it. What is too long is refused before it is
// read.
func Decode(b []byte) (*Message, error) {
	if len(b) > maxMessageBytes {
		return nil, merry.Appendf(ErrMessage, "%d bytes", len(b))
	}
	m := new(Message)
	if err := cbor.Unmarshal(b, m); err != nil {
		return nil, merry.Appendf(ErrMessage, "%v", err)
	}
	return m, m.check()
}

func (m *Message) check() error {
	if m.Group == "" || len(m.Group) > maxNameBytes {
		return merry.Appendf(ErrMessage, "name of %d bytes", len(m.Group))
	}
	a := m.Answer
	if a == nil {
		return nil
	}
	if a.Busy < 0 || a.Busy > maxBusy || a.Steps > maxSteps {
		return merry.Appendf(ErrMessage, "%d steps in %v", a.Steps, a.Busy)
	}
	if len(a.Counts) > expertmap.MaxLayers*expertmap.MaxExperts {
		return merry.Appendf(ErrMessage, "%d counts", len(a.Counts))
	}
	return nil
}

// report turns an answer into the tracker's form. Work is what the rank would
// have taken at normal speed: its part of the experts' work and the fixed rest of
// each step. Tokens over busy time instead would make a rank with little to do
// look slow, since part of a step takes the same time for all.
func (a *Answer) report(window uint64, load, expertPart float64) demand.Report {
	const perStep = 1000
	work := float64(a.Steps) * perStep * (1 - expertPart + expertPart*load)
	return demand.Report{Rank: a.Rank, Window: window, Counts: a.Counts, Work: uint64(work), Busy: a.Busy}
}
