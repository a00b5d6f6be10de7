// Package book keeps a sidecar's record of the requests that entries have sent
// to it, and decides which outcome the sidecar can safely report for each.
//
// A request is identified by its id and passes through these states:
//
//	receiving -> waiting -> running -> finished
//	    \           \           \---> (engine unreachable) refused
//	     \-----------\--------------> refused
//
// A request enters the running state in the same call of [Book.Handle] that emits
// [Run], before the engine can receive a byte of it. A request that is refused
// before that state has therefore provably not run. The book sends request.Refused
// only in that case.
//
// An id is kept for as long as its caller may wait, even when its answer has
// been dropped: an id that is forgotten earlier would be resolved as never
// seen. Refusing a request for longer than that needs no record of its own: a
// Resolve retires all older connections of its entry, and the book stores this as
// one number for each entry.
//
// [Book] is not safe for concurrent use. It reads no clock.
package book
