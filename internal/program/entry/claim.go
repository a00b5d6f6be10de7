package entry

import (
	"context"
	"hash/fnv"

	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/traffic/claim"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

// claim asks for the request's Idempotency-Key.
func (x *exchange) claim(ctx context.Context, a request.Action) {
	answer := make(chan request.Event, 1)
	asked := x.claims().tell(claimMessage{
		kind:   tellShard,
		answer: answer,
		event: claim.Event{
			Kind:       claim.Asked,
			Key:        x.key(),
			Owner:      a.Prior,
			Until:      x.call.Deadline,
			MemoryOnly: x.call.Service.Document.Claims.OnPlatformOutage == document.MemoryOnly,
		},
	})
	if !asked {
		x.later(request.Event{Kind: request.ClaimRefused, Reason: request.ClaimsFull})
		return
	}
	x.running++
	go func() { x.readers <- x.awaitClaim(ctx, answer) }()
}

// awaitClaim frees the key if the request ends before it hears of its claim. It
// has not run then, and nobody else would ever free it.
func (x *exchange) awaitClaim(ctx context.Context, answer <-chan request.Event) error {
	select {
	case ev := <-answer:
		if x.put(ctx, ev) {
			return nil
		}
	case <-ctx.Done():
	}
	x.unclaim()
	return context.Cause(ctx)
}

// hearLate hands over what came after the outcome: a claim that was granted too
// late has to be freed.
func (x *exchange) hearLate(ctx context.Context) {
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

// reclaim notes where the request goes now, for repeats of it. One that is lost
// leaves them to ask at the earlier target, which cannot answer them.
func (x *exchange) reclaim(p request.Prior) {
	x.claims().tell(claimMessage{kind: tellShard, event: claim.Event{Kind: claim.Moved, Key: x.key(), Owner: p}})
}

// unclaim frees the key of a request that did not run. If the ring is full the
// key stays taken until its retention ends, which is safe.
func (x *exchange) unclaim() {
	x.claims().tell(claimMessage{kind: tellShard, event: claim.Event{
		Kind: claim.Released, Key: x.key(), Owner: request.Prior{ID: x.call.ID},
	}})
}

func (x *exchange) claims() *claimDesk {
	return x.entry.claimsOf(x.call.Service.Document.Service)
}

func (x *exchange) key() claim.Key {
	return claim.NewKey(x.call.Service.Document.Service, x.call.Workspace, x.call.Key)
}

// print tells a repeat of a call from another call with the same key.
func (x *exchange) print() uint64 {
	h := fnv.New64a()
	for _, part := range []string{x.call.Method, x.call.Path, string(x.call.Body)} {
		_, _ = h.Write([]byte(part)) // a hash does not fail
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}
