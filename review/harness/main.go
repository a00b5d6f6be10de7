// Command harness plays the scripts of the review: small deployments of the project's own program on
// loopback addresses, with stand-ins of the platform, servers and requesters.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
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
	"garbage": garbage, // review/1
	"ghost":   ghost,   // review/2
	"part":    part,    // review/3

	// In notes.go.
	"displaced": displaced,
	"drill":     drill,
	"lastKey":   lastKey,
	"pinned":    pinned,
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
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		w.Close() // ends the processes that the case started
		os.Exit(failed)
	}()
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
