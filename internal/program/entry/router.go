package entry

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/phuslu/log"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/traffic/retry"
	"wagtailshelf.example/wagtailshelf/internal/traffic/target"
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
	tellFirst                                // a first try
	tellReport                               // report
	tellLeaving                              // name, incarnation
	tellLife                                 // name, incarnation: its sidecar is heard from
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
	document    *document.Document
	picked      chan<- pick
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
}

// RouterState is what a dump shows of a service's router.
type RouterState struct {
	Service string       `json:"service"`
	Targets int          `json:"targets"`
	Retries retry.Counts `json:"retries"`
}

// router owns the choice of targets and the retry budget of one service.
type router struct {
	service string
	log     *log.Logger
	counts  *counts
	ring    chan routerMessage
	rng     *rand.Rand

	chooser *target.Chooser
	budget  *retry.Budget
	targets map[target.Name]*document.Target
}

func newRouter(now time.Time, service string, l *log.Logger, c *counts, dataCentre host.DataCentre, rng *rand.Rand, d *document.Document) *router {
	cfg := target.Config{DataCentre: dataCentre}
	if d.Affinity.LoadBound > 0 {
		cfg.AffinityLoad = d.Affinity.LoadBound
	}
	r := &router{
		service: service,
		log:     l,
		counts:  c,
		ring:    make(chan routerMessage, routerRing),
		rng:     rng,
		chooser: target.New(now, cfg, rng),
		budget:  retry.NewBudget(now, retryConfig(d), rng),
	}
	r.update(d)
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

// serve answers until ctx ends.
func (r *router) serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case m := <-r.ring:
			r.handle(time.Now(), m)
		}
	}
}

func (r *router) handle(now time.Time, m routerMessage) {
	switch m.kind {
	case askPick:
		m.picked <- r.pick(now, m.query)
	case tellEnd:
		r.chooser.Finish(now, m.choice, m.end)
	case askRetry:
		m.decision <- r.budget.Next(now, m.try)
	case tellFirst:
		r.budget.First(now)
	case tellReport:
		r.chooser.Report(now, m.report)
	case tellLeaving:
		r.chooser.Leave(m.name, m.incarnation)
	case tellLife:
		r.chooser.Resume(m.name, m.incarnation)
	case tellService:
		r.update(m.document)
	case askRouter:
		m.state <- RouterState{Service: r.service, Targets: len(r.targets), Retries: r.budget.Counts()}
	}
	for _, v := range r.chooser.Violations() {
		r.counts.violated(r.log, v.Invariant, v.Evidence)
	}
}

func (r *router) pick(now time.Time, q target.Query) pick {
	choice, ok := r.chooser.Pick(now, q)
	if !ok {
		return pick{choice: choice}
	}
	t := r.targets[choice.Name]
	return pick{choice: choice, address: t.Address, host: t.Host, ok: true}
}

func (r *router) update(d *document.Document) {
	r.targets = make(map[target.Name]*document.Target, len(d.Targets))
	candidates := make([]target.Candidate, 0, len(d.Targets))
	for i := range d.Targets {
		t := &d.Targets[i]
		r.targets[target.Name(t.Name)] = t
		candidates = append(candidates, target.Candidate{
			Name:       target.Name(t.Name),
			DataCentre: t.DataCentre,
			Weight:     d.ShareOf(t),
			Group:      target.GroupName(t.Group),
			Leaving:    t.Leaving,
		})
	}
	r.chooser.Update(candidates)
}

// tell hands the router a message that needs no answer. A full ring drops it:
// reports and ends come again or age away, and a request must not wait for them.
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
