// Package target chooses, at an entry, the target of each request.
//
// A [Chooser] serves one service. The entry passes it the candidates
// ([Chooser.Update]), the load reports of the sidecars ([Chooser.Report]), the
// targets that are leaving or silent ([Chooser.Leave], [Chooser.Suspend]) and the
// end of each request ([Chooser.Finish]). [Chooser.Pick] then decides in this
// order:
//
//  1. It prefers the targets of the entry's own data centre for the configured part
//     of the requests. It uses those of other data centres for the remaining requests,
//     if no local target can take the request, or if the local targets are loaded so
//     heavily that the longer network path is worth it.
//  2. If the request has a prefix, it chooses among the few targets that rendezvous
//     hashing assigns to the prefix, as long as their load is close enough to the mean.
//  3. Otherwise it chooses the less loaded of two targets drawn by weight.
//
// Ranks of a group that runs in lock-step are chosen differently. If the group has a
// rank in the entry's own data centre, Pick chooses the rank with the least work of
// this entry, in any data centre.
//
// Load is a time: the tokens of work outstanding at a target divided by the tokens
// that it finishes per second. It is based on the last report, plus the work sent
// since the report was measured: this entry's work times the number of entries that
// share the targets. Reports are delayed, so an old report loses weight and is
// replaced by the entry's own work in flight.
//
// Load and prefixes are only hints, but eligibility is strict: a target that is
// leaving, silent, refusing requests or already tried is never chosen. If no target
// is eligible, Pick returns false.
//
// A Chooser isn't safe for concurrent use. Pick allocates nothing.
package target
