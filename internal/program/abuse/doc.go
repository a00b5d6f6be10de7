// Package abuse runs the real programs as separate processes and lets crowds of clients misuse them:
// clients that send more than the limits allow, that stop half-way, or that neither send nor read. It
// checks that the process lives, that its memory and its descriptors stay under what it was given, and that
// ordinary requests are answered, while the crowd stands still and after it has left.
//
// All of its code is in its tests, which measure the memory of processes and run alone:
//
//	go test -tags alone ./internal/program/abuse
package abuse
