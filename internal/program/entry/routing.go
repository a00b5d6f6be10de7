package entry

import (
	"context"
	"net/netip"
	"time"

	"github.com/phuslu/log"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/traffic/leaving"
	"wagtailshelf.example/wagtailshelf/internal/traffic/retry"
	"wagtailshelf.example/wagtailshelf/internal/traffic/target"
	"wagtailshelf.example/wagtailshelf/internal/wire/peer"
)

// routerQueue bounds the queued messages of a router. While the queue is full, senders
// that need an answer wait, at the most for as long as their request may take.
const routerQueue = 1024

// routerMessageKind is the kind of a [routerMessage].
type routerMessageKind uint8

const (
	pickMessage         routerMessageKind = iota + 1 // query, picked
	endMessage                                       // choice, end
	retryMessage                                     // allowed
	firstAttemptMessage                              // workspace, for a first attempt
	reportMessage                                    // report
	leavingMessage                                   // name, incarnation
	hostMessage                                      // host, leaving
	memberMessage                                    // member, present
	documentMessage                                  // document
	stateMessage                                     // state
)

// routerMessage is a message from another goroutine to a [router].
type routerMessage struct {
	kind        routerMessageKind
	query       target.Query
	choice      target.Choice
	end         target.End
	report      target.Report
	name        target.Name
	incarnation host.Incarnation
	host        host.Name
	leaving     bool // whether host is leaving
	document    *document.Document
	member      target.Member
	present     bool // whether member shares the targets
	picked      chan<- pick
	workspace   string
	attempt     retry.Attempt
	decision    chan<- retry.Decision
	state       chan<- RouterState
}

// pick is the answer to a pickMessage. ok is false if no target is available.
type pick struct {
	choice   target.Choice
	address  netip.AddrPort
	host     host.Name
	ok       bool
	pickedAt time.Time // when it was chosen
}

// RouterState is the state of a service's router in a dump.
type RouterState struct {
	Service string        `json:"service"`
	Targets []TargetState `json:"targets"`
	Retries retry.Counts  `json:"retries"`
}

// TargetState is the state of a target that the router may choose, in a dump.
type TargetState struct {
	target.Status
	Leaving leaving.Status `json:"leaving"`
}

// router owns the choice of targets and the retry budget of one service.
type router struct {
	service  string
	self     target.Member
	log      *log.Logger
	counts   *counts
	messages chan routerMessage
	pool     *peer.Pool

	chooser        *target.Chooser
	tracker        *leaving.Tracker
	budget         *retry.Budget
	document       *document.Document
	targets        map[target.Name]*document.Target // the targets of this entry's subset
	entries        []target.Member
	leavingHosts   map[host.Name]bool // according to the platform's list
	entriesChanged bool               // since the last update
	timer          *time.Timer        // for ticks of the tracker
	tickDue        time.Time          // when the timer is due

	createdAt    time.Time
	anyReported  bool // whether a sidecar has reported yet
	pendingPicks []routerMessage
	probing      map[target.Name]bool
	probes       chan probeEnd
}

// newRouter returns the router of a service. The caller holds e.mu.
func (e *Entry) newRouter(now time.Time, d *document.Document) *router {
	rng := e.newRand()
	r := &router{
		service:   d.Service,
		self:      target.Member{Name: e.cfg.Identity.Name, DataCentre: e.cfg.Identity.DataCentre},
		log:       e.log,
		counts:    e.counts,
		messages:  make(chan routerMessage, routerQueue),
		pool:      e.pool,
		chooser:   target.New(now, target.Config{}, rng), // update sets the configuration
		tracker:   leaving.New(leaving.DefaultConfig()),
		budget:    retry.NewBudget(now, retry.Config{}, rng),
		targets:   make(map[target.Name]*document.Target),
		timer:     time.NewTimer(time.Hour),
		createdAt: now,
		probing:   make(map[target.Name]bool),
		probes:    make(chan probeEnd),

		document:     d,
		entries:      e.knownEntries(),
		leavingHosts: e.leavingHosts(),
	}
	return r
}

func retryConfig(d *document.Document) retry.Config {
	return retry.Config{
		Ratio:    d.Retries.Budget,
		Attempts: d.Retries.Attempts,
		BackOff:  d.Retries.Backoff,
		MaxWait:  d.Retries.MaxBackoff,
	}
}

// serve handles messages until ctx ends, and then waits for the probes in flight.
func (r *router) serve(ctx context.Context) error {
	defer r.timer.Stop()
	r.update(ctx, time.Now())
	for {
		select {
		case <-ctx.Done():
			for range r.probing {
				<-r.probes
			}
			return context.Cause(ctx)
		case m := <-r.messages:
			r.handle(ctx, time.Now(), m)
		case end := <-r.probes:
			r.probeEnded(end)
		case <-r.timer.C:
			r.tick(ctx, time.Now())
		}
		r.answerPending(time.Now())
		for _, v := range r.chooser.Violations() {
			r.counts.invariantViolated(r.log, v.Invariant, v.Evidence)
		}
	}
}

func (r *router) handle(ctx context.Context, now time.Time, m routerMessage) {
	switch m.kind {
	case pickMessage:
		r.catchUp(ctx, now)
		r.answerPick(now, m)
	case endMessage:
		r.chooser.Finish(now, m.choice, m.end)
	case retryMessage:
		m.decision <- r.budget.Next(now, m.attempt)
	case firstAttemptMessage:
		r.budget.FirstAttempt(m.workspace)
	case reportMessage:
		r.handleReport(ctx, now, m.report)
	case leavingMessage:
		r.targetLeaving(ctx, now, m.name, m.incarnation)
	case hostMessage:
		r.hostListed(ctx, now, m.host, m.leaving)
	case memberMessage:
		r.updateMember(m)
	case documentMessage:
		r.document = m.document
		r.update(ctx, now)
	case stateMessage:
		m.state <- r.state(now)
	}
}

func (r *router) pick(now time.Time, q target.Query) pick {
	choice, ok := r.chooser.Pick(now, q)
	if !ok {
		return pick{choice: choice}
	}
	t := r.targets[choice.Name]
	if _, serving := r.tracker.Serving(choice.Name); t == nil || !serving {
		r.counts.invariantViolated(r.log, "no new work to a target that isn't serving", string(choice.Name))
		r.chooser.Finish(now, choice, target.End{Kind: target.Cancelled})
		return pick{}
	}
	return pick{choice: choice, address: t.Address, host: t.Host, ok: true}
}

func (r *router) state(now time.Time) RouterState {
	s := RouterState{Service: r.service, Retries: r.budget.Counts()}
	for _, st := range r.chooser.Statuses(now) {
		s.Targets = append(s.Targets, TargetState{Status: st, Leaving: r.tracker.Status(now, st.Name)})
	}
	return s
}

// end returns a choice to the chooser, and waits for room in the queue. If the message
// were dropped, the request would count as the target's outstanding work forever.
func (r *router) end(ctx context.Context, ch target.Choice, end target.End) {
	r.send(ctx, routerMessage{kind: endMessage, choice: ch, end: end})
}

// trySend queues a message that needs no answer, and drops it if the queue is full:
// reports are repeated, and a request must not wait for them.
func (r *router) trySend(m routerMessage) {
	select {
	case r.messages <- m:
	default:
		r.counts.overflows.Inc()
	}
}

// send queues a message, and waits for room in the queue; false if ctx ends first.
func (r *router) send(ctx context.Context, m routerMessage) bool {
	select {
	case r.messages <- m:
		return true
	case <-ctx.Done():
		return false
	}
}

// requestPick asks the router for a target; false if ctx ends first.
func (r *router) requestPick(ctx context.Context, q target.Query) (pick, bool) {
	answer := make(chan pick, 1)
	if !r.send(ctx, routerMessage{kind: pickMessage, query: q, picked: answer}) {
		return pick{}, false
	}
	select {
	case p := <-answer:
		return p, true
	case <-ctx.Done():
		return pick{}, false
	}
}

// requestRetry asks the router whether a further attempt is allowed; none is once ctx
// has ended.
func (r *router) requestRetry(ctx context.Context, t retry.Attempt) retry.Decision {
	answer := make(chan retry.Decision, 1)
	if !r.send(ctx, routerMessage{kind: retryMessage, attempt: t, decision: answer}) {
		return retry.Decision{Verdict: retry.PastDeadline}
	}
	select {
	case d := <-answer:
		return d
	case <-ctx.Done():
		return retry.Decision{Verdict: retry.PastDeadline}
	}
}
