// Command harness-2 plays the script cases of the second review: it starts the project's own programs as
// separate processes on loopback addresses, with small stand-ins of the platform, its servers and its requesters.
//
// It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each returns what broke the rule, or an error if it could not run.
var cases = map[string]func(*world, bool) ([]string, error){
	"ranks":   ranksCase,
	"left":    leftCase,
	"foreign": foreignCase,
	"limit":   limitCase,
	"quiet":   quietCase,
}

func main() {
	dir := flag.String("dir", ".", "folder of the case, for record.txt")
	seed := flag.Uint64("seed", 1, "seed of all draws")
	flag.Parse()
	run, found := cases[flag.Arg(0)]
	if !found {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(exitNotRun)
	}
	os.Exit(play(run, *dir, *seed, os.Getenv("TROUBLE") != "0"))
}

// longest is the longest time that a case may take.
const longest = 110 * time.Second

func play(run func(*world, bool) ([]string, error), dir string, seed uint64, trouble bool) int {
	w, err := newWorld(dir, seed)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stopped:
		case <-time.After(longest):
		}
		fmt.Fprintln(os.Stderr, "stopped before its end")
		w.close()
		os.Exit(exitNotRun)
	}()
	w.record.note("case begins: seed %d, trouble %t", seed, trouble)
	broken, err := run(w, trouble)
	switch {
	case err != nil:
		w.record.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitNotRun
	case len(broken) > 0:
		for _, b := range broken[:min(len(broken), 3)] {
			w.record.note("BROKEN: %s", b)
			fmt.Println("BROKEN:", b)
		}
		return exitBroken
	}
	w.record.note("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// eventually waits until a condition holds.
func eventually(limit time.Duration, what string, holds func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("not within %s: %s", limit, what)
}
