// Package lifetime starts the real programs as separate processes and shows that none of them ends by itself, whatever
// happens around it. All of its code is in its tests.
package lifetime
