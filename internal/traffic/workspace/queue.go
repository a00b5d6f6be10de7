package workspace

import (
	"cmp"
	"fmt"
	"time"
)

const (
	// The bounds of the hint when to come back.
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// maxTokens bounds the work that a request may claim to be.
	maxTokens = 1 << 30
)

// Queue admits requests to one target.
type Queue struct {
	cfg         Config
	weights     map[Name]float64 // from Config.Shares
	limiter     limiter
	items       map[Ticket]*item
	front       *tier // Normal and High
	back        *tier // Background
	queued      int
	outstanding int64
	leaving     bool
	expiry      time.Time // no queued request has to be refused before
	timer       time.Time // last one asked for
	actions     []Action
}

// New returns an empty queue. Zero fields of cfg take their defaults.
func New(cfg Config) *Queue {
	cfg.fill()
	q := &Queue{
		cfg:     cfg,
		weights: weightsOf(cfg.Shares),
		items:   make(map[Ticket]*item),
		front:   newTier(),
		back:    newTier(),
	}
	q.limiter = newLimiter(&q.cfg)
	return q
}

func (cfg *Config) fill() {
	def := DefaultConfig()
	cfg.MinLimit = max(1, cmp.Or(cfg.MinLimit, def.MinLimit))
	cfg.MaxLimit = max(cfg.MinLimit, cmp.Or(cfg.MaxLimit, def.MaxLimit))
	cfg.FirstLimit = min(max(cmp.Or(cfg.FirstLimit, def.FirstLimit), cfg.MinLimit), cfg.MaxLimit)
	cfg.StepTarget = cmp.Or(cfg.StepTarget, def.StepTarget)
	cfg.SlowFactor = cmp.Or(cfg.SlowFactor, def.SlowFactor)
	cfg.QueueLimit = cmp.Or(cfg.QueueLimit, def.QueueLimit)
	cfg.Weight = cmp.Or(cfg.Weight, def.Weight)
	cfg.BackgroundPart = cmp.Or(cfg.BackgroundPart, def.BackgroundPart)
	cfg.WaitPart = cmp.Or(cfg.WaitPart, def.WaitPart)
	cfg.ServiceMargin = cmp.Or(cfg.ServiceMargin, def.ServiceMargin)
	cfg.FirstPerToken = cmp.Or(cfg.FirstPerToken, def.FirstPerToken)
}

// Configure takes new settings. Requests that wait or run keep their place; the
// limit moves into its new bounds.
func (q *Queue) Configure(cfg Config) {
	cfg.fill()
	q.cfg = cfg
	q.weights = weightsOf(cfg.Shares)
	q.limiter.limit = min(max(q.limiter.limit, float64(cfg.MinLimit)), float64(cfg.MaxLimit))
}

// Load returns what the sidecar reports to the entries.
func (q *Queue) Load() Load {
	return Load{
		Limit:       q.limiter.current(),
		Running:     q.running(),
		Queued:      q.queued,
		Outstanding: q.outstanding,
		Capacity:    q.limiter.capacity(),
	}
}

func (q *Queue) running() int { return q.front.running + q.back.running }

// Handle takes one event and returns what is to be done, in order. The slice is
// valid until the next call.
func (q *Queue) Handle(now time.Time, ev Event) []Action {
	q.actions = q.actions[:0]
	switch ev.Kind {
	case Arrive:
		q.arrive(now, ev.Request)
	case Finished:
		q.finished(now, ev)
	case Cancel:
		q.cancel(ev.Ticket)
	case Step:
		q.limiter.step(now, q.running(), ev.StepTime)
	case Leave:
		q.leaving = true
	case Tick:
		q.expire(now)
	}
	q.dispatch(now)
	q.setTimer(now)
	q.check()
	return q.actions
}

func (q *Queue) arrive(now time.Time, r Request) {
	if _, used := q.items[r.Ticket]; used || r.Tokens < 1 || r.Tokens > maxTokens {
		q.refuse(r.Ticket, Malformed, maxRetryAfter)
		return
	}
	if q.leaving {
		q.refuse(r.Ticket, Leaving, maxRetryAfter)
		return
	}
	t := q.tier(r.Priority)
	f := t.flow(r.Workspace, q.weight(r.Workspace))
	wait := q.wait(f, r.Priority)
	it := &item{Request: r, flow: f, patience: now.Add(q.patience(r.Deadline.Sub(now)))}
	if late := now.Add(wait).Sub(q.latest(it)); late > 0 && !q.mayTry(now, it) {
		q.refuse(r.Ticket, DeadlineTooClose, late)
		return
	}
	if q.queued >= q.cfg.QueueLimit && !q.makeRoom(it) {
		q.refuse(r.Ticket, QueueFull, wait)
		return
	}
	q.items[r.Ticket] = it
	q.queued++
	q.outstanding += r.Tokens
	t.push(it)
	q.expectExpiry(it)
	if q.queued > q.cfg.QueueLimit {
		q.violate("the queue is bounded", fmt.Sprintf("%d queued, limit %d", q.queued, q.cfg.QueueLimit))
	}
}

func (q *Queue) tier(p Priority) *tier {
	if p == Background {
		return q.back
	}
	return q.front
}

func (q *Queue) weight(name Name) float64 {
	if w := q.weights[name]; w > 0 {
		return w
	}
	return q.cfg.Weight
}

func weightsOf(shares []Share) map[Name]float64 {
	weights := make(map[Name]float64, len(shares))
	for _, s := range shares {
		weights[s.Workspace] = s.Weight
	}
	return weights
}

// wait estimates how long a new request of the flow waits before it starts. It
// waits until the virtual time has reached its tag; but never longer than all
// that is queued takes, since the target doesn't idle.
func (q *Queue) wait(f *flow, p Priority) time.Duration {
	if q.running() < q.limiter.current() && q.queued == 0 {
		return 0
	}
	t := f.tier
	if t == q.back {
		return seconds(float64(q.front.tokens+q.back.tokens) / q.limiter.capacity())
	}
	weights := t.weights
	if f.index < 0 {
		weights += f.weight
	}
	fair := (f.tag - t.virtual + float64(f.ahead(p))/f.weight) * weights
	return seconds(max(0, min(fair, float64(t.tokens))) / q.limiter.capacity())
}

// makeRoom gives up the newest request of the workspace with the largest backlog
// for its weight, background requests first. It returns false if that
// would be the arriving request itself.
//
// Refusing whatever arrives at a full queue would let a workspace that fills it
// lock out the others.
func (q *Queue) makeRoom(arriving *item) bool {
	f := q.back.largest()
	if f == nil || arriving.Priority == Background {
		f = q.tier(arriving.Priority).largest()
	}
	if f == nil || f == arriving.flow {
		return false
	}
	if arriving.Priority != Background && f.tier == q.back {
		q.giveUp(f.newest(), QueueFull)
		return true
	}
	after := float64(arriving.flow.tokens+arriving.Tokens) / arriving.flow.weight
	if f.backlog() <= after {
		return false
	}
	q.giveUp(f.newest(), QueueFull)
	return true
}

// giveUp refuses a request that waits.
func (q *Queue) giveUp(it *item, reason Reason) {
	q.drop(it)
	q.refuse(it.Ticket, reason, q.wait(it.flow, it.Priority))
}

// drop takes a request that waits out of the queue.
func (q *Queue) drop(it *item) {
	it.flow.tier.remove(it)
	q.queued--
	q.outstanding -= it.Tokens
	delete(q.items, it.Ticket)
}

func (q *Queue) refuse(t Ticket, reason Reason, after time.Duration) {
	after = min(max(after, minRetryAfter), maxRetryAfter)
	q.actions = append(q.actions, Action{Kind: Refuse, Ticket: t, Reason: reason, RetryAfter: after})
}

// finished takes the end of a running request. The end of one that is not known,
// a second end for example, changes nothing.
func (q *Queue) finished(now time.Time, ev Event) {
	it, ok := q.items[ev.Ticket]
	if !ok || !it.running {
		return
	}
	delete(q.items, ev.Ticket)
	q.outstanding -= it.Tokens
	running := q.running()
	it.flow.tier.ended(it, ev.Tokens)
	if ev.Failed {
		return
	}
	tokens := cmp.Or(max(0, ev.Tokens), it.Tokens)
	q.limiter.call(now, running, now.Sub(it.started), tokens)
}

// cancel ends a request that waits. One that runs ends when the target has
// stopped it, by Finished: until then it takes up a place there.
func (q *Queue) cancel(t Ticket) {
	it, ok := q.items[t]
	if !ok || it.running {
		return
	}
	q.drop(it)
}

// dispatch starts requests up to the limit.
func (q *Queue) dispatch(now time.Time) {
	for {
		it := q.next()
		if it == nil {
			break
		}
		if q.tooLate(now, it) && !q.mayTry(now, it) {
			q.giveUp(it, DeadlineTooClose)
			continue
		}
		q.start(now, it)
	}
	most := 2*q.cfg.QueueLimit + q.cfg.MaxLimit
	q.front.sweep(most)
	q.back.sweep(most)
}

// next returns the request to start now, or nil.
func (q *Queue) next() *item {
	limit := q.limiter.current()
	if q.running() >= limit {
		return nil
	}
	if len(q.front.heap) > 0 {
		return q.front.heap[0].first()
	}
	if len(q.back.heap) > 0 && q.back.running < q.backLimit() {
		return q.back.heap[0].first()
	}
	return nil
}

// backLimit returns how many background requests may run at once. Requests that
// run aren't taken back, so without it a lull would fill the target with them and
// the next request would wait for one to end.
func (q *Queue) backLimit() int {
	return max(1, int(q.cfg.BackgroundPart*float64(q.limiter.current())))
}

func (q *Queue) start(now time.Time, it *item) {
	if q.running() >= q.limiter.current() {
		q.violate("no more requests run than the limit", fmt.Sprintf("%d run, limit %d", q.running(), q.limiter.current()))
	}
	it.flow.tier.serve(it)
	q.queued--
	it.running = true
	it.started = now
	q.actions = append(q.actions, Action{Kind: Start, Ticket: it.Ticket})
}
