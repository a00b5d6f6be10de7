// Package process holds what an entry and a sidecar have in common as programs:
// the server for operators, the answer to signals, and the end of both.
package process
