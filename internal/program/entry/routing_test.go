package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
	"wagtailshelf.example/wagtailshelf/internal/traffic/target"
)

func TestEndOf(t *testing.T) {
	const after = 70 * time.Millisecond
	for name, c := range map[string]struct {
		res  request.Result
		want target.End
	}{
		"answered":            {request.Result{Outcome: request.Answered}, target.End{Kind: target.Answered}},
		"broken off":          {request.Result{Outcome: request.Unknown, Reason: request.EngineTruncated}, target.End{Kind: target.Failed}},
		"caller gone":         {request.Result{Outcome: request.Unknown, Reason: request.CallerGone}, target.End{Kind: target.Cancelled}},
		"workspace overload":  {request.Result{Outcome: request.NotRun, Reason: request.Overloaded, RetryAfter: after}, target.End{Kind: target.Declined, RetryAfter: after}},
		"deadline passed":     {request.Result{Outcome: request.NotRun, Reason: request.DeadlinePassed, RetryAfter: after}, target.End{Kind: target.Declined, RetryAfter: after}},
		"book full":           {request.Result{Outcome: request.NotRun, Reason: request.BookFull, RetryAfter: after}, target.End{Kind: target.Refused, RetryAfter: after}},
		"leaving":             {request.Result{Outcome: request.NotRun, Reason: request.Draining, RetryAfter: after}, target.End{Kind: target.Refused, RetryAfter: after}},
		"engine unreachable":  {request.Result{Outcome: request.NotRun, Reason: request.EngineUnreachable}, target.End{Kind: target.Failed}},
		"key of another call": {request.Result{Outcome: request.NotRun, Reason: request.KeyClaimed}, target.End{Kind: target.Cancelled}},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, c.want, endOf(c.res))
		})
	}
}

func TestSharers(t *testing.T) {
	r := &router{document: &document.Document{Targets: make([]document.Target, 100)}}
	assert.Equal(t, defaultSharingEntries, r.sharingEntries(36))
	for range 2 {
		r.updateMember(routerMessage{member: target.Member{Name: "mtl-a-entry-1", DataCentre: "mtl-a"}, present: true})
	}
	assert.Len(t, r.entries, 1, "an entry counts once")
	r.entries = make([]target.Member, 10)
	assert.Equal(t, 3, r.sharingEntries(36))
	assert.Equal(t, 10, r.sharingEntries(100))
	assert.Equal(t, 1, r.sharingEntries(1))
}

func TestLocalShare(t *testing.T) {
	d := &document.Document{
		Targets: []document.Target{{DataCentre: "mtl-a"}, {DataCentre: "mtl-b"}, {DataCentre: "mtl-c"}},
		Shares:  []document.Share{{DataCentre: "mtl-a", Share: 0.5}, {DataCentre: "mtl-b", Share: 2}, {Target: "x", Share: 9}},
	}
	assert.InDelta(t, 0.25, localShare(d, "mtl-a"), 1e-9)
	assert.InDelta(t, 1, localShare(d, "mtl-b"), 1e-9)
	assert.InDelta(t, 0.5, localShare(d, "mtl-c"), 1e-9)
}
