package history

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/record/document"
)

// Entry is one document that was applied.
type Entry struct {
	Number uint64          `json:"number"` // the platform's version of documents/<service>
	Digest document.Digest `json:"digest"`
	By     string          `json:"by,omitempty"` // the operator who applied it
	At     time.Time       `json:"at,omitzero"`  // by the clock of the process that applied it

	// Text is the document's text. It is nil if it was not stored.
	Text []byte `json:"-"`
}

// String formats the entry on one line, without its text.
func (e Entry) String() string {
	by := e.By
	if by == "" {
		by = "unknown"
	}
	return fmt.Sprintf("%d %s %s by %s", e.Number, e.At.UTC().Format(time.RFC3339), e.Digest.Short(), by)
}

// ActiveAt returns the entry that was active at a time. The entries must be in the
// order of their numbers. Clocks of two processes can differ, so the entry with the
// highest number that was applied by then counts, not the one with the latest time.
func ActiveAt(entries []Entry, at time.Time) (Entry, bool) {
	for _, e := range slices.Backward(entries) {
		if !e.At.After(at) {
			return e, true
		}
	}
	return Entry{}, false
}

// Merge joins entries from several sources, such as the segments and the applied
// document. Of two entries with the same number, the text is taken from the one
// that has it. Two digests for one number are an error: they can't both have been
// active.
func Merge(lists ...[]Entry) ([]Entry, error) {
	byNumber := make(map[uint64]Entry)
	var err error
	for _, e := range slices.Concat(lists...) {
		known, ok := byNumber[e.Number]
		if ok && known.Digest != e.Digest {
			err = fmt.Errorf("number %d: digests %s and %s: %w", e.Number, known.Digest.Short(), e.Digest.Short(), ErrTwoDigests)
			continue
		}
		byNumber[e.Number] = mergeEntries(known, e)
	}
	merged := slices.Collect(maps.Values(byNumber))
	slices.SortFunc(merged, func(a, b Entry) int { return cmp.Compare(a.Number, b.Number) })
	return merged, err
}

func mergeEntries(a, b Entry) Entry {
	if a.Number == 0 {
		return b
	}
	if a.Text == nil {
		a.Text = b.Text
	}
	return a
}
