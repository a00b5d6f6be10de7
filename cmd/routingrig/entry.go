package main

import (
	"math/rand/v2"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/traffic/retry"
	"wagtailshelf.example/wagtailshelf/internal/traffic/target"
)

// entry takes requests and sends them to targets.
type entry struct {
	w      *world
	index  int
	policy policy
	budget *retry.Budget
}

func newEntry(w *world, i int) *entry {
	rnd := rand.New(rand.NewPCG(w.sc.seed, uint64(100+i)))
	return &entry{
		w:      w,
		index:  i,
		policy: w.sc.policy(w, i, rnd),
		budget: retry.NewBudget(epoch, retry.Config{}, rnd),
	}
}

// way is the time from an entry to a target.
func (e *entry) way(to *engine) time.Duration {
	if dataCentre(e.index) == dataCentre(to.index) {
		return 250 * time.Microsecond
	}
	return 1500 * time.Microsecond
}

func (e *entry) accept(r *request) {
	e.w.stats.arrived(e.w, r)
	e.budget.First(string(e.w.sc.name(r.workspace)))
	e.attempt(r)
}

func (e *entry) attempt(r *request) {
	if r.done {
		return
	}
	i, ok := e.policy.pick(r)
	if !ok {
		e.end(r, refusedEnd)
		return
	}
	r.attempts++
	e.w.stats.attempt(e.w, r)
	to := e.w.engines[i]
	if r.attempts == 1 {
		e.w.after(r.deadline-e.w.now, func() { e.expire(r) })
	}
	r.tried = append(r.tried, targetName(i))
	e.w.after(e.way(to), func() { to.accept(e, r) })
}

// expire ends a request whose caller has waited long enough.
func (e *entry) expire(r *request) {
	if r.done {
		return
	}
	i := indexOf(r.tried[len(r.tried)-1])
	e.policy.finish(i, r, target.End{Kind: target.Failed})
	e.end(r, lateEnd)
	e.w.after(e.way(e.w.engines[i]), func() { e.w.engines[i].cancel(r) })
}

func (e *entry) answered(from *engine, r *request) {
	e.w.after(e.way(from), func() {
		if r.done {
			return
		}
		e.policy.finish(from.index, r, target.End{Kind: target.Answered})
		e.end(r, answeredEnd)
	})
}

func (e *entry) refused(from *engine, r *request, after time.Duration) {
	e.w.after(e.way(from), func() {
		if r.done {
			return
		}
		e.policy.finish(from.index, r, target.End{Kind: target.Declined, RetryAfter: after})
		e.again(r)
	})
}

func (e *entry) failed(from *engine, r *request) {
	e.w.after(e.way(from), func() {
		if r.done {
			return
		}
		e.policy.finish(from.index, r, target.End{Kind: target.Failed})
		e.again(r)
	})
}

// again tries the request at another target if the scenario's retries allow it.
func (e *entry) again(r *request) {
	switch e.w.sc.retries {
	case budgetRetries:
		d := e.budget.Next(e.w.time(), retry.Try{Workspace: string(e.w.sc.name(r.workspace)), Attempts: r.attempts, Deadline: epoch.Add(r.deadline), Need: time.Second})
		if d.Verdict == retry.Allowed {
			e.w.after(d.Wait, func() { e.attempt(r) })
			return
		}
	case alwaysRetries:
		if r.attempts < 3 {
			e.attempt(r)
			return
		}
	}
	e.end(r, refusedEnd)
}

func (e *entry) end(r *request, how endKind) {
	r.done = true
	e.w.stats.end(e.w, r, how)
}
