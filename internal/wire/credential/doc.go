// Package credential authenticates the other end of a connection.
//
// The system's own connections use mutual TLS 1.3: each process holds a
// certificate that names its host and role, issued by a certificate authority of
// its deployment, and each end verifies the other. A [Store] holds the certificate,
// key and authorities in use; [Store.Replace] changes them without a restart,
// and each handshake that begins afterwards uses the new ones.
//
// Operators and workspaces authenticate with a random token, of which the system
// knows only the SHA-256 digest; see [TokenSet].
//
// An [Authority] issues certificates in memory, for tests, for the trial run,
// and for a deployment that has no authority of its own.
package credential
