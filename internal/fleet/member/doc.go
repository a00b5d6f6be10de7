// Package member keeps the list of the fleet's processes, tells whether this
// process is still in contact with the others, and spreads small facts to all.
//
// # Contact
//
// The members of a data centre stand on a ring ordered by a hash of their names.
// Each probes its first three successors once an interval, and further ones, up
// to eight, while any of those does not answer. A member has contact while three
// of these neighbours, which have contact themselves, answered probes that it
// sent less than [Config.Timeout] ago. Only answers to own probes count: links
// can fail in one direction only, and a member that hears others without being
// heard has no contact.
//
// An answer counts only if this member has settled every binding fact that the
// neighbour knows. So once all members but one know a binding fact, that one
// either settles it or loses contact within the timeout. This is what lets a
// silent host be left out of a decision; see package acceptance.
//
// A member without contact gives no contact to others. If a stall takes it from
// all members at once, they would wait for each other for ever, so three
// quarters of the neighbours are enough even if none of them has contact.
//
// # Spreading
//
// A new fact goes to the relays of the own data centre, from there to the relays
// of the others, and from each relay to all members of its data centre. Relays
// are chosen by rendezvous hash of the fact's key, so that the work is spread
// over all members. Lost messages are made good by comparing hashes: each probe
// carries a hash of all that its sender knows, and two that differ exchange the
// parts in which they differ.
//
// Suspicion of a member spreads but changes no ring: a ring that depends on
// suspicion would let two halves of a split data centre each forget the other
// and keep contact among themselves. Members are removed when they say that they
// leave, or when the platform's list, which lags, no longer has them.
package member
