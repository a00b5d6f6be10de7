package request

import "fmt"

// Outcome states how a request ended for its caller. Each request has exactly one.
type Outcome uint8

// The outcomes.
const (
	Answered Outcome = iota + 1 // the complete response was passed on
	NotRun                      // no engine ran it, and none will
	Unknown                     // it may or may not have run, or its response was truncated
)

var outcomeNames = [...]string{Answered: "answered", NotRun: "notRun", Unknown: "unknown"}

// String returns the outcome's name as it stands in this project's own formats.
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
	DeadlinePassed     Reason = "deadlinePassed"     // the caller's deadline has passed, or is too close
	NoTarget           Reason = "noTarget"           // no target is left that may be tried
	Overloaded         Reason = "overloaded"         // admission refused the request
	Draining           Reason = "draining"           // the target is leaving
	BookFull           Reason = "bookFull"           // the sidecar stores as many requests as it may
	TargetInBackOff    Reason = "targetRests"        // the target asked for back-off, for all requests
	NeverSeen          Reason = "neverSeen"          // the sidecar did not receive the request and never will
	BodyIncomplete     Reason = "bodyIncomplete"     // the sidecar did not receive the whole body
	BodyTooLarge       Reason = "bodyTooLarge"       // the body is larger than the sidecar allows
	WrongIncarnation   Reason = "wrongIncarnation"   // meant for an earlier incarnation of the sidecar
	Cancelled          Reason = "cancelled"          // cancelled before its dispatch to the engine
	EngineUnreachable  Reason = "engineUnreachable"  // no byte reached the engine
	EngineTruncated    Reason = "engineBroke"        // the engine ended its response early
	EngineCrashed      Reason = "engineCrashed"      // the engine process ended while it ran the request
	Quarantined        Reason = "crashesTargets"     // quarantined: targets crashed while they ran the request
	AnswerDropped      Reason = "answerDropped"      // the requested bytes are no longer in the response buffer
	TargetRestarted    Reason = "targetRestarted"    // the incarnation of the sidecar that had the request is gone
	TargetSilent       Reason = "targetSilent"       // no new connection, or no reply to Resolve
	CallerGone         Reason = "callerGone"         // the caller no longer waits for the response
	KeyClaimed         Reason = "keyClaimed"         // an earlier request owns the Idempotency-Key
	KeyReused          Reason = "keyReused"          // the Idempotency-Key was used before, for a different request
	ClaimUnavailable   Reason = "claimUnavailable"   // the platform could not record the claim
	ClaimsFull         Reason = "claimsFull"         // no room for another claim until older ones expire
	InvariantViolation Reason = "invariantViolation" // messages of the sidecar contradict each other
)

// Invariant names an invariant that the program checks while it runs.
type Invariant string

// The invariants of requests, request books and claims.
const (
	OneOutcome     Invariant = "oneOutcome"     // a request has one final outcome
	OwnBytes       Invariant = "ownBytes"       // delivered bytes are a prefix of the request's own response
	NotRunIsProved Invariant = "notRunIsProved" // notRun is never reported for a request that was dispatched to an engine
	RunsOnce       Invariant = "runsOnce"       // a sidecar dispatches each request to an engine once
	ResolveIsNewer Invariant = "resolveIsNewer" // Resolve is sent on a newer connection than its Open
	ClaimedOnce    Invariant = "claimedOnce"    // a key belongs to one request at a time
	BoundsHold     Invariant = "boundsHold"     // memory stays within its bounds
)

// Violation reports a violated invariant with its evidence. It is counted and
// logged in production, and fails a test.
type Violation struct {
	Invariant Invariant `json:"rule"`
	ID        ID        `json:"id"`
	Detail    string    `json:"detail"`
}

// Error describes the violation.
func (v Violation) Error() string {
	return fmt.Sprintf("invariant %s violated by request %s: %s", v.Invariant, v.ID, v.Detail)
}
