// Package platform is the thin client of the platform's object service.
//
// A [Client] carries out [object.Call] values over HTTP and JSON. It keeps the
// calls under a set rate, backs off in outages, counts calls by cause, and never
// lets a write be sent twice: a write whose answer is lost ends as
// [object.Unknown], and the caller reads the object back before it decides.
//
// A pooled connection may be silent for good while new ones work. Each call has
// a bound on the wait for its answer; after a timeout the idle connections are
// dropped, and a read is tried once more on a fresh one.
package platform
