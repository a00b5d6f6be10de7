// Package workspace decides, at a sidecar, which requests run at the target,
// in which order, and which are refused.
//
// A [Queue] serves one target. All requests to the target go through it, so limits
// and shares hold without coordination between the entries. It provides:
//
//   - A limit on the requests that run at once. The limit follows the step time of
//     the engine, or the call time of a service without steps.
//   - Fair shares. Requests are queued by workspace. Start-time fair queueing by
//     tokens chooses the next one, so that a workspace that sends ten times its
//     share delays its own requests and not those of the others.
//   - Refusal by deadline. A request that can't be completed in time is refused at
//     once with a retry delay, and a queued request is refused as soon as it can no
//     longer be completed in time.
//   - A bounded queue. When the queue is full, the workspace with the largest backlog
//     for its weight loses its newest request.
//
// A refusal is proof that the request did not run.
package workspace
