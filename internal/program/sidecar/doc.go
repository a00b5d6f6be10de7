// Package sidecar is the process that runs on the host of a target and through which
// all requests to the target pass.
//
// Its work is split over goroutines that are connected by bounded channels:
//
//   - serve: one goroutine for each connection and each stream of an entry;
//     it decodes messages and puts them on the desk's ring;
//   - desk: owns the book of requests and the admission queue, and makes all
//     decisions;
//   - call: one goroutine for each request at the target, started by the desk;
//   - observe: reads the load of a model engine for admission;
//   - report: sends the load of the target to the entries.
package sidecar
