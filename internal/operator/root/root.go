// Package root assembles the commands of the program.
package root

import (
	"slices"

	"github.com/urfave/cli/v3"

	"wagtailshelf.example/wagtailshelf/internal/operator/command"
	"wagtailshelf.example/wagtailshelf/internal/operator/dump"
	"wagtailshelf.example/wagtailshelf/internal/operator/group"
	"wagtailshelf.example/wagtailshelf/internal/operator/key"
	"wagtailshelf.example/wagtailshelf/internal/operator/role"
	"wagtailshelf.example/wagtailshelf/internal/operator/settings"
	"wagtailshelf.example/wagtailshelf/internal/operator/skew"
	"wagtailshelf.example/wagtailshelf/internal/operator/standin"
	"wagtailshelf.example/wagtailshelf/internal/program/trial"
)

// New returns the root command of the program.
func New() *cli.Command {
	return &cli.Command{
		Name:  "wagtailshelf",
		Usage: "load balancer for expert-parallel model groups",
		Commands: slices.Concat(
			[]*cli.Command{trial.Command()},
			role.Commands(),
			command.Commands(),
			settings.Commands(),
			key.Commands(),
			dump.Commands(),
			group.Commands(),
			[]*cli.Command{skew.Command()},
			standin.Commands(),
		),
	}
}
