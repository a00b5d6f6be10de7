package administration

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/record/history"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

// Cause is the cause under which operators' calls are counted.
const Cause object.Cause = "operator"

// Errors of [Records].
var (
	ErrNotFound  = merry.Sentinel("there is no such document")
	ErrConflict  = merry.Sentinel("somebody else has changed the document since you read it; yours is not applied")
	ErrPlatform  = merry.Sentinel("the platform did not answer; nothing has changed")
	ErrUnknown   = merry.Sentinel("the platform's answer is lost: the document may be applied or not; apply the same again")
	ErrOvertaken = merry.Sentinel("the platform's answer is lost, and somebody else has changed the document since: yours was applied before, or not at all")
	ErrDamaged   = merry.Sentinel("a record of the platform can't be read")
)

const (
	retryPause = 100 * time.Millisecond // before a retry of a write or of a read
	maxReads   = 20                     // retries of a read that lags
)

// Records reads and writes the platform's objects about documents.
type Records struct {
	// Do carries out one call.
	Do func(ctx context.Context, c object.Call) object.Reply
}

// Applied is an applied document.
type Applied struct {
	document.Submission
	Version object.Version
}

// Digest returns the digest of the text.
func (a *Applied) Digest() document.Digest { return document.DigestOf([]byte(a.Text)) }

// get reads one object. It returns [ErrNotFound] or [ErrPlatform] with the reason.
func (r *Records) get(ctx context.Context, key object.Key) (object.Object, error) {
	reply := r.Do(ctx, object.Call{Op: object.Get, Key: key, Cause: Cause})
	switch reply.Status {
	case object.Done:
		return reply.Object, nil
	case object.NotFound:
		return object.Object{}, merry.Appendf(ErrNotFound, "%s", key)
	}
	return object.Object{}, merry.Appendf(ErrPlatform, "reading %s: %v", key, reply.Err)
}

func (r *Records) list(ctx context.Context, prefix object.Key) ([]object.Object, error) {
	reply := r.Do(ctx, object.Call{Op: object.List, Key: prefix, Cause: Cause})
	if reply.Status != object.Done {
		return nil, merry.Appendf(ErrPlatform, "listing %s: %v", prefix, reply.Err)
	}
	return reply.Objects, nil
}

// Applied returns the applied document of a service.
func (r *Records) Applied(ctx context.Context, service string) (Applied, error) {
	o, err := r.get(ctx, document.Key(service))
	if err != nil {
		return Applied{}, err
	}
	return decodeApplied(o), nil
}

// All returns the applied documents of all services, by service.
func (r *Records) All(ctx context.Context) (map[string]Applied, error) {
	objects, err := r.list(ctx, document.ObjectKind+"/")
	if err != nil {
		return nil, err
	}
	all := make(map[string]Applied, len(objects))
	for _, o := range objects {
		all[o.Key.Name()] = decodeApplied(o)
	}
	return all, nil
}

// Apply writes a submission if the applied document still has the given version,
// 0 if there must be none, and returns the document with its new version. If
// somebody else was first, it returns the current document with [ErrConflict].
//
// A call whose response is lost leaves the write unconfirmed until a later response
// shows the outcome. Apply then doesn't return [ErrConflict] or [ErrPlatform], which
// state that nothing has changed: the document may have been applied, and replaced
// by somebody else since.
func (r *Records) Apply(ctx context.Context, service string, version object.Version, s document.Submission) (Applied, error) {
	value, err := s.Encode()
	if err != nil {
		return Applied{}, err
	}
	if version != 0 {
		if current, err := r.archive(ctx, service, version); err != nil {
			return current, err
		}
	}
	w := write{
		records: r,
		call:    object.Call{Op: object.Put, Key: document.Key(service), Version: version, Value: value, Cause: Cause},
	}
	for {
		current, retry, err := w.try(ctx)
		if !retry {
			return current, err
		}
	}
}

// archive adds the document that is about to be replaced to the history. If that is
// not the version that the operator read, it returns the current document with
// [ErrConflict]; nothing has been written in that case.
func (r *Records) archive(ctx context.Context, service string, version object.Version) (Applied, error) {
	for try := 0; ; try++ {
		d, err := r.Applied(ctx, service)
		switch {
		case errors.Is(err, ErrNotFound):
			return Applied{}, ErrConflict
		case err != nil:
			return Applied{}, err
		case d.Version > version:
			return d, ErrConflict
		case d.Version < version && (try == maxReads || !pause(ctx)):
			return Applied{}, merry.Appendf(ErrPlatform, "version %d can't be read yet", version)
		case d.Version < version:
			continue // this read lags behind the read of the operator
		}
		keeper := history.Keeper{Do: r.Do}
		if err := keeper.Keep(ctx, service, entryOf(d)); err != nil {
			return Applied{}, merry.Appendf(ErrPlatform, "%v", err)
		}
		return d, nil
	}
}

// write is the write of one apply.
type write struct {
	records     *Records
	call        object.Call
	unconfirmed bool // an earlier try may have taken effect
}

// try makes the call once. It returns retry if the call should be made again.
func (w *write) try(ctx context.Context) (current Applied, retry bool, err error) {
	reply := w.records.Do(ctx, w.call)
	switch {
	case reply.Status == object.Done:
		return decodeApplied(object.Object{Version: reply.Object.Version, Value: w.call.Value}), false, nil
	case reply.Status == object.Conflict:
		current, err = w.readConflict(ctx, reply.Object)
		return current, false, err
	case reply.Status != object.Unknown && !w.unconfirmed:
		return Applied{}, false, merry.Appendf(ErrPlatform, "writing %s: %v", w.call.Key, reply.Err)
	}
	// The first call may still be on its way. Both calls require the same version,
	// so at most one takes effect; if it is the first, the retry gets a conflict
	// with our own value.
	w.unconfirmed = true
	if !pause(ctx) {
		return Applied{}, false, ErrUnknown
	}
	return Applied{}, true, nil
}

// readConflict reads the current document after a conflict. If its value equals
// ours, time and author included, an earlier try has taken effect. A read that still
// shows the required version lags behind and is retried: it would show the operator
// a conflict without any change.
func (w *write) readConflict(ctx context.Context, o object.Object) (Applied, error) {
	for try := 0; o.Version <= w.call.Version; try++ {
		var err error
		o, err = w.records.get(ctx, w.call.Key)
		if errors.Is(err, ErrNotFound) && w.call.Version != 0 {
			return Applied{}, w.conflictError()
		}
		if o.Version > w.call.Version {
			break
		}
		if try == maxReads || !pause(ctx) {
			return Applied{}, w.unreadError()
		}
	}
	current := decodeApplied(o)
	if bytes.Equal(o.Value, w.call.Value) {
		return current, nil
	}
	return current, w.conflictError()
}

// conflictError returns the error for a document that somebody else has written.
func (w *write) conflictError() error {
	if w.unconfirmed {
		return ErrOvertaken
	}
	return ErrConflict
}

// unreadError returns the error for a conflict with a document that can't be read.
func (w *write) unreadError() error {
	if w.unconfirmed {
		return ErrUnknown
	}
	return ErrConflict
}

func decodeApplied(o object.Object) Applied {
	return Applied{Submission: document.DecodeSubmission(o.Value), Version: o.Version}
}

// pause waits for retryPause and reports whether there is time left.
func pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(retryPause):
		return true
	}
}

// History returns all documents of a service that the platform has a record of, in
// the order of their numbers; the applied one is the last. With [ErrDamaged] it also
// returns the documents that could be read.
func (r *Records) History(ctx context.Context, service string) ([]history.Entry, error) {
	segments, err := r.list(ctx, history.Prefix(service))
	if err != nil {
		return nil, err
	}
	archived, damageErr := history.Read(segments)
	var last []history.Entry
	switch d, err := r.Applied(ctx, service); {
	case err == nil:
		last = []history.Entry{entryOf(d)}
	case !errors.Is(err, ErrNotFound):
		return nil, err
	}
	merged, err := history.Merge(archived, last)
	if err := errors.Join(damageErr, err); err != nil {
		return merged, merry.Appendf(ErrDamaged, "%v", err)
	}
	return merged, nil
}

// entryOf returns the history entry of a document.
func entryOf(d Applied) history.Entry {
	return history.Entry{Number: uint64(d.Version), Digest: d.Digest(), By: d.By, At: d.At, Text: []byte(d.Text)}
}

// References to documents, besides the numbers of the history.
const (
	RefApplied = "applied"
	RefBefore  = "before" // the one that the applied document replaced
)

// Document returns the document that a reference names. It is nil for [RefBefore] if
// there was none.
func (r *Records) Document(ctx context.Context, service, ref string) (*document.Document, error) {
	text, err := r.Text(ctx, service, ref)
	if err != nil || text == nil {
		return nil, err
	}
	d, _ := document.Parse(service+".yaml", text) // findings don't matter for reading it
	return d, nil
}

// Text returns the text of the document that a reference names, nil for [RefBefore]
// if there was none.
func (r *Records) Text(ctx context.Context, service, ref string) ([]byte, error) {
	if ref == RefApplied {
		applied, err := r.Applied(ctx, service)
		return []byte(applied.Text), err
	}
	all, err := r.History(ctx, service)
	if err != nil {
		return nil, err
	}
	if ref == RefBefore {
		if len(all) < 2 {
			return nil, nil
		}
		return textOf(all[len(all)-2])
	}
	for _, e := range all {
		if fmt.Sprint(e.Number) == ref || strings.HasPrefix(e.Digest.String(), ref) && len(ref) >= 12 {
			return textOf(e)
		}
	}
	return nil, merry.Appendf(ErrNotFound, "%s %s", service, ref)
}

func textOf(e history.Entry) ([]byte, error) {
	if e.Text == nil {
		return nil, merry.Appendf(ErrNotFound, "the text of number %d was not kept", e.Number)
	}
	return e.Text, nil
}
