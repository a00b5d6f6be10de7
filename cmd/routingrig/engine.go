package main

import (
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/traffic/workspace"
)

const (
	stepBase      = 4500 * time.Microsecond
	stepPerReq    = 120 * time.Microsecond
	stepPerKept   = 100 * time.Nanosecond // for each token of a running request's context
	stepPerPrompt = 10 * time.Microsecond
	cacheTokens   = 24000
	fifoPlaces    = 96 // requests at once, where there is no admission
)

// engine is a target: a batch that runs in steps, and a cache of prefixes.
type engine struct {
	w     *world
	index int
	slow  float64
	fails bool

	queue    *workspace.Queue // nil for first come, first served
	waiting  []*request
	running  []*request
	origin   map[workspace.Ticket]*entry
	byTicket map[workspace.Ticket]*request
	tokens   int64
	ticks    int
	stepping bool
	steps    int
	stepTime time.Duration
	cache    cache
}

func newEngine(w *world, i int) *engine {
	e := &engine{w: w, index: i, slow: 1, origin: map[workspace.Ticket]*entry{}, byTicket: map[workspace.Ticket]*request{}}
	e.cache.room = cacheTokens
	if i < w.sc.slowTargets {
		e.slow = w.sc.slowBy
	}
	e.fails = i < w.sc.failing
	if w.sc.admission {
		e.queue = workspace.New(workspace.Config{})
	}
	return e
}

func (e *engine) load() workspace.Load {
	if e.queue != nil {
		return e.queue.Load()
	}
	per := max(e.stepTime, stepBase).Seconds()
	return workspace.Load{Outstanding: e.tokens, Capacity: fifoPlaces / per, Limit: fifoPlaces}
}

// accept takes a request from an entry.
func (e *engine) accept(from *entry, r *request) {
	if r.done {
		return
	}
	if e.fails {
		e.w.after(5*time.Millisecond, func() { from.failed(e, r) })
		return
	}
	e.origin[r.ticket] = from
	e.byTicket[r.ticket] = r
	e.tokens += r.tokens
	if e.queue == nil {
		e.waiting = append(e.waiting, r)
		e.fill()
		return
	}
	e.apply(e.queue.Handle(e.w.time(), workspace.Event{Kind: workspace.Arrive, Request: workspace.Request{
		Ticket:    r.ticket,
		Workspace: e.w.sc.name(r.workspace),
		Tokens:    r.tokens,
		Deadline:  epoch.Add(r.deadline),
	}}))
}

// fill starts requests in order of arrival.
func (e *engine) fill() {
	for len(e.waiting) > 0 && len(e.running) < fifoPlaces {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.start(r)
	}
}

func (e *engine) apply(actions []workspace.Action) {
	for _, a := range slices.Clone(actions) {
		r := e.byTicket[a.Ticket]
		switch a.Kind {
		case workspace.Start:
			e.start(r)
		case workspace.Refuse:
			from := e.forget(r)
			from.refused(e, r, a.RetryAfter)
		case workspace.SetTimer:
			e.tickAt(a.At)
		case workspace.Violated:
			panic(a.Violation.Invariant + ": " + a.Violation.Evidence)
		}
	}
}

// tickAt schedules a tick in place of the one before.
func (e *engine) tickAt(at time.Time) {
	e.ticks++
	n := e.ticks
	e.w.after(at.Sub(e.w.time()), func() {
		if n == e.ticks {
			e.tell(workspace.Event{Kind: workspace.Tick})
		}
	})
}

func (e *engine) tell(ev workspace.Event) {
	if e.queue != nil {
		e.apply(e.queue.Handle(e.w.time(), ev))
	}
}

func (e *engine) forget(r *request) *entry {
	from := e.origin[r.ticket]
	delete(e.origin, r.ticket)
	delete(e.byTicket, r.ticket)
	e.tokens -= r.tokens
	return from
}

func (e *engine) start(r *request) {
	kept := e.cache.use(r)
	r.read = r.common + r.topic + r.own - kept
	r.given = 0
	e.w.stats.prefix(e.w, r, kept)
	e.running = append(e.running, r)
	if !e.stepping && !e.w.sc.lockstep {
		e.step()
	}
}

// step runs one step of the batch.
func (e *engine) step() {
	if len(e.running) == 0 {
		e.stepping = false
		return
	}
	e.stepping = true
	batch, d := e.plan()
	e.w.after(d, func() {
		e.stepped(batch, d)
		e.step()
	})
}

// lockstep runs the steps of all targets together, as ranks of a group.
func (w *world) lockstep() {
	batches := make([][]*request, len(w.engines))
	var longest, sum time.Duration
	for i, e := range w.engines {
		var d time.Duration
		batches[i], d = e.plan()
		longest = max(longest, d)
		sum += d
	}
	w.stats.skew(w, float64(longest)*float64(len(w.engines))/float64(sum))
	w.after(longest, func() {
		for i, e := range w.engines {
			e.stepped(batches[i], longest)
		}
		w.lockstep()
	})
}

// plan returns the requests of the next step and the time that it takes.
func (e *engine) plan() ([]*request, time.Duration) {
	budget := e.w.sc.chunk
	read, context := 0, 0
	for _, r := range e.running {
		n := min(r.read, budget)
		r.read -= n
		context += r.common + r.topic + r.own - r.read + r.given
		budget -= n
		read += n
	}
	d := stepBase + time.Duration(len(e.running))*stepPerReq + time.Duration(context)*stepPerKept + time.Duration(read)*stepPerPrompt
	return slices.Clone(e.running), time.Duration(float64(d) * e.slow)
}

// stepped ends a step: requests whose prompt is read have one token more.
func (e *engine) stepped(batch []*request, took time.Duration) {
	e.steps++
	if e.stepTime == 0 {
		e.stepTime = took
	}
	e.stepTime += (took - e.stepTime) / 8
	e.w.stats.step(e.w, e.stepTime)
	for _, r := range batch {
		if r.read > 0 || e.byTicket[r.ticket] == nil {
			continue
		}
		r.given++
		if r.given >= r.output {
			from := e.forget(r)
			e.remove(r)
			from.answered(e, r)
			e.tell(workspace.Event{Kind: workspace.Finished, Ticket: r.ticket, Tokens: r.work()})
		}
	}
	if e.steps%10 == 0 {
		e.tell(workspace.Event{Kind: workspace.Step, StepTime: e.stepTime})
	}
	e.fill()
}

// work is what the request turned out to be, as the sidecar can tell at its end.
func (r *request) work() int64 {
	return int64(float64(r.output) + promptCost*float64(r.common+r.topic+r.own))
}

func (e *engine) remove(r *request) {
	if i := slices.Index(e.running, r); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
	}
	if i := slices.Index(e.waiting, r); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
	}
}

// cancel drops a request whose caller went away.
func (e *engine) cancel(r *request) {
	if e.byTicket[r.ticket] == nil {
		return
	}
	ran := slices.Contains(e.running, r)
	e.forget(r)
	e.remove(r)
	if ran {
		e.tell(workspace.Event{Kind: workspace.Finished, Ticket: r.ticket, Failed: true})
	} else {
		e.tell(workspace.Event{Kind: workspace.Cancel, Ticket: r.ticket})
	}
	if e.queue == nil {
		e.fill()
	}
}

// cache keeps the prefixes used last.
type cache struct {
	room int
	used int
	keys []uint64 // least lately used first
	size map[uint64]int
}

// use returns the prompt tokens of the request that are kept, and keeps them all.
func (c *cache) use(r *request) int {
	kept := 0
	if c.touch(r.prefix.Coarse, r.common) {
		kept = r.common
	}
	if c.touch(r.prefix.Fine, r.topic) && kept > 0 {
		kept += r.topic
	}
	return kept
}

func (c *cache) touch(key uint64, tokens int) bool {
	if c.size == nil {
		c.size = map[uint64]int{}
	}
	i := slices.Index(c.keys, key)
	if i >= 0 {
		c.keys = append(slices.Delete(c.keys, i, i+1), key)
		return true
	}
	c.keys = append(c.keys, key)
	c.size[key] = tokens
	c.used += tokens
	for c.used > c.room {
		c.used -= c.size[c.keys[0]]
		delete(c.size, c.keys[0])
		c.keys = c.keys[1:]
	}
	return false
}
