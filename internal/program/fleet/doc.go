// Package fleet runs, in a process of either role, the part that it has in the
// fleet: the view of the members, the documents in force, and the duty of
// accepting documents while it holds the lease. The decisions are those of
// internal/record/acceptance and internal/record/register.
//
// One goroutine owns the decisions and reads its events from a bounded ring. An
// event that finds the ring full is dropped and counted, as if its message had
// been lost. Messages leave on connections that other processes opened to this
// one, where there is one, and otherwise on connections of its own, which are
// closed when they have not been used for a while.
package fleet
