package demand

import (
	"time"

	"github.com/ansel1/merry/v2"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

// Size is the extent of an expert group.
type Size struct {
	Layers  int `cbor:"1,keyasint" json:"layers"`
	Experts int `cbor:"2,keyasint" json:"experts"`
	Ranks   int `cbor:"3,keyasint" json:"ranks"`
}

// The largest group whose reports are accepted.
const (
	MaxLayers  = expertmap.MaxLayers
	MaxExperts = expertmap.MaxExperts
	MaxRanks   = expertmap.MaxRanks
)

// maxBusy bounds the busy time of one report; a longer time comes from a faulty
// clock and would distort the speed of the rank for hours.
const maxBusy = time.Hour

// Errors of reports and configurations.
var (
	ErrSize   = merry.New("size of the group is out of range")
	ErrConfig = merry.New("configuration of the demand estimate is out of range")
	ErrReport = merry.New("report does not fit the group")
)

// Validate checks that the size is within the bounds of the package.
func (s Size) Validate() error {
	if s.Layers < 1 || s.Layers > MaxLayers {
		return merry.Appendf(ErrSize, "layers %d", s.Layers)
	}
	if s.Experts < 1 || s.Experts > MaxExperts {
		return merry.Appendf(ErrSize, "experts %d", s.Experts)
	}
	if s.Ranks < 1 || s.Ranks > MaxRanks {
		return merry.Appendf(ErrSize, "ranks %d", s.Ranks)
	}
	return nil
}

// cells returns the length of an array with one value per layer and expert.
func (s Size) cells() int {
	return s.Layers * s.Experts
}

// Report holds the counts of one rank in one window.
type Report struct {
	Rank   uint16 `cbor:"1,keyasint"`
	Window uint64 `cbor:"2,keyasint"` // number of the window, increasing
	// Counts holds the tokens that the rank's router sent to each expert, layer
	// by layer. It is empty if it was not the rank's turn to send counts.
	Counts []uint32 `cbor:"3,keyasint,omitempty"`
	// Work is the number of tokens that the rank's own experts processed, over
	// all layers, and Busy the time that this took.
	Work uint64        `cbor:"4,keyasint"`
	Busy time.Duration `cbor:"5,keyasint"`
}

// Validate checks the report against the size of its group.
func (r Report) Validate(s Size) error {
	if int(r.Rank) >= s.Ranks {
		return merry.Appendf(ErrReport, "rank %d of %d", r.Rank, s.Ranks)
	}
	if len(r.Counts) != 0 && len(r.Counts) != s.cells() {
		return merry.Appendf(ErrReport, "%d counts instead of %d", len(r.Counts), s.cells())
	}
	if r.Busy < 0 || r.Busy > maxBusy {
		return merry.Appendf(ErrReport, "busy time %v", r.Busy)
	}
	return nil
}

// Sampled reports whether a rank sends its counts in a window, if perWindow ranks
// of the group do. In ranks/perWindow windows each rank has its turn.
func Sampled(rank uint16, window uint64, ranks, perWindow int) bool {
	if perWindow >= ranks || perWindow < 1 {
		return true
	}
	turns := uint64((ranks + perWindow - 1) / perWindow)
	return uint64(rank)%turns == window%turns
}
