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

// MaxSegments are kept of one service; older ones are deleted. At 50 B a change they hold
// some 900,000 changes.
const MaxSegments = 64

const (
	// keepTries bounds how often an entry is tried to be added. Each try but the
	// last met another writer or lost its answer.
	keepTries = 8

	// keepPause is between two tries: a few of the platform's answers.
	keepPause = 100 * time.Millisecond
)

// Causes under which the calls of a [Keeper] are counted.
const (
	CauseRead  object.Cause = "historyRead"
	CauseWrite object.Cause = "historyWrite"
	CauseDrop  object.Cause = "historyDrop"
)

// ErrNotKept reports that the platform did not take an entry, or did not say so.
var ErrNotKept = merry.Sentinel("the history did not take the entry")

// Keeper adds entries to the history.
type Keeper struct {
	// Do carries out one call.
	Do func(ctx context.Context, c object.Call) object.Reply
}

// Keep adds an entry to the history of a service, unless it is there. Entries of a
// service are to be kept in the order of their numbers.
func (k *Keeper) Keep(ctx context.Context, service string, e Entry) error {
	for try := 1; ; try++ {
		err := k.try(ctx, service, e)
		if err == nil || errors.Is(err, ErrTwoDigests) || try == keepTries {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(keepPause):
		}
	}
}

// try reads the history and writes the entry into it. Whether a write without an
// answer took effect shows in what the next try reads.
func (k *Keeper) try(ctx context.Context, service string, e Entry) error {
	reply := k.Do(ctx, object.Call{Op: object.List, Key: Prefix(service), Cause: CauseRead})
	if reply.Status != object.Done {
		return merry.Appendf(ErrNotKept, "listing it: %v", reply.Err)
	}
	segments := reply.Objects
	slices.SortFunc(segments, func(a, b object.Object) int {
		return cmp.Compare(segmentNumber(a.Key), segmentNumber(b.Key))
	})
	// Damage in what is there does not stand in the way of what is new. Whoever
	// reads the history is told of it.
	entries, _ := Read(segments)
	for _, there := range entries {
		if there.Number == e.Number && there.Digest != e.Digest {
			return fmt.Errorf("number %d: %w: %s stands, %s was offered", e.Number, ErrTwoDigests, there.Digest, e.Digest)
		}
		if there.Number == e.Number {
			return nil
		}
	}
	call, err := placeOf(service, segments, e)
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
	k.drop(ctx, segments[:min(len(segments), max(0, total-MaxSegments))])
	return nil
}

// placeOf returns the write that adds an entry: to the newest segment, or to a new
// one if it has no room there. A damaged segment is left as it is, for the auditor.
func placeOf(service string, segments []object.Object, e Entry) (object.Call, error) {
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

// drop deletes old segments. If it fails the next write tries again; calls are counted
// by cause and by how they ended.
func (k *Keeper) drop(ctx context.Context, segments []object.Object) {
	for _, o := range segments {
		k.Do(ctx, object.Call{Op: object.Delete, Key: o.Key, Version: o.Version, Cause: CauseDrop})
	}
}
