// Package hangup takes SIGHUP over at the start of a process that serves. The signal asks such a
// process to read its settings again, and ends one that has not taken it over.
//
// It imports little, so that it is initialised before the packages that take milliseconds.
package hangup

import (
	"os"
	"os/signal"
	"slices"
	"syscall"
)

// Signals receives the SIGHUPs of a process that serves, from its start on.
var Signals = takeOver(os.Args)

// takeOver takes SIGHUP over if the command serves. A terminal that closes ends other commands.
func takeOver(args []string) <-chan os.Signal {
	c := make(chan os.Signal, 1)
	if slices.Contains(args, "serve") {
		signal.Notify(c, syscall.SIGHUP)
	}
	return c
}
