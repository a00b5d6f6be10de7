// Package quarantine knows requests by what stays the same when they come again, and the
// targets that crashed while they ran them.
package quarantine
