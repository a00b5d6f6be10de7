// Package frame is the wire format between the processes of the system.
//
// A frame consists of four bytes of length, one byte of kind and a CBOR map with
// integer keys. The length is big-endian and covers the kind and the map; it comes
// first, so that a reader can bound its memory before it reads the rest. Integer keys
// may be added later: a decoder ignores unknown keys, so two versions of the program
// can communicate during a rolling restart.
//
// The first stream of a connection is its control stream. It begins with [Hello],
// which the peer answers with [Welcome]. Every other stream carries one request, in
// frames of [KindRequest] whose message is defined by package
// internal/traffic/request.
package frame
