// Package peer carries frames between the processes of the system over QUIC.
//
// Each connection that is dialled has a UDP socket of its own. Something between
// two hosts can lose track of one pair of addresses and ports for good; a new
// connection from the same socket would be as silent as the old one, while a
// new source port gets through.
//
// A connection counts as silent when something is awaited on it and no frame of
// any kind, not even the answer to a ping, came for [Config].SilentAfter.
// A single slow request therefore never makes a healthy connection suspect.
package peer
