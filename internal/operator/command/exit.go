package command

import (
	"context"
	"errors"

	"github.com/urfave/cli/v3"
)

// Exit codes of the commands, for scripts. Any other failure exits with 1.
const (
	usageCode    = 2
	conflictCode = 3
)

// exitError is an error with the exit code of the program.
type exitError struct {
	error
	code int
}

// ExitCode returns the exit code. It implements cli.ExitCoder.
func (e exitError) ExitCode() int { return e.code }

// Unwrap returns the error without the code.
func (e exitError) Unwrap() error { return e.error }

// withExitCodes returns the action with exit codes added to its errors.
func withExitCodes(action cli.ActionFunc) cli.ActionFunc {
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
