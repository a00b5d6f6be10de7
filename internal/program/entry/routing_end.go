package entry

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
	"wagtailshelf.example/wagtailshelf/internal/traffic/target"
)

// noteRefusal returns the choice of a refused attempt to the router with the reason of the
// refusal. Otherwise the next pick would return it as a failure of the target, and three
// requests in excess of one workspace's limit would make the target unavailable to all
// other workspaces.
func (x *exchange) noteRefusal(ev request.Event) {
	m := &ev.Message
	if ev.Kind != request.Received || m.Kind != request.Refused {
		return
	}
	i := int(m.Attempt) - 1
	if i < 0 || i >= len(x.choices) {
		return
	}
	if m.Reason == request.Draining {
		ch := x.choices[i].choice
		x.router.trySend(routerMessage{kind: leavingMessage, name: ch.Name, incarnation: ch.Incarnation})
	}
	x.endAttempt(i, endOfRefusal(m.Reason, m.RetryAfter))
}

// endOfRefusal returns how an attempt ended for its target, given the reason of a refusal.
func endOfRefusal(reason request.Reason, after time.Duration) target.End {
	switch reason {
	case request.Overloaded, request.DeadlinePassed:
		return target.End{Kind: target.Declined, RetryAfter: after}
	case request.BookFull, request.Draining, request.TargetInBackOff:
		return target.End{Kind: target.Refused, RetryAfter: after}
	case request.EngineUnreachable, request.TargetSilent, request.NeverSeen, request.BodyIncomplete:
		return target.End{Kind: target.Failed}
	default:
		return target.End{Kind: target.Cancelled} // the refusal implies nothing about the target
	}
}

// endOf returns how a request ended for its last target, given the request's result.
func endOf(res request.Result) target.End {
	switch {
	case res.Outcome == request.Answered:
		return target.End{Kind: target.Answered}
	case res.Reason == request.CallerGone:
		return target.End{Kind: target.Cancelled}
	case res.Outcome == request.NotRun:
		return endOfRefusal(res.Reason, res.RetryAfter)
	default:
		return target.End{Kind: target.Failed}
	}
}

// endChoice returns the newest choice to the router.
func (x *exchange) endChoice(end target.End) {
	if len(x.choices) > 0 {
		x.endAttempt(len(x.choices)-1, end)
	}
}

// endAttempt returns the choice of an attempt to the router; further calls do nothing.
func (x *exchange) endAttempt(i int, end target.End) {
	ch := x.choices[i].choice
	if ch.Name == "" {
		return
	}
	x.choices[i].choice.Name = ""
	x.router.end(x.entry.ctx, ch, end)
}
