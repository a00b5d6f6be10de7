package workspace

import (
	"cmp"
	"fmt"
	"time"
)

const (
	// Bounds of the retry delay in a refusal.
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// maxTokens bounds the estimated work of a request.
	maxTokens = 1 << 30
)

// Queue admits requests to one target.
type Queue struct {
	cfg         Config
	weights     map[Name]float64 // of Config.Shares
	limiter     limiter
	items       map[Ticket]*item
	foreground  *tier // Normal and High
	background  *tier // Background
	queued      int
	outstanding int64
	leaving     bool
	nextExpiry  time.Time // no queued request expires before this time
	timerAt     time.Time // time of the last tick requested; zero if there is none
	actions     []Action
}

// New returns an empty queue. Zero fields of cfg take their defaults.
func New(cfg Config) *Queue {
	cfg.fill()
	q := &Queue{
		cfg:        cfg,
		weights:    weightsByName(cfg.Shares),
		items:      make(map[Ticket]*item),
		foreground: newTier(),
		background: newTier(),
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
	cfg.InitialTokenTime = cmp.Or(cfg.InitialTokenTime, def.InitialTokenTime)
}

// Configure applies new settings. Queued and running requests are not affected; the
// limit is clamped to its new bounds.
func (q *Queue) Configure(cfg Config) {
	cfg.fill()
	q.cfg = cfg
	q.weights = weightsByName(cfg.Shares)
	q.limiter.limit = min(max(q.limiter.limit, float64(cfg.MinLimit)), float64(cfg.MaxLimit))
}

// Load returns the load that the sidecar reports to the entries.
func (q *Queue) Load() Load {
	return Load{
		Limit:       q.limiter.current(),
		Running:     q.running(),
		Queued:      q.queued,
		Outstanding: q.outstanding,
		Capacity:    q.limiter.capacity(),
	}
}

func (q *Queue) running() int { return q.foreground.running + q.background.running }

// Handle handles one event and returns the actions to carry out, in order. The slice
// is valid until the next call.
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
		q.limiter.observeStep(now, q.running(), ev.StepTime)
	case TargetLeaving:
		q.leaving = true
	case Tick:
		q.refuseLate(now)
	}
	q.dispatch(now)
	q.setTimer(now)
	q.checkInvariants()
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
	wait := q.estimateWait(f, r.Priority)
	it := &item{Request: r, flow: f, maxWaitUntil: now.Add(q.maxWait(r.Deadline.Sub(now)))}
	if late := now.Add(wait).Sub(q.latestStart(it)); late > 0 && !q.mayProbe(now, it) {
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
	q.scheduleExpiry(it)
	if q.queued > q.cfg.QueueLimit {
		q.violate("the queue is bounded", fmt.Sprintf("%d queued, limit %d", q.queued, q.cfg.QueueLimit))
	}
}

func (q *Queue) tier(p Priority) *tier {
	if p == Background {
		return q.background
	}
	return q.foreground
}

func (q *Queue) weight(name Name) float64 {
	if w := q.weights[name]; w > 0 {
		return w
	}
	return q.cfg.Weight
}

func weightsByName(shares []Share) map[Name]float64 {
	weights := make(map[Name]float64, len(shares))
	for _, s := range shares {
		weights[s.Workspace] = s.Weight
	}
	return weights
}

// estimateWait estimates how long a new request of the flow is queued before it starts:
// until the virtual time has reached its tag, but never longer than the target needs
// for all queued requests, since it is never idle while requests are queued.
func (q *Queue) estimateWait(f *flow, p Priority) time.Duration {
	if q.running() < q.limiter.current() && q.queued == 0 {
		return 0
	}
	t := f.tier
	if t == q.background {
		return toDuration(float64(q.foreground.tokens+q.background.tokens) / q.limiter.capacity())
	}
	weights := t.queuedWeights
	if f.index < 0 {
		weights += f.weight
	}
	fairTokens := (f.startTag - t.virtualTime + float64(f.tokensAhead(p))/f.weight) * weights
	return toDuration(max(0, min(fairTokens, float64(t.tokens))) / q.limiter.capacity())
}

// makeRoom refuses the newest request of the workspace with the largest backlog for its
// weight, background requests first. It returns false if that would be the arriving
// request itself.
//
// If a full queue refused every arriving request, a workspace that fills the queue
// would lock out the others.
func (q *Queue) makeRoom(arriving *item) bool {
	f := q.background.largestBacklog()
	if f == nil || arriving.Priority == Background {
		f = q.tier(arriving.Priority).largestBacklog()
	}
	if f == nil || f == arriving.flow {
		return false
	}
	if arriving.Priority != Background && f.tier == q.background {
		q.refuseQueued(f.newest(), QueueFull)
		return true
	}
	backlogAfter := float64(arriving.flow.tokens+arriving.Tokens) / arriving.flow.weight
	if f.backlog() <= backlogAfter {
		return false
	}
	q.refuseQueued(f.newest(), QueueFull)
	return true
}

// refuseQueued removes a queued request and refuses it with the current estimate of the
// wait as the retry delay.
func (q *Queue) refuseQueued(it *item, reason Reason) {
	q.removeQueued(it)
	q.refuse(it.Ticket, reason, q.estimateWait(it.flow, it.Priority))
}

// removeQueued removes a queued request from its flow and from the queue.
func (q *Queue) removeQueued(it *item) {
	it.flow.tier.remove(it)
	q.queued--
	q.outstanding -= it.Tokens
	delete(q.items, it.Ticket)
}

func (q *Queue) refuse(t Ticket, reason Reason, after time.Duration) {
	after = min(max(after, minRetryAfter), maxRetryAfter)
	q.actions = append(q.actions, Action{Kind: Refuse, Ticket: t, Reason: reason, RetryAfter: after})
}

// finished handles the end of a running request. The end of an unknown request, for
// example a second end of the same one, is ignored.
func (q *Queue) finished(now time.Time, ev Event) {
	it, ok := q.items[ev.Ticket]
	if !ok || !it.running {
		return
	}
	delete(q.items, ev.Ticket)
	q.outstanding -= it.Tokens
	running := q.running()
	it.flow.tier.finish(it, ev.Tokens)
	if ev.Failed {
		return
	}
	tokens := cmp.Or(max(0, ev.Tokens), it.Tokens)
	q.limiter.observeCall(now, running, now.Sub(it.started), tokens)
}

// cancel removes a queued request. A running request ends with Finished when the target
// has stopped it: until then it counts against the limit.
func (q *Queue) cancel(t Ticket) {
	it, ok := q.items[t]
	if !ok || it.running {
		return
	}
	q.removeQueued(it)
}

// dispatch starts queued requests up to the limit and refuses those that are too late.
func (q *Queue) dispatch(now time.Time) {
	for {
		it := q.next()
		if it == nil {
			break
		}
		if q.tooLate(now, it) && !q.mayProbe(now, it) {
			q.refuseQueued(it, DeadlineTooClose)
			continue
		}
		q.start(now, it)
	}
	maxFlows := 2*q.cfg.QueueLimit + q.cfg.MaxLimit
	q.foreground.removeIdleFlows(maxFlows)
	q.background.removeIdleFlows(maxFlows)
}

// next returns the request to start now, or nil.
func (q *Queue) next() *item {
	limit := q.limiter.current()
	if q.running() >= limit {
		return nil
	}
	if len(q.foreground.heap) > 0 {
		return q.foreground.heap[0].first()
	}
	if len(q.background.heap) > 0 && q.background.running < q.backgroundLimit() {
		return q.background.heap[0].first()
	}
	return nil
}

// backgroundLimit returns how many background requests may run at once. Running requests
// aren't preempted, so without this limit a lull would fill the target with background
// requests and the next other request would wait until one of them ends.
func (q *Queue) backgroundLimit() int {
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
