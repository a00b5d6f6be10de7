// Package engine is the thin adapter from a sidecar to the model engine, or
// plain service, on its host: HTTP/1.1, JSON for reports and orders.
//
// [Client.Do] carries a caller's request to the target. It never uses a pooled
// connection for a request that may not be repeated, and never lets Go's
// transport repeat one by itself. The other methods read load, cache events and
// counts, give orders, and read back what the engine was ordered.
package engine
