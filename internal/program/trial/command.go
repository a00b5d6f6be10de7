package trial

import (
	"context"
	"io"
	"os"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"
)

// ErrBroken is returned by a trial in which at least one promise was broken.
var ErrBroken = merry.New("the trial saw promises broken")

// Command returns the command "try".
func Command() *cli.Command {
	return &cli.Command{
		Name:  "try",
		Usage: "run a whole deployment on loopback, cause failures and check the promises",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "json", Usage: "print the report as JSON"},
			&cli.StringFlag{Name: "log", Usage: "write the log lines of all processes to `FILE`"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return try(ctx, cmd)
		},
	}
}

func try(ctx context.Context, cmd *cli.Command) error {
	out := cmd.Root().Writer
	progress := out
	if cmd.Bool("json") {
		progress = io.Discard
	}
	logs := io.Discard
	if name := cmd.String("log"); name != "" {
		f, err := os.Create(name)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }() // a lost log line does not change the result
		logs = f
	}
	rep, err := Run(ctx, progress, logs)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		err = rep.WriteJSON(out)
	} else {
		err = rep.WriteText(out)
	}
	if err != nil {
		return err
	}
	if len(rep.Breaches) > 0 {
		return ErrBroken
	}
	return nil
}
