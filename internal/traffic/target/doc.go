// Package target chooses, at an entry, the target that gets a request.
//
// A [Chooser] serves one service. The entry tells it which candidates exist
// ([Chooser.Update]), what the sidecars report about their load
// ([Chooser.Report]), which targets are leaving or silent ([Chooser.Leave],
// [Chooser.Suspend]) and how each request ended ([Chooser.Finish]).
// [Chooser.Pick] then decides in this order:
//
//  1. The targets of the entry's own data centre, for the part of the requests
//     that its share lets it keep. Others are taken for the rest, if none of its own can
//     take the request, or if its own are so loaded that the longer way is worth it.
//  2. If the request has a prefix, the few targets that rendezvous hashing
//     assigns to it, as long as their load is bounded by the mean.
//  3. Else the less loaded of two targets drawn by weight.
//
// Ranks of a group that runs in lock-step are chosen otherwise: the one with the
// least work of this entry, whatever its data centre, if the group has a rank in
// the entry's own.
//
// Load is a time: the tokens of work outstanding at a target over the tokens
// that it finishes a second. It comes from the last report, plus the work that
// was sent since it was measured: this entry's, times the entries that share the
// targets. Reports lag, so an old report loses weight and the entry's own work in
// flight takes its place.
//
// Load and prefixes are hints. Whether a target may get the request at all
// is not: a target that is leaving, silent, refusing or already tried is never
// chosen, and Pick says so rather than choosing the least bad one.
//
// A Chooser isn't safe for concurrent use. Pick allocates nothing.
package target
