// Package engine is the client with which a sidecar reaches the model engine, or
// plain service, on its host. It uses HTTP/1.1, with JSON for reports and orders.
//
// [Client.Do] sends a caller's request to the target. For a request that may not be
// retried it never uses a pooled connection, and it never lets Go's transport retry
// one on its own. The other methods read load, cache events and counts, send orders,
// and read the state of the engine's orders back.
//
// A model engine streams server-sent events. Those without a name that have data carry a token each;
// [ResumeHeader] counts them. The data of a token may be an object whose "index" is the token's number,
// from 0. The last event is named "end", and its data may be an object whose "tokens" is their count. It may be
// left out where a length or chunks delimit the body.
package engine
