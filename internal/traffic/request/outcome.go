package request

import "fmt"

// Outcome is how a request ended for its caller. Each request has exactly one.
type Outcome uint8

// The outcomes.
const (
	Answered Outcome = iota + 1 // the whole answer was passed on
	NotRun                      // no engine ran it, and none will
	Unknown                     // it may or may not have run, or its answer broke off
)

var outcomeNames = [...]string{Answered: "answered", NotRun: "notRun", Unknown: "unknown"}

// String returns the outcome's name in own formats.
func (o Outcome) String() string {
	if o == 0 || int(o) >= len(outcomeNames) {
		return fmt.Sprintf("outcome(%d)", uint8(o))
	}
	return outcomeNames[o]
}

// MarshalText returns the outcome's name.
func (o Outcome) MarshalText() ([]byte, error) {
	return []byte(o.String()), nil
}

// Reason says why a request was refused, or why its outcome is unknown.
type Reason string

// The reasons.
const (
	NoReason           Reason = ""
	DeadlinePassed     Reason = "deadlinePassed"     // the caller's time is up, or too short
	NoTarget           Reason = "noTarget"           // no target may be tried (any more)
	Overloaded         Reason = "overloaded"         // admission refused it
	Draining           Reason = "draining"           // the target is leaving
	BookFull           Reason = "bookFull"           // the sidecar remembers as many requests as it may
	TargetRests        Reason = "targetRests"        // the target asked for rest, for all requests
	NeverSeen          Reason = "neverSeen"          // the sidecar did not get the request and now never will
	BodyIncomplete     Reason = "bodyIncomplete"     // the body did not arrive whole
	BodyTooLarge       Reason = "bodyTooLarge"       // the body is over the sidecar's bound
	WrongIncarnation   Reason = "wrongIncarnation"   // meant for an earlier life of the sidecar
	Cancelled          Reason = "cancelled"          // cancelled before it was handed over
	EngineUnreachable  Reason = "engineUnreachable"  // no byte reached the engine
	EngineBroke        Reason = "engineBroke"        // the engine ended its answer early
	EngineCrashed      Reason = "engineCrashed"      // the engine ended while it ran the request
	CrashesTargets     Reason = "crashesTargets"     // held back: targets crashed while they ran it
	AnswerDropped      Reason = "answerDropped"      // the wanted bytes have left the answer buffer
	TargetRestarted    Reason = "targetRestarted"    // the sidecar that had it is gone
	TargetSilent       Reason = "targetSilent"       // no fresh connection or no reply to Resolve
	CallerGone         Reason = "callerGone"         // the caller went away
	KeyClaimed         Reason = "keyClaimed"         // its Idempotency-Key belongs to an earlier request
	KeyReused          Reason = "keyReused"          // its Idempotency-Key was used before, for something else
	ClaimUnavailable   Reason = "claimUnavailable"   // the platform could not record the claim
	ClaimsFull         Reason = "claimsFull"         // no room for claims within the retention
	InvariantViolation Reason = "invariantViolation" // the sidecar contradicted itself
)

// Rule names an invariant that the program asserts.
type Rule string

// The invariants of requests, books and claims.
const (
	OneOutcome     Rule = "oneOutcome"     // a request has one final outcome
	OwnBytes       Rule = "ownBytes"       // delivered bytes are a prefix of the request's own answer
	NotRunIsProved Rule = "notRunIsProved" // notRun is said of nothing that was handed over
	RunsOnce       Rule = "runsOnce"       // one hand-over for each request at a sidecar
	ResolveIsNewer Rule = "resolveIsNewer" // Resolve travels on a newer connection than its Open
	ClaimedOnce    Rule = "claimedOnce"    // a key is granted to one request
	BoundsHold     Rule = "boundsHold"     // memory stays within its bounds
)

// Violation is an invariant found broken, with its evidence. It is counted and
// logged in production and fails a test.
type Violation struct {
	Rule   Rule   `json:"rule"`
	ID     ID     `json:"id"`
	Detail string `json:"detail"`
}

// Error describes the violation.
func (v Violation) Error() string {
	return fmt.Sprintf("invariant %s violated by request %s: %s", v.Rule, v.ID, v.Detail)
}
