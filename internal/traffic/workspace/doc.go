// Package workspace decides, at a sidecar, which requests run at the target,
// in which order, and which are refused.
//
// A [Queue] serves one target. All of the target's work passes it, so limits
// and shares hold without entries agreeing on anything. It has four duties:
//
//   - A limit on the requests that run at once. It follows the step time of
//     the engine, or the call time of a service without steps.
//   - Fair shares. Requests wait by workspace. Start-time fair queueing by
//     tokens chooses the next, so that a workspace that asks for ten times its
//     share waits behind itself and not before the others.
//   - Refusal by deadline. A request that can't be complete in time is refused
//     at once with a hint when to come back, and one that waits is refused as
//     soon as it can't be complete in time any more.
//   - A bounded queue. When it is full, the workspace that has most of it for
//     its weight loses its newest request.
//
// A refusal is proof that the request did not run.
package workspace
