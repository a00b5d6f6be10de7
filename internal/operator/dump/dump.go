// Package dump implements the command that prints the state of a running process.
package dump

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"wagtailshelf.example/wagtailshelf/internal/operator/token"
)

const (
	maxDump    = 64 << 20 // bytes
	maxProblem = 4 << 10  // bytes of a refusal that are shown
)

// ErrRefused reports a process whose response has no dump, or one that is too long.
var ErrRefused = merry.Sentinel("no dump")

// Commands returns the command "dump".
func Commands() []*cli.Command {
	return []*cli.Command{{
		Name:      "dump",
		Usage:     "print the whole state of a running process as JSON",
		ArgsUsage: "ADDRESS",
		Flags: []cli.Flag{
			token.Flag(),
			&cli.DurationFlag{Name: "timeout", Value: 10 * time.Second, Usage: "`DURATION` to wait for the whole dump"},
		},
		Action: dump,
	}}
}

func dump(ctx context.Context, cmd *cli.Command) error {
	address, err := netip.ParseAddrPort(cmd.Args().First())
	if err != nil {
		return merry.Prepend(err, "address of the process's administration listener")
	}
	secret, err := token.Read(cmd)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	return fetch(ctx, address, secret, cmd.Root().Writer)
}

// fetch writes the dump of the process at the address to w.
func fetch(ctx context.Context, address netip.AddrPort, token string, w io.Writer) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/dump", nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }() // the body was read to its end or is of no use
	if resp.StatusCode != http.StatusOK {
		problem, _ := io.ReadAll(io.LimitReader(resp.Body, maxProblem))
		return merry.Appendf(ErrRefused, "%s: %s", resp.Status, strings.TrimSpace(string(problem)))
	}
	n, err := io.Copy(w, io.LimitReader(resp.Body, maxDump+1))
	if err == nil && n > maxDump {
		return merry.Appendf(ErrRefused, "longer than %d bytes", maxDump)
	}
	return err
}
