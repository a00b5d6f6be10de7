// Package trial runs a whole deployment in one process on loopback addresses.
// The platform, engines and services are stand-ins; sidecars and entries are
// those of production and use their real protocols.
package trial
