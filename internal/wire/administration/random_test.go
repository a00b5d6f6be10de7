package administration_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/record/history"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
	"wagtailshelf.example/wagtailshelf/internal/wire/administration"
)

// faultyPlatform loses calls and responses, refuses calls and returns old states. It
// records each state that documents/agenda was ever in.
type faultyPlatform struct {
	*fakePlatform
	t      *rapid.T
	states map[object.Version]string // the author, by version
}

func (f *faultyPlatform) do(ctx context.Context, c object.Call) object.Reply {
	refused := object.Reply{Op: c.Op, Status: object.Refused, Err: errors.New("call refused")}
	unknown := object.Reply{Op: c.Op, Status: object.Unknown, Err: errors.New("no answer")}
	fault := rapid.SampledFrom([]string{"none", "none", "none", "lose", "drop", "refuse", "lag"}).Draw(f.t, "fault")
	switch {
	case ctx.Err() != nil, fault == "drop":
		return unknown
	case fault == "refuse":
		return refused
	}
	f.lag = func(object.Call) bool { return fault == "lag" }
	r := f.carryOut(c)
	if c.Op == object.Put && c.Key == document.Key("agenda") && r.Status == object.Done {
		f.states[r.Object.Version] = document.DecodeSubmission(c.Value).By
	}
	if fault == "lose" {
		return unknown
	}
	return r
}

// attempt is one operator's apply and its result.
type attempt struct {
	by       string
	base     object.Version
	received administration.Applied
	err      error
}

func (f *faultyPlatform) check(a attempt) {
	var at object.Version // version at which the attempt took effect
	for v, by := range f.states {
		if by == a.by {
			require.Zero(f.t, at, "%s took effect twice", a.by)
			at = v
		}
	}
	switch {
	case a.err == nil:
		require.Equal(f.t, at, a.received.Version, "%s has a receipt", a.by)
	case errors.Is(a.err, administration.ErrConflict), errors.Is(a.err, administration.ErrPlatform):
		require.Zero(f.t, at, "%s got an error that means that nothing has changed: %v", a.by, a.err)
	default:
		require.True(f.t, errors.Is(a.err, administration.ErrUnknown) || errors.Is(a.err, administration.ErrOvertaken), "%v", a.err)
	}
}

// checkHistory checks that the history and the applied document contain every text
// that an operator applied, whatever the results of the calls.
func (f *faultyPlatform) checkHistory(attempts []attempt) {
	var segments []object.Object
	for k, o := range f.objects {
		if strings.HasPrefix(string(k), string(history.Prefix("agenda"))) {
			segments = append(segments, o)
		}
	}
	entries, err := history.Read(segments)
	require.NoError(f.t, err)
	found := map[string]bool{document.DecodeSubmission(f.objects[document.Key("agenda")].Value).By: true}
	for _, e := range entries {
		found[e.By] = true
	}
	for _, a := range attempts {
		for _, by := range f.states {
			// A text that an intruder replaced is missing, since an intruder writes no history.
			if by == a.by && !f.overwritten(by) {
				require.True(f.t, found[by], "%s applied a text that the history lacks", by)
			}
		}
	}
}

// overwritten reports whether an intruder, who writes no history, replaced a text.
func (f *faultyPlatform) overwritten(by string) bool {
	for v, author := range f.states {
		if author != by {
			continue
		}
		next := object.Version(0)
		for other := range f.states {
			if other > v && (next == 0 || other < next) {
				next = other
			}
		}
		return strings.HasPrefix(f.states[next], "intruder")
	}
	return false
}

// inBubble runs f with a fake clock, in a synctest bubble. A failure of rapid is a
// panic, which has to leave the bubble before it reaches rapid.
func inBubble(t *testing.T, f func()) {
	var failure any
	synctest.Test(t, func(*testing.T) {
		defer func() { failure = recover() }()
		f()
	})
	if failure != nil {
		panic(failure)
	}
}

// Several operators apply one after the other, each on the current version or on an
// older one, with a platform that loses calls and responses, refuses calls and lags.
// An intruder may write between a lost response and the retry. The result that each
// operator gets is true: after a receipt the text was applied once, at that version;
// after a conflict or an outage it was never applied.
func TestResultsOfApplyAreTrue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		inBubble(t, func() {
			f := &faultyPlatform{fakePlatform: newFakePlatform(), t: rt, states: map[object.Version]string{}}
			intruder := 0
			records := &administration.Records{Do: func(ctx context.Context, c object.Call) object.Reply {
				if c.Op == object.Put && c.Key == document.Key("agenda") && rapid.IntRange(0, 3).Draw(rt, "intrude") == 0 {
					intruder++
					by := fmt.Sprintf("intruder-%d", intruder)
					s := document.Submission{By: by, Text: "x"}
					value, err := s.Encode()
					require.NoError(rt, err)
					f.states[f.put(c.Key, value)] = by
				}
				return f.do(ctx, c)
			}}
			var attempts []attempt
			for i := range rapid.IntRange(1, 4).Draw(rt, "operators") {
				a := attempt{by: fmt.Sprintf("operator-%d", i), base: f.objects[document.Key("agenda")].Version}
				if rapid.IntRange(0, 4).Draw(rt, "behind") == 0 {
					a.base = f.older[document.Key("agenda")].Version
				}
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				a.received, a.err = records.Apply(ctx, "agenda", a.base, document.Submission{By: a.by, At: epoch, Text: "x"})
				cancel()
				attempts = append(attempts, a)
			}
			for _, a := range attempts {
				f.check(a)
			}
			f.checkHistory(attempts)
		})
	})
}
