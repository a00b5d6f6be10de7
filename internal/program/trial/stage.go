package trial

import (
	"context"
	"sync"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/standin/engine"
	"wagtailshelf.example/wagtailshelf/internal/standin/service"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

const (
	callsPerStage = 24
	draftTokens   = 24

	documentChangeCount = 4
	leavingBound        = 2 * time.Second // a leaving target gets no new request after this
	readyBound          = 10 * time.Second
)

// stage is one part of the trial: its name, a description, and the function that
// runs it.
type stage struct {
	name string
	doc  string
	run  func(s *session, ctx context.Context) error
}

// stages are run in this order, each on the deployment in the state in which the
// previous stage left it.
var stages = []stage{
	{
		name: "morning",
		doc:  "drafts, call lists and logged outcomes, all targets well",
		run:  (*session).mixedCalls,
	},
	{
		name: "documentChanged",
		doc:  "the document changes several times while drafts stream",
		run:  (*session).changeDocuments,
	},
	{
		name: "sidecarKilled",
		doc:  "a sidecar dies while drafts stream through it, and starts again",
		run:  (*session).killSidecar,
	},
	{
		name: "connectionSilent",
		doc:  "the open connections of an entry swallow all packets; new ones work",
		run:  (*session).silenceConnections,
	},
	{
		name: "engineBreaks",
		doc:  "an engine closes its streams half-way",
		run:  (*session).breakStreams,
	},
	{
		name: "engineStalls",
		doc:  "an engine makes no more steps, and its streams neither move nor break",
		run:  (*session).stallEngine,
	},
	{
		name: "answerLost",
		doc:  "the agenda logs an outcome and loses its answer",
		run:  (*session).loseAnswers,
	},
	{
		name: "callsRepeated",
		doc:  "outcomes are logged with a key, and again through another entry",
		run:  (*session).repeatCalls,
	},
	{
		name: "keysReplaced",
		doc:  "all certificates and their authority are replaced while drafts stream",
		run:  (*session).replaceKeys,
	},
	{
		name: "largeWorkspace",
		doc:  "a large workspace asks for far more than the engines can do, a small one for little",
		run:  (*session).floodTargets,
	},
	{
		name: "badInput",
		doc:  "unknown services, routes, workspaces, and bodies over the bound",
		run:  (*session).sendBadInput,
	},
	{
		name: "twoAtOnce",
		doc:  "connections go silent while an engine closes its streams",
		run:  (*session).failTwoAtOnce,
	},
	{
		name: "targetLeaves",
		doc:  "the document says that a target is leaving",
		run:  (*session).markTargetLeaving,
	},
	{
		name: "platformOut",
		doc:  "the platform refuses all calls: drafts go on, calls with a key are refused",
		run:  (*session).platformOutage,
	},
	{
		name: "sidecarDrained",
		doc:  "a sidecar is asked to stop while drafts stream through it",
		run:  (*session).drainSidecar,
	},
	{
		name: "entryKilled",
		doc:  "an entry dies while outcomes are logged through it; callers repeat them elsewhere",
		run:  (*session).killEntry,
	},
	{
		name: "entryDrained",
		doc:  "an entry is asked to stop while drafts stream through it",
		run:  (*session).drainEntry,
	},
}

// session is a deployment with its callers and the checks of the trial.
type session struct {
	*Deployment
	callers         *callers
	blackholes      *blackholes
	redaction       []*Target
	agenda          []*Target
	logbook         *service.Service
	lastNumber      int
	checks          map[promise]int
	breaches        []breach
	documentNumbers map[documentKey]uint64 // of the active documents at the last check
}

// nextNumber returns the number of the next call.
func (s *session) nextNumber() int {
	s.lastNumber++
	return s.lastNumber
}

// concurrently runs n calls at the same time and waits for all of them.
func (s *session) concurrently(n int, call func(i, number int) callResult) []callResult {
	results := make([]callResult, n)
	var wg sync.WaitGroup
	for i := range n {
		number := s.nextNumber()
		wg.Go(func() { results[i] = call(i, number) })
	}
	wg.Wait()
	return results
}

// drafts requests n drafts at the same time, spread over all entries.
func (s *session) drafts(ctx context.Context, n int) []callResult {
	return s.concurrently(n, func(i, number int) callResult {
		return s.callers.draft(ctx, s.Entries[i%len(s.Entries)].Addr(), number, draftTokens)
	})
}

// mixedCalls makes drafts, lists and logged outcomes at the same time.
func (s *session) mixedCalls(ctx context.Context) error {
	s.concurrently(callsPerStage, func(i, number int) callResult {
		entry := s.Entries[i%len(s.Entries)].Addr()
		switch i % 3 {
		case 0:
			return s.callers.draft(ctx, entry, number, draftTokens)
		case 1:
			return s.callers.list(ctx, entry, number)
		default:
			return s.callers.logOutcome(ctx, entry, number, "")
		}
	})
	return nil
}

// duringDrafts starts drafts, waits until some tokens have been sent, and then
// runs disturb.
func (s *session) duringDrafts(ctx context.Context, disturb func() error) ([]callResult, error) {
	done := make(chan []callResult, 1)
	go func() { done <- s.drafts(ctx, callsPerStage) }()
	time.Sleep(40 * time.Millisecond) // some steps of the engines; nothing depends on how many
	err := disturb()
	return <-done, err
}

func (s *session) killSidecar(ctx context.Context) error {
	victim := s.redaction[0]
	_, err := s.duringDrafts(ctx, func() error {
		s.KillSidecar(victim)
		return nil
	})
	if err != nil {
		return err
	}
	return s.RestartSidecar(victim)
}

func (s *session) silenceConnections(ctx context.Context) error {
	_, err := s.duringDrafts(ctx, func() error {
		s.blackholes.dropPackets()
		return nil
	})
	return err
}

func (s *session) breakStreams(ctx context.Context) error {
	victim := s.redaction[1].Engine
	victim.SetFaults(engine.Faults{CloseAfter: draftTokens / 2})
	s.drafts(ctx, callsPerStage)
	victim.SetFaults(engine.Faults{})
	return nil
}

func (s *session) stallEngine(ctx context.Context) error {
	victim := s.redaction[1].Engine
	victim.SetFaults(engine.Faults{Stalled: true})
	s.drafts(ctx, callsPerStage)
	victim.SetFaults(engine.Faults{})
	return nil
}

// loseAnswers checks that a call with an effect is never reported as not run.
func (s *session) loseAnswers(ctx context.Context) error {
	s.logbook.SetFaults(service.Faults{LoseResponse: true})
	s.concurrently(callsPerStage/4, func(i, number int) callResult {
		return s.callers.logOutcome(ctx, s.Entries[i%len(s.Entries)].Addr(), number, "")
	})
	s.logbook.SetFaults(service.Faults{})
	return nil
}

// markTargetLeaving marks a target as leaving in the document, and checks that it
// gets no new request from leavingBound after the document is active.
func (s *session) markTargetLeaving(ctx context.Context) error {
	victim := s.redaction[2]
	if err := s.Put(ctx, "redaction", RedactionDocument(s.redaction, victim.Name)); err != nil {
		return err
	}
	s.drafts(ctx, callsPerStage)
	if err := s.awaitActive(ctx); err != nil {
		return err
	}
	time.Sleep(leavingBound)
	s.checkNoNewWork(victim, func() { s.drafts(ctx, callsPerStage) })
	return nil
}

func (s *session) drainSidecar(ctx context.Context) error {
	victim := s.redaction[1]
	results, err := s.duringDrafts(ctx, func() error {
		err := victim.Sidecar.Drain(ctx)
		s.KillSidecar(victim) // as a real sidecar's process, which exits once it has drained
		return err
	})
	if err != nil {
		return err
	}
	s.checkDrained(results)
	s.checkNoNewWork(victim, func() { s.drafts(ctx, callsPerStage) })
	return nil
}

func (s *session) drainEntry(ctx context.Context) error {
	victim := s.Entries[len(s.Entries)-1]
	done := make(chan []callResult, 1)
	go func() {
		done <- s.concurrently(callsPerStage, func(_, number int) callResult {
			return s.callers.draft(ctx, victim.Addr(), number, draftTokens)
		})
	}()
	time.Sleep(40 * time.Millisecond) // some steps of the engines; nothing depends on how many
	if err := victim.Drain(ctx); err != nil {
		return err
	}
	s.checkDrained(<-done)
	return nil
}

func (s *session) checkAllAnswered(p promise, results []callResult) {
	for _, r := range results {
		s.check(p, r.outcome == outcomeAnswered, "%s %s: %s", r.kind, r.outcome, r.reason)
	}
}

// checkDrained checks that calls were answered or refused by a full target. A
// refused call had not begun, and its caller got the outcome notRun.
func (s *session) checkDrained(results []callResult) {
	for _, r := range results {
		ok := r.outcome == outcomeAnswered || r.outcome == outcomeNotRun && r.reason == string(request.Overloaded)
		s.check(drainCompletesRequests, ok, "%s %s: %s", r.kind, r.outcome, r.reason)
	}
}

// checkNoNewWork makes calls and checks that none of them reaches a target.
func (s *session) checkNoNewWork(t *Target, calls func()) {
	runsBefore := len(s.requestsRunAt(t))
	calls()
	runsAfter := len(s.requestsRunAt(t))
	s.check(leavingGetsNoWork, runsAfter == runsBefore, "%s ran %d more requests", t.Name, runsAfter-runsBefore)
}

// requestsRunAt returns the ids of the callers' requests that a target's engine
// started.
func (s *session) requestsRunAt(t *Target) []string {
	var ids []string
	for _, r := range s.callers.allResults() {
		if r.id != "" && t.Engine.Runs(r.id).Starts > 0 {
			ids = append(ids, r.id)
		}
	}
	return ids
}
