// Package sidecar is the process beside a target: the only door to it.
//
// Its duties are goroutines joined by bounded channels:
//
//   - serve: one goroutine for each connection and each stream of an entry;
//     it decodes messages and puts them on the desk's ring;
//   - desk: owns the book of requests and the queue of admission, and decides;
//   - call: one goroutine for each request at the target, started by the desk;
//   - observe: reads the load of a model engine for admission;
//   - report: tells the entries the load of the target.
package sidecar
