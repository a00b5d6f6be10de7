// Package soak holds a randomised run of the real programs as separate processes, with
// faults from outside them. All of it is in its test:
//
//	go test ./internal/program/soak -run Soak -soak.seeds 50 -soak.time 20s
//
// A seed that ever failed stays in testdata/seeds.txt, with a line on its cause, and is
// run each time.
package soak
