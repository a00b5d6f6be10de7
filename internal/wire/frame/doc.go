// Package frame is the wire format between the processes of the system.
//
// A frame is four bytes of length, one byte of kind and a CBOR map with integer
// keys. The length counts the kind and the map; it comes first, big-endian, so
// that a reader can bound its memory before it reads on. Integer keys may be
// added later: a decoder passes over those that it does not know, so two
// versions of the program can talk during a rolling restart.
//
// The first stream of a connection is its control stream and begins with
// [Hello], answered by [Welcome]. Every other stream carries one request, in
// frames of KindRequest whose message is defined by package
// internal/traffic/request.
package frame
