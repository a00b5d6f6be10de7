package history

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

// Entry is one document that was accepted.
type Entry struct {
	Number  uint64          `json:"number"`
	Digest  document.Digest `json:"digest"`
	By      string          `json:"by,omitempty"`      // the operator who applied it
	At      time.Time       `json:"at"`                // of its acceptance, by the clock of the holder
	Holder  host.Name       `json:"holder,omitempty"`  // the process that accepted it
	Fence   uint64          `json:"fence,omitempty"`   // of the lease under which it did
	Version object.Version  `json:"version,omitempty"` // of documents/<service> that it is
	LeftOut []host.Name     `json:"leftOut,omitempty"` // silent members that were not waited for

	// Text is the document's text. It is nil if it was not kept.
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

// InForceAt returns the entry that was in force at a time. The entries are in
// the order of their numbers. Clocks of two holders can differ, so the highest
// number that was accepted by then counts, not the latest time.
func InForceAt(entries []Entry, at time.Time) (Entry, bool) {
	for _, e := range slices.Backward(entries) {
		if !e.At.After(at) {
			return e, true
		}
	}
	return Entry{}, false
}

// Merge joins entries from several records, such as the archive and the record
// of the acceptance. Of two entries with one number, one that names its holder
// goes before one that was added by a process that did not accept it, and the
// text is taken from the one that has it. Two digests under one number are an
// error: they can't both have been in force.
func Merge(lists ...[]Entry) ([]Entry, error) {
	byNumber := make(map[uint64]Entry)
	var err error
	for _, e := range slices.Concat(lists...) {
		other, ok := byNumber[e.Number]
		if ok && other.Digest != e.Digest {
			err = fmt.Errorf("number %d: digests %s and %s: %w", e.Number, other.Digest.Short(), e.Digest.Short(), ErrTwoDigests)
			continue
		}
		byNumber[e.Number] = joined(other, e)
	}
	merged := slices.Collect(maps.Values(byNumber))
	slices.SortFunc(merged, func(a, b Entry) int { return cmp.Compare(a.Number, b.Number) })
	return merged, err
}

func joined(a, b Entry) Entry {
	whole, part := a, b
	if a.Number == 0 || a.Holder == "" && b.Holder != "" {
		whole, part = b, a
	}
	if whole.Text == nil {
		whole.Text = part.Text
	}
	return whole
}
