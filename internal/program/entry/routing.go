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

// routerRing bounds the messages that wait for a router. Whoever has one more
// waits, for as long as its request may take.
const routerRing = 1024

// routerMessageKind is the kind of a [routerMessage].
type routerMessageKind uint8

const (
	askPick     routerMessageKind = iota + 1 // query, picked
	tellEnd                                  // choice, end
	askRetry                                 // allowed
	tellFirst                                // workspace: a first try
	tellReport                               // report
	tellLeaving                              // name, incarnation
	tellListed                               // host, leaving
	tellMember                               // member, present
	tellService                              // document
	askRouter                                // state
)

// routerMessage is what other duties say to a router.
type routerMessage struct {
	kind        routerMessageKind
	query       target.Query
	choice      target.Choice
	end         target.End
	report      target.Report
	name        target.Name
	incarnation host.Incarnation
	host        host.Name
	leaving     bool // of host
	document    *document.Document
	member      target.Member
	present     bool // of member
	picked      chan<- pick
	workspace   string
	try         retry.Try
	decision    chan<- retry.Decision
	state       chan<- RouterState
}

// pick is the answer to askPick. ok tells whether there is a target.
type pick struct {
	choice  target.Choice
	address netip.AddrPort
	host    host.Name
	ok      bool
	at      time.Time // when it was chosen
}

// RouterState is what a dump shows of a service's router.
type RouterState struct {
	Service string        `json:"service"`
	Targets []TargetState `json:"targets"`
	Retries retry.Counts  `json:"retries"`
}

// TargetState is what a dump shows of a target that the router may choose.
type TargetState struct {
	target.Status
	Leaving leaving.Status `json:"leaving"`
}

// router owns the choice of targets and the retry budget of one service.
type router struct {
	service string
	self    target.Member
	log     *log.Logger
	counts  *counts
	ring    chan routerMessage
	pool    *peer.Pool

	chooser  *target.Chooser
	tracker  *leaving.Tracker
	budget   *retry.Budget
	document *document.Document
	targets  map[target.Name]*document.Target // those of the entry's subset
	entries  []target.Member
	leaving  map[host.Name]bool // by the platform's list
	stale    bool               // entries have changed since the last update
	timer    *time.Timer        // of the tracker
	tickAt   time.Time          // when it is due

	began   time.Time
	met     bool // a sidecar was heard from
	waiting []routerMessage
	probing map[target.Name]bool
	probes  chan probeEnd
}

// newRouter returns the router of a service. The caller holds e.mu.
func (e *Entry) newRouter(now time.Time, d *document.Document) *router {
	rng := e.newRand()
	r := &router{
		service: d.Service,
		self:    target.Member{Name: e.cfg.Identity.Name, DataCentre: e.cfg.Identity.DataCentre},
		log:     e.log,
		counts:  e.counts,
		ring:    make(chan routerMessage, routerRing),
		pool:    e.pool,
		chooser: target.New(now, target.Config{}, rng), // update gives the settings
		tracker: leaving.New(leaving.DefaultConfig()),
		budget:  retry.NewBudget(now, retry.Config{}, rng),
		targets: make(map[target.Name]*document.Target),
		timer:   time.NewTimer(time.Hour),
		began:   now,
		probing: make(map[target.Name]bool),
		probes:  make(chan probeEnd),

		document: d,
		entries:  e.knownEntries(),
		leaving:  e.leavingHosts(),
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

// serve answers until ctx ends, and then awaits the probes on their way.
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
		case m := <-r.ring:
			r.handle(ctx, time.Now(), m)
		case end := <-r.probes:
			r.probeEnded(end)
		case <-r.timer.C:
			r.tick(ctx, time.Now())
		}
		r.answerWaiting(time.Now())
		for _, v := range r.chooser.Violations() {
			r.counts.violated(r.log, v.Invariant, v.Evidence)
		}
	}
}

func (r *router) handle(ctx context.Context, now time.Time, m routerMessage) {
	switch m.kind {
	case askPick:
		r.catchUp(ctx, now)
		r.answerPick(now, m)
	case tellEnd:
		r.chooser.Finish(now, m.choice, m.end)
	case askRetry:
		m.decision <- r.budget.Next(now, m.try)
	case tellFirst:
		r.budget.First(m.workspace)
	case tellReport:
		r.report(ctx, now, m.report)
	case tellLeaving:
		r.leaves(ctx, now, m.name, m.incarnation)
	case tellListed:
		r.listed(ctx, now, m.host, m.leaving)
	case tellMember:
		r.member(m)
	case tellService:
		r.document = m.document
		r.update(ctx, now)
	case askRouter:
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
		r.counts.violated(r.log, "no new work to a target that isn't serving", string(choice.Name))
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

// end gives a choice back. Were it dropped, the target would seem to have the
// request's work for good.
func (r *router) end(ctx context.Context, ch target.Choice, end target.End) {
	r.ask(ctx, routerMessage{kind: tellEnd, choice: ch, end: end})
}

// tell hands the router a message that needs no answer. A full ring drops it:
// reports come again, and a request must not wait for them.
func (r *router) tell(m routerMessage) {
	select {
	case r.ring <- m:
	default:
		r.counts.overflows.Inc()
	}
}

// ask hands the router a message that has an answer.
func (r *router) ask(ctx context.Context, m routerMessage) bool {
	select {
	case r.ring <- m:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *router) askPick(ctx context.Context, q target.Query) (pick, bool) {
	answer := make(chan pick, 1)
	if !r.ask(ctx, routerMessage{kind: askPick, query: q, picked: answer}) {
		return pick{}, false
	}
	select {
	case p := <-answer:
		return p, true
	case <-ctx.Done():
		return pick{}, false
	}
}

// askRetry rules on a further attempt; none is allowed once ctx has ended.
func (r *router) askRetry(ctx context.Context, t retry.Try) retry.Decision {
	answer := make(chan retry.Decision, 1)
	if !r.ask(ctx, routerMessage{kind: askRetry, try: t, decision: answer}) {
		return retry.Decision{Verdict: retry.PastDeadline}
	}
	select {
	case d := <-answer:
		return d
	case <-ctx.Done():
		return retry.Decision{Verdict: retry.PastDeadline}
	}
}
