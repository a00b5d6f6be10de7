// Package command implements the subcommands of "document": check, apply, show, diff,
// history and status.
//
// They call the administration API of any entry. The read-only ones, apart from check,
// can read from the platform directly, even while no process of the system runs.
package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/record/finding"
	"wagtailshelf.example/wagtailshelf/internal/record/source"
	"wagtailshelf.example/wagtailshelf/internal/wire/administration"
)

// Commands returns the command "document" and its subcommands.
func Commands() []*cli.Command { return commands(time.Now) }

func commands(now func() time.Time) []*cli.Command {
	all := []*cli.Command{
		checkCommand(), applyCommand(), showCommand(),
		diffCommand(), historyCommand(now), statusCommand(),
	}
	for _, c := range all {
		c.Action = withExitCodes(c.Action)
	}
	return []*cli.Command{{
		Name:     "document",
		Usage:    "check, apply and read the documents of the services",
		Commands: all,
	}}
}

const (
	jsonFlag  = "json"
	atFlag    = "at"
	refFlag   = "ref"
	fromFlag  = "from"
	toFlag    = "to"
	refFormat = "applied, before or a number of the history"
)

func jsonOutput() cli.Flag {
	return &cli.BoolFlag{Name: jsonFlag, Usage: "print JSON, for programs"}
}

// withClient returns an action that calls f with a client of the API and within the
// timeout of the flags.
func withClient(f func(ctx context.Context, cmd *cli.Command, c *client) error) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		c, err := newClient(cmd)
		if err != nil {
			return err
		}
		defer c.close()
		ctx, cancel := context.WithTimeout(ctx, cmd.Duration(timeoutFlag))
		defer cancel()
		return f(ctx, cmd, c)
	}
}

// argument returns a required argument.
func argument(cmd *cli.Command, i int, name string) (string, error) {
	if v := cmd.Args().Get(i); v != "" {
		return v, nil
	}
	return "", merry.Appendf(ErrUsage, "%s is missing", name)
}

// readFile reads a document from a file, or from standard input for "-".
func readFile(cmd *cli.Command, name string) ([]byte, error) {
	var r io.Reader = cmd.Root().Reader
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer func() { _ = f.Close() }() // it was only read
		r = f
	}
	// The limit leaves room for the marker, and for the check to find a document that is too long.
	return io.ReadAll(io.LimitReader(r, source.MaxBytes+1024))
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "report all that is wrong with a document; with --" + administrationFlag + ", against the one that is applied too",
		ArgsUsage: "FILE",
		Flags:     serverFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			name, err := argument(cmd, 0, "FILE")
			if err != nil {
				return err
			}
			file, err := readFile(cmd, name)
			if err != nil {
				return err
			}
			if len(cmd.StringSlice(administrationFlag)) == 0 {
				d, findings := document.Parse(name, file)
				return report(cmd, d, findings, nil)
			}
			return withClient(func(ctx context.Context, cmd *cli.Command, c *client) error {
				return checkRemote(ctx, cmd, c, name, file)
			})(ctx, cmd)
		},
	}
}

func checkRemote(ctx context.Context, cmd *cli.Command, c *client, name string, file []byte) error {
	d, findings := document.Parse(name, file)
	if d.Service == "" {
		return report(cmd, d, findings, nil)
	}
	// The marker is a comment and is sent too, so that findings have the line numbers of the file.
	a, err := c.send(ctx, call{method: http.MethodPost, service: d.Service, resource: "check", body: file})
	if err != nil {
		return err
	}
	if err := a.asError(); err != nil {
		return err
	}
	var checked administration.CheckResult
	if err := a.decode(&checked); err != nil {
		return err
	}
	return report(cmd, d, withFileName(checked.Findings, name), checked.Changes)
}

// withFileName sets the name of the operator's file in findings that the API returned.
func withFileName(list finding.List, file string) finding.List {
	for i := range list {
		list[i].Position.File = file
	}
	return list
}

// report prints the findings and fails, or prints what the document would change.
func report(cmd *cli.Command, d *document.Document, findings finding.List, changes []document.Change) error {
	w := cmd.Root().Writer
	if len(findings) > 0 {
		fmt.Fprintln(w, findings.Error())
		return merry.Appendf(ErrFindings, "%d", len(findings))
	}
	printChanges(w, changes)
	text, _, _ := cutMarker(d.Text())
	fmt.Fprintf(w, "%s: no findings; digest %s\n", d.Service, document.DigestOf(text).Short())
	return nil
}

// printChanges prints the changes. For a new service it prints only the first one,
// since everything in its document is new.
func printChanges(w io.Writer, changes []document.Change) {
	if len(changes) > 0 && changes[0].Path == "service" && changes[0].Effect == document.Added {
		fmt.Fprintln(w, changes[0])
		return
	}
	for _, c := range changes {
		fmt.Fprintln(w, c)
	}
}

func showCommand() *cli.Command {
	return &cli.Command{
		Name:      "show",
		Usage:     "print a document; the first line names its version, for a later apply",
		ArgsUsage: "SERVICE",
		Flags:     append(readFlags(), &cli.StringFlag{Name: refFlag, Value: "applied", Usage: "`REF`: " + refFormat}),
		Action: withClient(func(ctx context.Context, cmd *cli.Command, c *client) error {
			service, err := argument(cmd, 0, "SERVICE")
			if err != nil {
				return err
			}
			a, err := c.get(ctx, call{service: service, query: url.Values{"ref": {cmd.String(refFlag)}}})
			if err != nil {
				return err
			}
			w := cmd.Root().Writer
			if version, err := administration.ParseETag(a.header.Get("ETag")); err == nil {
				fmt.Fprint(w, marker{version: version, digest: document.DigestOf(a.body)})
			}
			_, err = w.Write(a.body)
			return err
		}),
	}
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "print what changes from one document of a service to another",
		ArgsUsage: "SERVICE",
		Flags: append(readFlags(), jsonOutput(),
			&cli.StringFlag{Name: fromFlag, Value: administration.RefBefore, Usage: "`REF`: " + refFormat},
			&cli.StringFlag{Name: toFlag, Value: administration.RefApplied, Usage: "`REF`: " + refFormat},
		),
		Action: withClient(func(ctx context.Context, cmd *cli.Command, c *client) error {
			service, err := argument(cmd, 0, "SERVICE")
			if err != nil {
				return err
			}
			query := url.Values{"from": {cmd.String(fromFlag)}, "to": {cmd.String(toFlag)}}
			a, err := c.get(ctx, call{service: service, resource: "diff", query: query})
			if err != nil {
				return err
			}
			var changes []document.Change
			return printAnswer(cmd, a, &changes, func(w io.Writer) {
				printChanges(w, changes)
			})
		}),
	}
}

// printAnswer decodes an answer into v and prints it as JSON, or by text for a person.
func printAnswer(cmd *cli.Command, a *answer, v any, text func(w io.Writer)) error {
	if err := a.decode(v); err != nil {
		return err
	}
	return printValue(cmd, v, text)
}

// printValue prints v as JSON if the flag asks for it, and otherwise by text for a person.
func printValue(cmd *cli.Command, v any, text func(w io.Writer)) error {
	w := cmd.Root().Writer
	if !cmd.Bool(jsonFlag) {
		text(w)
		return nil
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

func historyCommand(now func() time.Time) *cli.Command {
	return &cli.Command{
		Name:      "history",
		Usage:     "print the documents that were applied, by whom and when",
		ArgsUsage: "SERVICE",
		Flags: append(readFlags(), jsonOutput(),
			&cli.StringFlag{Name: atFlag, Usage: "only the one applied at `TIME`, for example 2026-03-02T14:05:00Z, or 14:05 today"},
		),
		Action: withClient(func(ctx context.Context, cmd *cli.Command, c *client) error {
			service, err := argument(cmd, 0, "SERVICE")
			if err != nil {
				return err
			}
			query, err := atQuery(cmd.String(atFlag), now())
			if err != nil {
				return err
			}
			a, err := c.get(ctx, call{service: service, resource: "history", query: query})
			if err != nil {
				return err
			}
			var entries []administration.HistoryEntry
			return printAnswer(cmd, a, &entries, func(w io.Writer) { printHistory(w, entries) })
		}),
	}
}

// atQuery returns the query for a time of day today, in the operator's time zone, or for a
// time with its date.
func atQuery(at string, now time.Time) (url.Values, error) {
	if at == "" {
		return nil, nil
	}
	if t, err := time.ParseInLocation("15:04", at, now.Location()); err == nil {
		y, m, d := now.Date()
		at = time.Date(y, m, d, t.Hour(), t.Minute(), 59, 0, now.Location()).Format(time.RFC3339)
	}
	if _, err := time.Parse(time.RFC3339, at); err != nil {
		return nil, merry.Appendf(ErrUsage, "--%s: %s is no time such as 2026-03-02T14:05:00Z or 14:05", atFlag, at)
	}
	return url.Values{"at": {at}}, nil
}

func printHistory(w io.Writer, entries []administration.HistoryEntry) {
	for _, e := range slices.Backward(entries) {
		fmt.Fprint(w, e.Entry)
		if !e.HasText {
			fmt.Fprint(w, " (text not kept)")
		}
		fmt.Fprintln(w)
	}
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:      "status",
		Usage:     "print what is applied and where it is in force, of one service or of all",
		ArgsUsage: "[SERVICE]",
		Flags:     append(readFlags(), jsonOutput()),
		Action: withClient(func(ctx context.Context, cmd *cli.Command, c *client) error {
			services, err := namedOrAllServices(ctx, cmd, c)
			if err != nil {
				return err
			}
			for _, service := range services {
				s, err := c.status(ctx, service)
				if err != nil {
					return err
				}
				if err := printValue(cmd, s, func(w io.Writer) { fmt.Fprint(w, s.Text()) }); err != nil {
					return err
				}
			}
			return nil
		}),
	}
}

// namedOrAllServices returns the services of the arguments, or all if there are none.
func namedOrAllServices(ctx context.Context, cmd *cli.Command, c *client) ([]string, error) {
	if cmd.Args().Present() {
		return cmd.Args().Slice(), nil
	}
	a, err := c.get(ctx, call{})
	if err != nil {
		return nil, err
	}
	var list []administration.Listing
	if err := a.decode(&list); err != nil {
		return nil, err
	}
	names := make([]string, len(list))
	for i, each := range list {
		names[i] = each.Service
	}
	return names, nil
}
