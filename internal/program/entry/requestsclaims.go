package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/phuslu/log"

	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
	"wagtailshelf.example/wagtailshelf/internal/traffic/claim"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
	"wagtailshelf.example/wagtailshelf/internal/wire/platform"
)

const (
	// claimRing bounds the messages that wait for a service's claims.
	claimRing = 1024

	// claimShards is the number of chains of one service. All entries must use
	// the same number. One chain carries some 2,500 claims a second at five
	// writes, so more of them would only add writes.
	claimShards = 1
)

// claimMessageKind is the kind of a [claimMessage].
type claimMessageKind uint8

const (
	tellShard     claimMessageKind = iota + 1 // event, answer
	tellTimes                                 // document
	askClaimState                             // state
)

// claimMessage is what other duties say to a claim desk.
type claimMessage struct {
	kind     claimMessageKind
	event    claim.Event
	answer   chan<- request.Event // holds one event
	document *document.Document
	state    chan<- ClaimState
}

// ClaimState is what a dump shows of a service's claims.
type ClaimState struct {
	Service string        `json:"service"`
	Waiting int           `json:"waiting"` // requests that wait for their claim
	Shards  []claim.State `json:"shards"`
}

// shardReply is the end of a shard's call to the platform.
type shardReply struct {
	shard int
	reply object.Reply
}

// claimDesk owns the claims of one service in this entry.
type claimDesk struct {
	service  string
	log      *log.Logger
	counts   *counts
	platform *platform.Client
	ring     chan claimMessage
	replies  chan shardReply // one place for each shard, which has one call at a time
	shards   []*claim.Shard
	wakes    []time.Time
	waiting  map[request.ID]chan<- request.Event
	running  int
	timer    *time.Timer
}

func newClaimDesk(d *document.Document, rng *rand.Rand, p *platform.Client, l *log.Logger, c *counts) *claimDesk {
	k := &claimDesk{
		service: d.Service, log: l, counts: c, platform: p,
		ring:    make(chan claimMessage, claimRing),
		replies: make(chan shardReply, claimShards),
		wakes:   make([]time.Time, claimShards),
		waiting: make(map[request.ID]chan<- request.Event),
		timer:   time.NewTimer(time.Hour),
	}
	for i := range claimShards {
		k.shards = append(k.shards, claim.New(claim.DefaultConfig(d.Service, i), rng))
	}
	k.configure(d)
	return k
}

func (k *claimDesk) configure(d *document.Document) {
	for _, s := range k.shards {
		s.Configure(d.Claims.Retention, d.Claims.Window)
	}
}

// tell hands the desk a message; false if there is no room.
func (k *claimDesk) tell(m claimMessage) bool {
	select {
	case k.ring <- m:
		return true
	default:
		k.counts.overflows.Inc()
		return false
	}
}

// serve decides on claims until ctx ends, and awaits the calls under way.
func (k *claimDesk) serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			for ; k.running > 0; k.running-- {
				<-k.replies
			}
			return context.Cause(ctx)
		case m := <-k.ring:
			k.hear(ctx, m)
		case r := <-k.replies:
			k.running--
			k.handle(ctx, r.shard, claim.Event{Kind: claim.Replied, Reply: r.reply})
		case <-k.timer.C:
			k.wake(ctx)
		}
	}
}

func (k *claimDesk) hear(ctx context.Context, m claimMessage) {
	switch m.kind {
	case tellShard:
		if m.answer != nil {
			k.waiting[m.event.Owner.ID] = m.answer
		}
		if m.event.Kind == claim.Released {
			delete(k.waiting, m.event.Owner.ID)
		}
		k.handle(ctx, m.event.Key.Shard(claimShards), m.event)
	case tellTimes:
		k.configure(m.document)
	case askClaimState:
		state := ClaimState{Service: k.service, Waiting: len(k.waiting)}
		for _, s := range k.shards {
			state.Shards = append(state.Shards, s.State())
		}
		m.state <- state
	}
}

func (k *claimDesk) handle(ctx context.Context, shard int, ev claim.Event) {
	for _, a := range k.shards[shard].Handle(time.Now(), ev) {
		k.apply(ctx, shard, a)
	}
}

func (k *claimDesk) apply(ctx context.Context, shard int, a claim.Action) {
	switch a.Kind {
	case claim.Call:
		k.running++
		go func() { k.replies <- shardReply{shard: shard, reply: k.platform.Do(ctx, a.Call)} }()
	case claim.Granted:
		k.counts.claimed(k.service, grantedBy(a))
		k.answer(a.Request, request.Event{Kind: request.ClaimGranted})
	case claim.Taken:
		k.counts.claimed(k.service, "taken")
		k.answer(a.Request, request.Event{Kind: request.ClaimTaken, Prior: a.Owner})
	case claim.Refuse:
		k.counts.claimed(k.service, string(a.Reason))
		k.answer(a.Request, request.Event{Kind: request.ClaimRefused, Reason: a.Reason, RetryAfter: a.RetryAfter})
	case claim.Overlap:
		k.counts.claimed(k.service, "overlap")
		k.log.Warn().Str("service", k.service).Str("id", a.Request.String()).Str("other", a.Owner.ID.String()).
			Msg("two requests ran with one key, which the document allows while the platform is out")
	case claim.Corrupt:
		k.log.Error().Str("service", k.service).Err(a.Err).Msg("claims cannot be read")
	case claim.Wake:
		k.wakes[shard] = a.At
		k.arm()
	case claim.Violated:
		k.counts.violated(k.log, string(a.Violation.Rule), a.Violation.Error())
	}
}

func grantedBy(a claim.Action) string {
	if a.MemoryOnly {
		return "memoryOnly"
	}
	return "granted"
}

// answer never waits: a channel that holds one event gets one.
func (k *claimDesk) answer(id request.ID, ev request.Event) {
	if c := k.waiting[id]; c != nil {
		delete(k.waiting, id)
		c <- ev
	}
}

func (k *claimDesk) wake(ctx context.Context) {
	now := time.Now()
	for i, at := range k.wakes {
		if !at.IsZero() && !now.Before(at) {
			k.wakes[i] = time.Time{}
			k.handle(ctx, i, claim.Event{Kind: claim.Tick})
		}
	}
	k.arm()
}

// arm sets the timer to the earliest wake.
func (k *claimDesk) arm() {
	var next time.Time
	for _, at := range k.wakes {
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	if !next.IsZero() {
		k.timer.Reset(time.Until(next))
	}
}

// startClaims begins the claims of a service. The caller holds e.mu.
func (e *Entry) startClaims(d *document.Document) {
	k := newClaimDesk(d, e.newRand(), e.cfg.Platform, e.log, e.counts)
	e.claims[d.Service] = k
	e.duties.Add(1)
	go func() {
		defer e.duties.Done()
		_ = k.serve(e.ctx) // ends with e.ctx only
	}()
}

func (e *Entry) claimsOf(service string) *claimDesk {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.claims[service]
}

// claimStates asks each service's claims for their state.
func (e *Entry) claimStates(ctx context.Context, services []ServiceState) ([]ClaimState, error) {
	var states []ClaimState
	for _, s := range services {
		k := e.claimsOf(s.Service)
		answer := make(chan ClaimState, 1)
		if k == nil || !k.tell(claimMessage{kind: askClaimState, state: answer}) {
			continue
		}
		select {
		case state := <-answer:
			states = append(states, state)
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
	return states, nil
}
