// Package soak runs the real programs as separate processes and injects random faults from
// outside. All of its code is in its tests:
//
//	go test ./internal/program/soak -run Soak -soak.seeds 50 -soak.time 20s
//
// A seed that once failed stays in testdata/seeds.txt, with a line on the cause, and is run
// each time.
package soak
