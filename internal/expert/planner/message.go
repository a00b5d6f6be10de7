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
	maxMessageBytes = 1 << 20 // of an encoded message
	maxBusy         = time.Hour
	maxSteps        = 1 << 32
)

// ErrMessage reports a message that can't be decoded or is out of bounds.
var ErrMessage = merry.New("planner message is invalid")

// Message is what the lease holder and the ranks send each other. It is a question
// if Answer is nil.
type Message struct {
	Group  string  `cbor:"1,keyasint"`
	Window uint64  `cbor:"2,keyasint"`           // number of the window that ends with the question
	Counts bool    `cbor:"3,keyasint,omitempty"` // in a question: the answer should include the rank's counts
	Answer *Answer `cbor:"4,keyasint,omitempty"`
}

// Answer is what a rank did since its last answer to the same host.
type Answer struct {
	Rank   uint16        `cbor:"1,keyasint"`
	Steps  uint64        `cbor:"2,keyasint"`
	Busy   time.Duration `cbor:"3,keyasint"` // time that the rank itself worked on its steps
	Counts []uint32      `cbor:"4,keyasint,omitempty"`
}

// Encode returns the message as it is sent.
func (m *Message) Encode() ([]byte, error) {
	return cbor.Marshal(m)
}

// Decode decodes and checks a message. It refuses one that is too long before
// decoding it.
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

// report converts an answer for the demand tracker. The report's Work is in
// proportion to the time that the rank would have needed at normal speed: its part
// of the experts' work, and the rest of each step, which is the same for all ranks.
// Speed as tokens over busy time would make a rank with few tokens look slow, since
// part of a step takes the same time for all.
func (a *Answer) report(window uint64, rankWork, expertPart float64) demand.Report {
	const perStep = 1000
	work := float64(a.Steps) * perStep * (1 - expertPart + expertPart*rankWork)
	return demand.Report{Rank: a.Rank, Window: window, Counts: a.Counts, Work: uint64(work), Busy: a.Busy}
}
