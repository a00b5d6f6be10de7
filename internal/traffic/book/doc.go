// Package book keeps a sidecar's record of the requests that entries have sent
// to it, and decides what it may truthfully say of each.
//
// A request is known by its id through these states:
//
//	receiving -> waiting -> running -> finished
//	    \           \           \---> (engine unreachable) refused
//	     \-----------\--------------> refused
//
// "Running" is entered in the same step that emits [Run], before the engine
// can see a byte, so a request that is not running and is refused from now on
// has provably not run. Only in that case does the book send request.Refused.
//
// An id is kept for as long as its caller may wait, even when its answer has
// been dropped: an id that is forgotten earlier would be resolved as never
// seen. What must be refused for longer needs no record of its own: a Resolve
// retires all older connections of its entry, and one number for each entry
// says so.
//
// [Book] is not safe for concurrent use. It reads no clock.
package book
