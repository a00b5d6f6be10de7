package main

import (
	"math/rand/v2"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/traffic/retry"
	"wagtailshelf.example/wagtailshelf/internal/traffic/target"
)

// entry accepts requests and sends them to targets.
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

// networkDelay returns the one-way delay between an entry and a target.
func (e *entry) networkDelay(to *engine) time.Duration {
	if dataCentre(e.index) == dataCentre(to.index) {
		return 250 * time.Microsecond
	}
	return 1500 * time.Microsecond
}

// accept handles a new request.
func (e *entry) accept(r *request) {
	e.w.stats.arrived(e.w, r)
	e.budget.FirstAttempt(string(e.w.sc.name(r.workspace)))
	e.attempt(r)
}

// attempt sends a request to a target that it has not tried, and refuses it if
// there is none.
func (e *entry) attempt(r *request) {
	if r.ended {
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
	e.w.after(e.networkDelay(to), func() { to.accept(e, r) })
}

// expire ends a request at its deadline and cancels it at its target.
func (e *entry) expire(r *request) {
	if r.ended {
		return
	}
	i := indexOf(r.tried[len(r.tried)-1])
	e.policy.finish(i, r, target.End{Kind: target.Failed})
	e.end(r, lateEnd)
	e.w.after(e.networkDelay(e.w.engines[i]), func() { e.w.engines[i].cancel(r) })
}

// answered handles a complete answer.
func (e *entry) answered(from *engine, r *request) {
	e.w.after(e.networkDelay(from), func() {
		if r.ended {
			return
		}
		e.policy.finish(from.index, r, target.End{Kind: target.Answered})
		e.end(r, answeredEnd)
	})
}

// refused handles a refusal, which asks for a delay before the next request.
func (e *entry) refused(from *engine, r *request, after time.Duration) {
	e.w.after(e.networkDelay(from), func() {
		if r.ended {
			return
		}
		e.policy.finish(from.index, r, target.End{Kind: target.Declined, RetryAfter: after})
		e.retry(r)
	})
}

// failed handles a failed attempt.
func (e *entry) failed(from *engine, r *request) {
	e.w.after(e.networkDelay(from), func() {
		if r.ended {
			return
		}
		e.policy.finish(from.index, r, target.End{Kind: target.Failed})
		e.retry(r)
	})
}

// retry sends the request to another target if the scenario's retries allow it, and
// refuses it otherwise.
func (e *entry) retry(r *request) {
	switch e.w.sc.retries {
	case budgetRetries:
		d := e.budget.Next(e.w.time(), retry.Attempt{Workspace: string(e.w.sc.name(r.workspace)), Attempts: r.attempts, Deadline: epoch.Add(r.deadline), AttemptTime: time.Second})
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

// end records the end of a request.
func (e *entry) end(r *request, kind endKind) {
	r.ended = true
	e.w.stats.end(e.w, r, kind)
}
