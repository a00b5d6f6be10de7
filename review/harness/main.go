// Command harness plays the scripts of the review: small deployments of the project's own program on
// loopback addresses, with stand-ins of the platform, servers and requesters.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the scripts. Each reports whether the rule was broken.
var cases = map[string]func(w *World, trouble bool) (bool, error){
	"garbage": garbage,
	"ghost":   ghost,
	"drill":   drill,

	"displaced": displaced, // in notes.go
	"lastKey":   lastKey,   // in notes.go
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(failed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the exit code.
func play(name, folder string) int {
	w, err := NewWorld(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer w.Close()
	wasBroken, err := cases[name](w, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		w.Record("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return failed
	case wasBroken:
		w.Record("the rule was broken")
		fmt.Println("the rule was broken")
		return broken
	}
	w.Record("the rule held")
	fmt.Println("the rule held")
	return held
}

// readyLimit is how long the entries may take to become ready at the start.
const readyLimit = 20 * time.Second
