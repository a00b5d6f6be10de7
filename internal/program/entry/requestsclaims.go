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
	// claimQueue bounds the queued messages of a [claimManager].
	claimQueue = 1024

	// claimShards is the number of shards of one service; the claims of a shard form
	// one chain of writes. All entries must use the same number. One shard handles
	// about 2,500 claims a second with five writes a second, so more shards would
	// only add writes.
	claimShards = 1
)

// claimMessageKind is the kind of a [claimMessage].
type claimMessageKind uint8

const (
	claimEventMessage    claimMessageKind = iota + 1 // event, answer
	claimDocumentMessage                             // document
	claimStateMessage                                // state
)

// claimMessage is a message from another goroutine to a [claimManager].
type claimMessage struct {
	kind     claimMessageKind
	event    claim.Event
	answer   chan<- request.Event // has room for one event
	document *document.Document
	state    chan<- ClaimState
}

// ClaimState is the state of a service's claims in a dump.
type ClaimState struct {
	Service string        `json:"service"`
	Waiting int           `json:"waiting"` // requests that wait for the result of their claim
	Shards  []claim.State `json:"shards"`
}

// shardReply is the platform's reply to a call of a shard.
type shardReply struct {
	shard int
	reply object.Reply
}

// claimManager owns the claims of one service in this entry.
type claimManager struct {
	service   string
	log       *log.Logger
	counts    *counts
	platform  *platform.Client
	messages  chan claimMessage
	replies   chan shardReply // has room for one reply of each shard, which makes one call at a time
	shards    []*claim.Shard
	wakeAt    []time.Time // by shard; zero if the shard needs no tick
	waiting   map[request.ID]chan<- request.Event
	running   int // calls in flight
	wakeTimer *time.Timer
}

func newClaimManager(d *document.Document, rng *rand.Rand, p *platform.Client, l *log.Logger, c *counts) *claimManager {
	k := &claimManager{
		service: d.Service, log: l, counts: c, platform: p,
		messages:  make(chan claimMessage, claimQueue),
		replies:   make(chan shardReply, claimShards),
		wakeAt:    make([]time.Time, claimShards),
		waiting:   make(map[request.ID]chan<- request.Event),
		wakeTimer: time.NewTimer(time.Hour),
	}
	for i := range claimShards {
		k.shards = append(k.shards, claim.New(claim.DefaultConfig(d.Service, i), rng))
	}
	k.configure(d)
	return k
}

func (k *claimManager) configure(d *document.Document) {
	for _, s := range k.shards {
		s.Configure(d.Claims.Retention, d.Claims.Window)
	}
}

// trySend queues a message for the manager; false if the queue is full.
func (k *claimManager) trySend(m claimMessage) bool {
	select {
	case k.messages <- m:
		return true
	default:
		k.counts.overflows.Inc()
		return false
	}
}

// serve handles claims until ctx ends, and then waits for the calls in flight.
func (k *claimManager) serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			for ; k.running > 0; k.running-- {
				<-k.replies
			}
			return context.Cause(ctx)
		case m := <-k.messages:
			k.handleMessage(ctx, m)
		case r := <-k.replies:
			k.running--
			k.handle(ctx, r.shard, claim.Event{Kind: claim.Replied, Reply: r.reply})
		case <-k.wakeTimer.C:
			k.handleDueWakes(ctx)
		}
	}
}

func (k *claimManager) handleMessage(ctx context.Context, m claimMessage) {
	switch m.kind {
	case claimEventMessage:
		if m.answer != nil {
			k.waiting[m.event.Owner.ID] = m.answer
		}
		if m.event.Kind == claim.Released {
			delete(k.waiting, m.event.Owner.ID)
		}
		k.handle(ctx, m.event.Key.Shard(claimShards), m.event)
	case claimDocumentMessage:
		k.configure(m.document)
	case claimStateMessage:
		state := ClaimState{Service: k.service, Waiting: len(k.waiting)}
		for _, s := range k.shards {
			state.Shards = append(state.Shards, s.State())
		}
		m.state <- state
	}
}

func (k *claimManager) handle(ctx context.Context, shard int, ev claim.Event) {
	for _, a := range k.shards[shard].Handle(time.Now(), ev) {
		k.apply(ctx, shard, a)
	}
}

func (k *claimManager) apply(ctx context.Context, shard int, a claim.Action) {
	switch a.Kind {
	case claim.Call:
		k.running++
		go func() { k.replies <- shardReply{shard: shard, reply: k.platform.Do(ctx, a.Call)} }()
	case claim.Granted:
		k.counts.claimDecided(k.service, grantResult(a))
		k.answer(a.Request, request.Event{Kind: request.ClaimGranted})
	case claim.Taken:
		k.counts.claimDecided(k.service, "taken")
		k.answer(a.Request, request.Event{Kind: request.ClaimTaken, Prior: a.Owner})
	case claim.Refused:
		k.counts.claimDecided(k.service, string(a.Reason))
		k.answer(a.Request, request.Event{Kind: request.ClaimRefused, Reason: a.Reason, RetryAfter: a.RetryAfter})
	case claim.Overlap:
		k.counts.claimDecided(k.service, "overlap")
		k.log.Warn().Str("service", k.service).Str("id", a.Request.String()).Str("other", a.Owner.ID.String()).
			Msg("two requests ran with one key, which the document allows while the platform is out")
	case claim.Corrupt:
		k.log.Error().Str("service", k.service).Err(a.Err).Msg("claims cannot be read")
	case claim.Wake:
		k.wakeAt[shard] = a.At
		k.arm()
	case claim.Violated:
		k.counts.invariantViolated(k.log, string(a.Violation.Invariant), a.Violation.Error())
	}
}

func grantResult(a claim.Action) string {
	if a.MemoryOnly {
		return "memoryOnly"
	}
	return "granted"
}

// answer sends a request the result of its claim. It never blocks: the channel has room
// for one event and receives only one.
func (k *claimManager) answer(id request.ID, ev request.Event) {
	if c := k.waiting[id]; c != nil {
		delete(k.waiting, id)
		c <- ev
	}
}

// handleDueWakes passes a tick to each shard whose time has come.
func (k *claimManager) handleDueWakes(ctx context.Context) {
	now := time.Now()
	for i, at := range k.wakeAt {
		if !at.IsZero() && !now.Before(at) {
			k.wakeAt[i] = time.Time{}
			k.handle(ctx, i, claim.Event{Kind: claim.Tick})
		}
	}
	k.arm()
}

// arm sets the timer to the earliest time at which a shard needs a tick.
func (k *claimManager) arm() {
	var next time.Time
	for _, at := range k.wakeAt {
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	if !next.IsZero() {
		k.wakeTimer.Reset(time.Until(next))
	}
}

// startClaims starts the claim manager of a service. The caller holds e.mu.
func (e *Entry) startClaims(d *document.Document) {
	k := newClaimManager(d, e.newRand(), e.cfg.Platform, e.log, e.counts)
	e.claimManagers[d.Service] = k
	e.background.Add(1)
	go func() {
		defer e.background.Done()
		_ = k.serve(e.ctx) // ends with e.ctx only
	}()
}

func (e *Entry) claimManagerOf(service string) *claimManager {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.claimManagers[service]
}

// claimStates returns the state of each service's claims. A service whose manager has a
// full queue is left out.
func (e *Entry) claimStates(ctx context.Context, services []ServiceState) ([]ClaimState, error) {
	var states []ClaimState
	for _, s := range services {
		k := e.claimManagerOf(s.Service)
		answer := make(chan ClaimState, 1)
		if k == nil || !k.trySend(claimMessage{kind: claimStateMessage, state: answer}) {
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
