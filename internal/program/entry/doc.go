// Package entry is the process that meets the callers.
//
// Its duties are goroutines joined by bounded channels:
//
//   - front: one goroutine for each caller's request; it owns the request's
//     life and carries out what that decides;
//   - router: one for each service; it owns the choice of targets and the
//     retry budget;
//   - links: connections to sidecars, with a reader for each stream;
//   - documents: learns which documents are in force.
package entry
