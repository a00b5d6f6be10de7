package main

import (
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/traffic/workspace"
)

const (
	stepBase       = 4500 * time.Microsecond
	stepPerRequest = 120 * time.Microsecond
	stepPerContext = 100 * time.Nanosecond // for each token of a running request's context
	stepPerPrompt  = 10 * time.Microsecond
	cacheTokens    = 24000
	fifoSlots      = 96 // concurrent requests where there is no admission
)

// engine is a target: it runs a batch in steps and caches prompt prefixes.
type engine struct {
	w        *world
	index    int
	slowdown float64
	failing  bool

	queue       *workspace.Queue // nil if requests start in order of arrival
	waiting     []*request       // used without a queue
	running     []*request
	senders     map[workspace.Ticket]*entry // entries that wait for the outcomes
	byTicket    map[workspace.Ticket]*request
	outstanding int64 // estimated work of all requests at the engine
	timers      int   // timers set so far; only the last one is valid
	stepping    bool
	steps       int
	stepTime    time.Duration
	cache       cache
}

func newEngine(w *world, i int) *engine {
	e := &engine{w: w, index: i, slowdown: 1, senders: map[workspace.Ticket]*entry{}, byTicket: map[workspace.Ticket]*request{}}
	e.cache.capacity = cacheTokens
	if i < w.sc.slowTargets {
		e.slowdown = w.sc.slowdown
	}
	e.failing = i < w.sc.failingTargets
	if w.sc.admission {
		e.queue = workspace.New(workspace.Config{})
	}
	return e
}

// load returns the load that the engine reports to the entries.
func (e *engine) load() workspace.Load {
	if e.queue != nil {
		return e.queue.Load()
	}
	per := max(e.stepTime, stepBase).Seconds()
	return workspace.Load{Outstanding: e.outstanding, Capacity: fifoSlots / per, Limit: fifoSlots}
}

// accept handles a request that arrives from an entry. A failing engine reports
// the failure after 5 ms.
func (e *engine) accept(from *entry, r *request) {
	if r.ended {
		return
	}
	if e.failing {
		e.w.after(5*time.Millisecond, func() { from.failed(e, r) })
		return
	}
	e.senders[r.ticket] = from
	e.byTicket[r.ticket] = r
	e.outstanding += r.estimate
	if e.queue == nil {
		e.waiting = append(e.waiting, r)
		e.fill()
		return
	}
	e.apply(e.queue.Handle(e.w.time(), workspace.Event{Kind: workspace.Arrive, Request: workspace.Request{
		Ticket:    r.ticket,
		Workspace: e.w.sc.name(r.workspace),
		Tokens:    r.estimate,
		Deadline:  epoch.Add(r.deadline),
	}}))
}

// fill starts waiting requests in order of arrival while slots are free.
func (e *engine) fill() {
	for len(e.waiting) > 0 && len(e.running) < fifoSlots {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.start(r)
	}
}

// apply carries out the actions of the queue.
func (e *engine) apply(actions []workspace.Action) {
	for _, a := range slices.Clone(actions) {
		r := e.byTicket[a.Ticket]
		switch a.Kind {
		case workspace.Start:
			e.start(r)
		case workspace.Refuse:
			from := e.unregister(r)
			from.refused(e, r, a.RetryAfter)
		case workspace.SetTimer:
			e.setTimer(a.At)
		case workspace.Violated:
			panic(a.Violation.Invariant + ": " + a.Violation.Evidence)
		}
	}
}

// setTimer schedules a tick of the queue, which replaces the tick scheduled before.
func (e *engine) setTimer(at time.Time) {
	e.timers++
	timer := e.timers
	e.w.after(at.Sub(e.w.time()), func() {
		if timer == e.timers {
			e.handle(workspace.Event{Kind: workspace.Tick})
		}
	})
}

// handle passes an event to the queue, if there is one.
func (e *engine) handle(ev workspace.Event) {
	if e.queue != nil {
		e.apply(e.queue.Handle(e.w.time(), ev))
	}
}

// unregister drops a request from the engine's maps and returns the entry that sent
// it.
func (e *engine) unregister(r *request) *entry {
	from := e.senders[r.ticket]
	delete(e.senders, r.ticket)
	delete(e.byTicket, r.ticket)
	e.outstanding -= r.estimate
	return from
}

// start adds a request to the batch.
func (e *engine) start(r *request) {
	cached := e.cache.use(r)
	r.unread = r.common + r.topic + r.own - cached
	r.generated = 0
	e.w.stats.prefix(e.w, r, cached)
	e.running = append(e.running, r)
	if !e.stepping && !e.w.sc.lockstep {
		e.step()
	}
}

// step runs one step of the batch and then the next ones, until the batch is empty.
func (e *engine) step() {
	if len(e.running) == 0 {
		e.stepping = false
		return
	}
	e.stepping = true
	batch, d := e.nextBatch()
	e.w.after(d, func() {
		e.endStep(batch, d)
		e.step()
	})
}

// runLockstep runs the steps of all targets together, as ranks of a group.
func (w *world) runLockstep() {
	batches := make([][]*request, len(w.engines))
	var longest, sum time.Duration
	for i, e := range w.engines {
		var d time.Duration
		batches[i], d = e.nextBatch()
		longest = max(longest, d)
		sum += d
	}
	w.stats.skew(w, float64(longest)*float64(len(w.engines))/float64(sum))
	w.after(longest, func() {
		for i, e := range w.engines {
			e.endStep(batches[i], longest)
		}
		w.runLockstep()
	})
}

// nextBatch returns the requests of the next step and the time that the step takes.
func (e *engine) nextBatch() ([]*request, time.Duration) {
	budget := e.w.sc.chunk
	read, context := 0, 0
	for _, r := range e.running {
		n := min(r.unread, budget)
		r.unread -= n
		context += r.common + r.topic + r.own - r.unread + r.generated
		budget -= n
		read += n
	}
	d := stepBase + time.Duration(len(e.running))*stepPerRequest + time.Duration(context)*stepPerContext + time.Duration(read)*stepPerPrompt
	return slices.Clone(e.running), time.Duration(float64(d) * e.slowdown)
}

// endStep ends a step: each request whose prompt has been read has generated one
// more token.
func (e *engine) endStep(batch []*request, took time.Duration) {
	e.steps++
	if e.stepTime == 0 {
		e.stepTime = took
	}
	e.stepTime += (took - e.stepTime) / 8
	e.w.stats.step(e.w, e.stepTime)
	for _, r := range batch {
		if r.unread > 0 || e.byTicket[r.ticket] == nil {
			continue
		}
		r.generated++
		if r.generated >= r.output {
			from := e.unregister(r)
			e.remove(r)
			from.answered(e, r)
			e.handle(workspace.Event{Kind: workspace.Finished, Ticket: r.ticket, Tokens: r.work()})
		}
	}
	if e.steps%10 == 0 {
		e.handle(workspace.Event{Kind: workspace.Step, StepTime: e.stepTime})
	}
	e.fill()
}

// work returns the work of the request that its sidecar knows at the end.
func (r *request) work() int64 {
	return int64(float64(r.output) + promptCost*float64(r.common+r.topic+r.own))
}

// remove drops a request from the batch and from those that wait.
func (e *engine) remove(r *request) {
	if i := slices.Index(e.running, r); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
	}
	if i := slices.Index(e.waiting, r); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
	}
}

// cancel drops a request whose caller has disconnected.
func (e *engine) cancel(r *request) {
	if e.byTicket[r.ticket] == nil {
		return
	}
	ran := slices.Contains(e.running, r)
	e.unregister(r)
	e.remove(r)
	if ran {
		e.handle(workspace.Event{Kind: workspace.Finished, Ticket: r.ticket, Failed: true})
	} else {
		e.handle(workspace.Event{Kind: workspace.Cancel, Ticket: r.ticket})
	}
	if e.queue == nil {
		e.fill()
	}
}

// cache holds the most recently used prefixes, with room for a number of tokens.
type cache struct {
	capacity int
	used     int
	keys     []uint64 // least recently used first
	tokens   map[uint64]int
}

// use returns how many of the request's prompt tokens are cached, and caches all
// prefixes of the prompt.
func (c *cache) use(r *request) int {
	cached := 0
	if c.touch(r.prefix.Coarse, r.common) {
		cached = r.common
	}
	if c.touch(r.prefix.Fine, r.topic) && cached > 0 {
		cached += r.topic
	}
	return cached
}

// touch reports whether a prefix is cached. It makes the prefix the most recently
// used one, and evicts others if it had to be added.
func (c *cache) touch(key uint64, tokens int) bool {
	if c.tokens == nil {
		c.tokens = map[uint64]int{}
	}
	i := slices.Index(c.keys, key)
	if i >= 0 {
		c.keys = append(slices.Delete(c.keys, i, i+1), key)
		return true
	}
	c.keys = append(c.keys, key)
	c.tokens[key] = tokens
	c.used += tokens
	for c.used > c.capacity {
		c.used -= c.tokens[c.keys[0]]
		delete(c.tokens, c.keys[0])
		c.keys = c.keys[1:]
	}
	return false
}
