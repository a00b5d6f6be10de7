package command

import (
	"context"
	"errors"

	"github.com/urfave/cli/v3"
)

// Exit codes of the commands, for scripts. Any other failure is 1.
const (
	usageCode    = 2
	conflictCode = 3
)

// exitError is an error with the code that the program ends with.
type exitError struct {
	error
	code int
}

// ExitCode returns the code; the command line's library looks for it.
func (e exitError) ExitCode() int { return e.code }

// Unwrap returns the error itself.
func (e exitError) Unwrap() error { return e.error }

// exiting gives the errors of an action their exit codes.
func exiting(action cli.ActionFunc) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		err := action(ctx, cmd)
		switch {
		case errors.Is(err, ErrConflict):
			return exitError{err, conflictCode}
		case errors.Is(err, ErrUsage):
			return exitError{err, usageCode}
		}
		return err
	}
}
