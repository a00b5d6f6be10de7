package history

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

// MaxSegments is the number of segments that are kept of one service; older ones are
// deleted. At 50 B for each change they hold some 900,000 changes.
const MaxSegments = 64

const (
	// maxTries bounds the attempts to add an entry. An attempt is repeated because
	// another process wrote at the same time, or the response was lost.
	maxTries = 8

	// retryPause is the time between two attempts: a few response times of the platform.
	retryPause = 100 * time.Millisecond
)

// Causes under which the calls of a [Keeper] are counted.
const (
	CauseRead  object.Cause = "historyRead"
	CauseWrite object.Cause = "historyWrite"
	CauseDrop  object.Cause = "historyDrop"
)

// ErrNotKept reports that the platform did not store an entry, or did not confirm it.
var ErrNotKept = merry.Sentinel("the history did not take the entry")

// Keeper adds entries to the history.
type Keeper struct {
	// Do carries out one call.
	Do func(ctx context.Context, c object.Call) object.Reply
}

// Keep adds an entry to the history of a service, unless it is already stored. The
// entries of a service must be added in the order of their numbers.
func (k *Keeper) Keep(ctx context.Context, service string, e Entry) error {
	for try := 1; ; try++ {
		err := k.addOnce(ctx, service, e)
		if err == nil || errors.Is(err, ErrTwoDigests) || try == maxTries {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(retryPause):
		}
	}
}

// addOnce reads the history and writes the entry into it. If the response to the write
// is lost, the next attempt reads whether the write took effect.
func (k *Keeper) addOnce(ctx context.Context, service string, e Entry) error {
	reply := k.Do(ctx, object.Call{Op: object.List, Key: Prefix(service), Cause: CauseRead})
	if reply.Status != object.Done {
		return merry.Appendf(ErrNotKept, "listing it: %v", reply.Err)
	}
	segments := reply.Objects
	slices.SortFunc(segments, func(a, b object.Object) int {
		return cmp.Compare(segmentNumber(a.Key), segmentNumber(b.Key))
	})
	// Damage in stored entries must not prevent a new one from being added. It is
	// reported to whoever reads the history.
	entries, _ := Read(segments)
	for _, stored := range entries {
		if stored.Number == e.Number && stored.Digest != e.Digest {
			return fmt.Errorf("number %d: %w: %s stands, %s was offered", e.Number, ErrTwoDigests, stored.Digest, e.Digest)
		}
		if stored.Number == e.Number {
			return nil
		}
	}
	call, err := putCall(service, segments, e)
	if err != nil {
		return err
	}
	if reply := k.Do(ctx, call); reply.Status != object.Done {
		return merry.Appendf(ErrNotKept, "writing %s: %v", call.Key, reply.Err)
	}
	total := len(segments)
	if call.Version == 0 {
		total++
	}
	k.deleteSegments(ctx, segments[:min(len(segments), max(0, total-MaxSegments))])
	return nil
}

// putCall returns the call that adds an entry: to the newest segment, or to a new one
// if the newest has no room for it. A damaged segment is left as it is, for auditors.
func putCall(service string, segments []object.Object, e Entry) (object.Call, error) {
	call := object.Call{Op: object.Put, Key: SegmentKey(service, 1), Cause: CauseWrite}
	segment := &Segment{}
	if n := len(segments); n > 0 {
		newest := segments[n-1]
		s, _, err := DecodeSegment(newest.Value)
		if err == nil && e.Number > s.last.Number && s.Add(e) == nil {
			call.Key, call.Version, call.Value = newest.Key, newest.Version, s.Encode()
			return call, nil
		}
		call.Key = SegmentKey(service, segmentNumber(newest.Key)+1)
	}
	if err := segment.Add(e); err != nil {
		return call, err
	}
	call.Value = segment.Encode()
	return call, nil
}

// deleteSegments deletes old segments. The results are ignored: the next write deletes
// what is left, and calls are counted by cause and by how they ended.
func (k *Keeper) deleteSegments(ctx context.Context, segments []object.Object) {
	for _, o := range segments {
		k.Do(ctx, object.Call{Op: object.Delete, Key: o.Key, Version: o.Version, Cause: CauseDrop})
	}
}
