// Package trial runs a whole deployment in one process on loopback: the
// platform, engines and services as stand-ins, sidecars and entries as they
// run in production, connected by their real protocols.
package trial
