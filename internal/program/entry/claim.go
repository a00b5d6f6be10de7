package entry

import (
	"context"
	"hash/fnv"

	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/traffic/claim"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

// claim claims the request's Idempotency-Key.
func (x *exchange) claim(ctx context.Context, a request.Action) {
	answer := make(chan request.Event, 1)
	refused := request.Event{Kind: request.ClaimRefused, Reason: request.ClaimsFull}
	sent := x.claimManager().trySend(claimMessage{
		kind:   claimEventMessage,
		answer: answer,
		event: claim.Event{
			Kind:       claim.ClaimRequested,
			Key:        x.key(),
			Owner:      a.Prior,
			Until:      x.call.Deadline,
			MemoryOnly: x.call.Service.Document.Claims.OnPlatformOutage == document.MemoryOnly,
		},
	})
	if !sent {
		x.enqueue(refused)
		return
	}
	x.async(ctx, "claim", refused, func() error { return x.awaitClaim(ctx, answer) })
}

// awaitClaim passes the result of the claim on to the request. If the request ends
// first, awaitClaim frees the key: the request has not run, and nothing else would
// ever free it.
func (x *exchange) awaitClaim(ctx context.Context, answer <-chan request.Event) error {
	select {
	case ev := <-answer:
		if x.sendEvent(ctx, ev) {
			return nil
		}
	case <-ctx.Done():
	}
	x.releaseClaim()
	return context.Cause(ctx)
}

// freeLateClaims handles claims that were granted after the request had its outcome:
// they have to be freed. Other late events are dropped.
func (x *exchange) freeLateClaims(ctx context.Context) {
	for {
		select {
		case ev := <-x.events:
			if ev.Kind == request.ClaimGranted {
				x.handle(ctx, ev)
			}
		default:
			return
		}
	}
}

// moveClaim records the request's new target in its claim, for repeats of the request.
// If the message is lost, repeats ask the earlier target, which can't
// return the response.
func (x *exchange) moveClaim(p request.Prior) {
	x.claimManager().trySend(claimMessage{kind: claimEventMessage, event: claim.Event{Kind: claim.Moved, Key: x.key(), Owner: p}})
}

// releaseClaim frees the key of a request that did not run. If the manager's queue is full,
// the key stays taken until its retention ends, which is safe.
func (x *exchange) releaseClaim() {
	x.claimManager().trySend(claimMessage{kind: claimEventMessage, event: claim.Event{
		Kind: claim.Released, Key: x.key(), Owner: request.Prior{ID: x.call.ID},
	}})
}

func (x *exchange) claimManager() *claimManager {
	return x.entry.claimManagerOf(x.call.Service.Document.Service)
}

func (x *exchange) key() claim.Key {
	return claim.NewKey(x.call.Service.Document.Service, x.call.Workspace, x.call.Key)
}

// callHash returns a hash that distinguishes a repeat of the call from a different
// call with the same key.
func (x *exchange) callHash() uint64 {
	h := fnv.New64a()
	for _, part := range []string{x.call.Method, x.call.Path, string(x.call.Body)} {
		_, _ = h.Write([]byte(part)) // writing to a hash never fails
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}
