package trial

import "fmt"

// promise is what the trial holds a deployment to.
type promise string

const (
	answeredOnce      promise = "every request is answered once"
	ownAnswer         promise = "each client receives the whole answer to its own request"
	notRunTrue        promise = "what is told to be not run did not run"
	atMostOnce        promise = "a request that may not be repeated runs at most once"
	sameRequest       promise = "a repeat with its key is the same request, through any entry"
	inForceEverywhere promise = "an applied document is in force everywhere within 11 s"
	neverReverts      promise = "what is in force never reverts"
	leavingUntouched  promise = "a leaving target receives no new work"
	nothingCut        promise = "a graceful shutdown cuts off no request in flight"
	goesOn            promise = "what runs goes on while the platform is out or keys are replaced"
	smallServed       promise = "a large workspace does not shut a small one out"
	badInputHarmless  promise = "bad input gets a clear error and no effect"
	noViolation       promise = "no process saw an invariant of its own violated"
)

// promises are all of them, in the order of the report.
var promises = []promise{
	answeredOnce, ownAnswer, notRunTrue, atMostOnce, sameRequest,
	inForceEverywhere, neverReverts, leavingUntouched,
	nothingCut, goesOn, smallServed, badInputHarmless, noViolation,
}

// breach is a promise that the trial saw broken.
type breach struct {
	Stage   string  `json:"stage"`
	Promise promise `json:"promise"`
	Detail  string  `json:"detail"`
}

// check notes that a promise was looked at, and a breach unless it was kept.
func (s *session) check(p promise, kept bool, format string, args ...any) {
	s.checked[p]++
	if !kept {
		s.breaches = append(s.breaches, breach{Stage: s.callers.stage, Promise: p, Detail: fmt.Sprintf(format, args...)})
	}
}

// promiseReports counts checks and breaches by promise.
func (s *session) promiseReports() []PromiseReport {
	reports := make([]PromiseReport, 0, len(promises))
	for _, p := range promises {
		rep := PromiseReport{Promise: string(p), Checked: s.checked[p]}
		for _, b := range s.breaches {
			if b.Promise == p {
				rep.Broken++
			}
		}
		reports = append(reports, rep)
	}
	return reports
}

// checkCalls holds all calls against the promises, by what the targets ran.
func (s *session) checkCalls() {
	for _, r := range s.callers.all() {
		s.callers.begin(r.stage)
		if r.outcome != outcomeBroken {
			s.check(answeredOnce, r.outcome != outcomeMissing, "%s: %s", r.kind, r.reason)
		}
		s.check(ownAnswer, r.wrong == "", "%s", r.wrong)
		if r.outcome == outcomeNotRun {
			s.check(notRunTrue, !s.ran(r), "%s %s ran, its caller was told %s", r.kind, r.id, r.reason)
		}
	}
	s.callers.begin("end")
	for _, l := range s.logbook.Logged() {
		s.check(atMostOnce, s.logged(l.Body) == 1, "%s was logged %d times", l.Body, s.logged(l.Body))
	}
	for _, line := range s.Violations() {
		s.check(noViolation, false, "%s", line)
	}
	s.checked[noViolation] = len(s.sets)
}

// ran tells whether any target ran a call.
func (s *session) ran(r callResult) bool {
	if r.kind == kindLog {
		return s.logged(r.body) > 0 && !s.ranForAnother(r)
	}
	for _, t := range s.redaction {
		if r.id != "" && t.Engine.Runs(r.id).Starts > 0 {
			return true
		}
	}
	return false
}

// ranForAnother tells whether a call with the same key may have run in the
// place of this one.
func (s *session) ranForAnother(r callResult) bool {
	for _, other := range s.callers.all() {
		if r.key != "" && other.key == r.key && other.outcome != outcomeNotRun {
			return true
		}
	}
	return false
}

// logged returns how often the plain service logged an outcome.
func (s *session) logged(body string) int {
	n := 0
	for _, l := range s.logbook.Logged() {
		if l.Body == body {
			n += l.Count
		}
	}
	return n
}
