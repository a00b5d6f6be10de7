package trial

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/standin/engine"
	"wagtailshelf.example/wagtailshelf/internal/standin/platform"
	"wagtailshelf.example/wagtailshelf/internal/standin/service"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
	"wagtailshelf.example/wagtailshelf/internal/wire/caller"
)

const (
	floodCalls = 120
	smallCalls = 8
	bodyBound  = 256 << 10 // limit of the trial's documents
)

// entryIndex returns the index of the entry for the i-th call; the entries are
// used in turn.
func (s *session) entryIndex(i int) int { return i % len(s.Entries) }

// logKeyed logs n outcomes, each with a key of its own.
func (s *session) logKeyed(ctx context.Context, n int) []callResult {
	return s.concurrently(n, func(i, number int) callResult {
		return s.callers.logOutcome(ctx, s.Entries[s.entryIndex(i)].Addr(), number, fmt.Sprintf("key-%d", number))
	})
}

// retry sends calls again with their keys. It sends each through the entry after
// the one that logKeyed uses for it.
func (s *session) retry(ctx context.Context, calls []callResult) []callResult {
	return s.concurrently(len(calls), func(i, _ int) callResult {
		c := calls[i]
		return s.callers.send(ctx, s.Entries[s.entryIndex(i+1)].Addr(), http.MethodPost,
			callResult{kind: c.kind, path: c.path, body: c.body, key: c.key})
	})
}

// repeatCalls checks that a retry gets the answer of the first call, or is refused
// because the first call is not known to have ended, and that there was only one
// run.
func (s *session) repeatCalls(ctx context.Context) error {
	first := s.logKeyed(ctx, callsPerStage/2)
	for i, r := range s.retry(ctx, first) {
		answeredOrClaimed := r.outcome == outcomeAnswered || r.reason == string(request.KeyClaimed)
		s.check(sameKeySameRequest, first[i].outcome == outcomeAnswered && answeredOrClaimed && s.logCount(r.body) == 1,
			"%s: first %s %s, then %s %s, logged %d times", r.key,
			first[i].outcome, first[i].reason, r.outcome, r.reason, s.logCount(r.body))
	}
	return nil
}

// platformOutage makes the platform refuse all calls. Calls that need no new claim
// are still served; those that need one are refused at once, and succeed when the
// platform works again.
func (s *session) platformOutage(ctx context.Context) error {
	s.Platform.SetFaults(platform.Faults{Outage: true})
	refused := s.logKeyed(ctx, callsPerStage/4)
	s.checkAllAnswered(serviceContinues, s.drafts(ctx, callsPerStage))
	s.Platform.SetFaults(platform.Faults{})
	for _, r := range refused {
		s.check(serviceContinues, r.outcome == outcomeNotRun, "a call whose key could not be kept: %s %s", r.outcome, r.reason)
	}
	return s.awaitClaimsAccepted(ctx, refused)
}

// awaitClaimsAccepted retries refused calls until all are answered, as the entries
// take a while to detect that the platform works again.
func (s *session) awaitClaimsAccepted(ctx context.Context, refused []callResult) error {
	ctx, cancel := context.WithTimeout(ctx, readyBound)
	defer cancel()
	for {
		left := 0
		for _, r := range s.retry(ctx, refused) {
			if r.outcome != outcomeAnswered {
				left++
			}
		}
		if left == 0 || ctx.Err() != nil {
			s.check(serviceContinues, left == 0, "%d calls are still refused after the platform's return", left)
			return nil
		}
		time.Sleep(250 * time.Millisecond)
	}
}

// replaceKeys replaces all certificates during drafts, and then adds an entry. All
// connections of that entry are new, and its certificate is issued by the new
// authority, which processes with the old keys do not trust.
func (s *session) replaceKeys(ctx context.Context) error {
	results, err := s.duringDrafts(ctx, s.RotateKeys)
	if err != nil {
		return err
	}
	s.checkAllAnswered(serviceContinues, results)
	added, err := s.AddEntry("mtl-c-entry-new", "mtl-c", s.blackholes.wrap)
	if err != nil {
		return err
	}
	if err := s.awaitReady(ctx); err != nil {
		return err
	}
	s.checkAllAnswered(serviceContinues, s.concurrently(callsPerStage, func(_, number int) callResult {
		return s.callers.draft(ctx, added.Addr(), number, draftTokens)
	}))
	return nil
}

// floodTargets lets a large workspace fill all queues, and checks that the calls
// of a small workspace are answered.
func (s *session) floodTargets(ctx context.Context) error {
	done := make(chan []callResult, 1)
	go func() { done <- s.drafts(ctx, floodCalls) }()
	time.Sleep(40 * time.Millisecond) // some of the calls run by then; nothing depends on how many
	small := s.concurrently(smallCalls, func(i, number int) callResult {
		return s.callers.send(ctx, s.Entries[s.entryIndex(i)].Addr(), http.MethodPost, callResult{
			kind: kindDraft, path: "/redaction/v1/draft", token: SmallKey,
			body: fmt.Sprintf(`{"prompt":"small %d","maxTokens":8}`, number),
		})
	})
	s.checkAllAnswered(smallWorkspaceServed, small)
	<-done
	return nil
}

// badInputs are calls that must be refused, with the reasons of the refusals.
var badInputs = []struct {
	call   callResult
	reason string
}{
	{callResult{path: "/nowhere/x"}, string(caller.UnknownService)},
	{callResult{path: "/agenda/nowhere"}, string(caller.UnknownRoute)},
	{callResult{path: "/agenda/outcomes", token: "guess"}, string(caller.UnknownWorkspace)},
	{callResult{path: "/agenda/outcomes", body: strings.Repeat("x", bodyBound)}, "bodyTooLarge"},
	{callResult{path: "/agenda/outcomes", key: strings.Repeat("k", 4096)}, string(caller.BadRequest)},
}

func (s *session) sendBadInput(ctx context.Context) error {
	before := len(s.logbook.Logged())
	for i, bad := range badInputs {
		bad.call.kind = "bad"
		r := s.callers.send(ctx, s.Entries[s.entryIndex(i)].Addr(), http.MethodPost, bad.call)
		s.check(badInputHarmless, r.outcome == outcomeNotRun && r.reason == bad.reason,
			"%.40s: %s %s, want %s", r.path, r.outcome, r.reason, bad.reason)
	}
	s.check(badInputHarmless, len(s.logbook.Logged()) == before, "refused calls were logged")
	return nil
}

// failTwoAtOnce silences connections while an engine closes its streams.
func (s *session) failTwoAtOnce(ctx context.Context) error {
	victim := s.redaction[3].Engine
	victim.SetFaults(engine.Faults{CloseAfter: draftTokens / 2})
	_, err := s.duringDrafts(ctx, func() error {
		s.blackholes.dropPackets()
		return nil
	})
	victim.SetFaults(engine.Faults{})
	return err
}

// killEntry kills an entry while the agenda is slow to answer. The connections of
// the callers fail, and they retry their calls with the same keys through other
// entries.
func (s *session) killEntry(ctx context.Context) error {
	s.logbook.SetFaults(service.Faults{Slowness: 100 * time.Millisecond})
	defer s.logbook.SetFaults(service.Faults{})
	victim := s.Entries[0]
	done := make(chan []callResult, 1)
	go func() {
		done <- s.concurrently(callsPerStage/2, func(_, number int) callResult {
			r := callResult{
				kind: kindLog, path: "/agenda/outcomes", key: fmt.Sprintf("key-%d", number), breakExpected: true,
				body: fmt.Sprintf(`{"call":"call-%d","outcome":"reached"}`, number),
			}
			return s.callers.send(ctx, victim.Addr(), http.MethodPost, r)
		})
	}()
	time.Sleep(40 * time.Millisecond) // some of the calls run by then; nothing depends on how many
	victim.process.kill()
	s.Entries = s.Entries[1:]
	first := <-done
	for i, r := range s.retry(ctx, first) {
		s.check(sameKeySameRequest, r.outcome != outcomeMissing && s.logCount(r.body) <= 1,
			"%s: first %s, then %s %s, logged %d times", r.key, first[i].outcome, r.outcome, r.reason, s.logCount(r.body))
	}
	return nil
}
