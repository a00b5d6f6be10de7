// Package engine is the client with which a sidecar reaches the model engine, or
// plain service, on its host. It uses HTTP/1.1, with JSON for reports and orders.
//
// [Client.Do] sends a caller's request to the target. For a request that may not be
// retried it never uses a pooled connection, and it never lets Go's transport retry
// one on its own. The other methods read load, cache events and counts, send orders,
// and read the state of the engine's orders back.
package engine
