package trial

import "fmt"

// promise is a property that the trial checks.
type promise string

const (
	answeredOnce           promise = "every request is answered once"
	ownAnswer              promise = "each client receives the whole answer to its own request"
	notRunNeverRan         promise = "what is told to be not run did not run"
	atMostOnce             promise = "a request that may not be repeated runs at most once"
	sameKeySameRequest     promise = "a repeat with its key is the same request, through any entry"
	activeEverywhere       promise = "an applied document is in force everywhere within 11 s"
	neverReverts           promise = "what is in force never reverts"
	leavingGetsNoWork      promise = "a leaving target receives no new work"
	drainCompletesRequests promise = "a graceful shutdown cuts off no request in flight"
	serviceContinues       promise = "what runs goes on while the platform is out or keys are replaced"
	smallWorkspaceServed   promise = "a large workspace does not shut a small one out"
	badInputHarmless       promise = "bad input gets a clear error and no effect"
	noViolation            promise = "no process saw an invariant of its own violated"
)

// promises are all promises in the order of the report.
var promises = []promise{
	answeredOnce, ownAnswer, notRunNeverRan, atMostOnce, sameKeySameRequest,
	activeEverywhere, neverReverts, leavingGetsNoWork,
	drainCompletesRequests, serviceContinues, smallWorkspaceServed, badInputHarmless, noViolation,
}

// breach is one observation that breaks a promise.
type breach struct {
	Stage   string  `json:"stage"`
	Promise promise `json:"promise"`
	Detail  string  `json:"detail"`
}

// check counts a check of a promise, and records a breach unless ok.
func (s *session) check(p promise, ok bool, format string, args ...any) {
	s.checks[p]++
	if !ok {
		s.breaches = append(s.breaches, breach{Stage: s.callers.stage, Promise: p, Detail: fmt.Sprintf(format, args...)})
	}
}

// promiseReports counts checks and breaches by promise.
func (s *session) promiseReports() []PromiseReport {
	reports := make([]PromiseReport, 0, len(promises))
	for _, p := range promises {
		rep := PromiseReport{Promise: string(p), Checked: s.checks[p]}
		for _, b := range s.breaches {
			if b.Promise == p {
				rep.Broken++
			}
		}
		reports = append(reports, rep)
	}
	return reports
}

// checkCalls checks the results of all calls against what the targets ran, and
// the metrics of all processes for violated invariants.
func (s *session) checkCalls() {
	for _, r := range s.callers.allResults() {
		s.callers.beginStage(r.stage)
		if r.outcome != outcomeBroken {
			s.check(answeredOnce, r.outcome != outcomeMissing, "%s: %s", r.kind, r.reason)
		}
		s.check(ownAnswer, r.mismatch == "", "%s", r.mismatch)
		if r.outcome == outcomeNotRun {
			s.check(notRunNeverRan, !s.ran(r), "%s %s ran, its caller was told %s", r.kind, r.id, r.reason)
		}
	}
	s.callers.beginStage("end")
	for _, l := range s.logbook.Logged() {
		s.check(atMostOnce, s.logCount(l.Body) == 1, "%s was logged %d times", l.Body, s.logCount(l.Body))
	}
	for _, line := range s.Violations() {
		s.check(noViolation, false, "%s", line)
	}
	s.checks[noViolation] = len(s.metricSets)
}

// ran reports whether any target ran a call.
func (s *session) ran(r callResult) bool {
	if r.kind == kindLog {
		return s.logCount(r.body) > 0 && !s.ranForSameKey(r)
	}
	for _, t := range s.redaction {
		if r.id != "" && t.Engine.Runs(r.id).Starts > 0 {
			return true
		}
	}
	return false
}

// ranForSameKey reports whether another call with the same key may have run
// instead of this one.
func (s *session) ranForSameKey(r callResult) bool {
	for _, other := range s.callers.allResults() {
		if r.key != "" && other.key == r.key && other.outcome != outcomeNotRun {
			return true
		}
	}
	return false
}

// logCount returns how often the plain service logged an outcome.
func (s *session) logCount(body string) int {
	n := 0
	for _, l := range s.logbook.Logged() {
		if l.Body == body {
			n += l.Count
		}
	}
	return n
}
