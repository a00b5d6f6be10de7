// Package settings implements the commands that check and list the settings of processes.
package settings

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"wagtailshelf.example/wagtailshelf/internal/program/setting"
)

// ErrFindings reports settings that do not pass the checks.
var ErrFindings = merry.Sentinel("settings have findings")

// Commands returns the command "settings" and its subcommands.
func Commands() []*cli.Command {
	return []*cli.Command{{
		Name:  "settings",
		Usage: "check the settings of a process, or list all there are",
		Commands: []*cli.Command{
			{
				Name:      "check",
				Usage:     "print all that is wrong with settings, with line and column",
				ArgsUsage: "FILE...",
				Action:    check,
			},
			{
				Name:  "list",
				Usage: "print all settings with their defaults, and all checks, in Markdown",
				Action: func(_ context.Context, cmd *cli.Command) error {
					_, err := io.WriteString(cmd.Root().Writer, setting.Table())
					return err
				},
			},
		},
	}}
}

func check(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() == 0 {
		return merry.New("name one or several files to check")
	}
	w := cmd.Root().Writer
	found := 0
	for _, file := range cmd.Args().Slice() {
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		s, list := setting.Load(file, text)
		for _, f := range list {
			fmt.Fprintln(w, f)
		}
		if len(list) == 0 {
			fmt.Fprintf(w, "%s: ok, %s %s in %s\n", file, s.Role, s.Name, s.DataCentre)
		}
		found += len(list)
	}
	if found > 0 {
		return merry.Appendf(ErrFindings, "%d", found)
	}
	return nil
}
