// Package process holds what an entry and a sidecar have in common as programs:
// the HTTP server for operators, signal handling and graceful shutdown.
package process
