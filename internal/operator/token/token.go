// Package token reads an operator's token for the commands that call a running process.
package token

import (
	"os"
	"strings"

	"github.com/urfave/cli/v3"
)

const (
	// Variable is the environment variable that may hold the token.
	Variable = "WAGTAILSHELF_TOKEN"

	flagName = "token-file"
)

// Flag returns the flag that names the file with the token.
func Flag() cli.Flag {
	return &cli.StringFlag{Name: flagName, Usage: "`FILE` with the operator's token; without it, the variable " + Variable}
}

// Read returns the token in the file that the flag names, or else the one in the
// environment. The token itself is not passed as an argument, since other users of the
// machine can see the arguments of a process.
func Read(cmd *cli.Command) (string, error) {
	file := cmd.String(flagName)
	if file == "" {
		return os.Getenv(Variable), nil
	}
	text, err := os.ReadFile(file)
	return strings.TrimSpace(string(text)), err
}
