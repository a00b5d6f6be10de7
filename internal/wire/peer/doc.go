// Package peer carries frames between the processes of the system over QUIC.
//
// Each dialled connection has its own UDP socket. A device between two hosts can
// permanently stop forwarding the packets of one pair of addresses and ports. A new
// connection from the same socket would then be as silent as the old one, while a
// new source port works.
//
// A connection counts as silent when a frame is expected on it and no frame of any
// kind, not even the answer to a ping, arrived for [Config].SilentAfter. A single slow
// request on a healthy connection is therefore never taken for silence.
package peer
