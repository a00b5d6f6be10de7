// Package entry is the process that receives the callers' requests.
//
// Its parts are goroutines that communicate over bounded channels:
//
//   - front: one goroutine for each caller's request; it owns the state machine
//     of the request and carries out its actions;
//   - router: one for each service; it owns the choice of targets and the
//     retry budget;
//   - claims: one for each service; it owns the claims of Idempotency-Keys;
//   - links: connections to sidecars, with a reader for each stream;
//   - documents: follows the active documents.
package entry
