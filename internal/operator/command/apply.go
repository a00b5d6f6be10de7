package command

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
	"wagtailshelf.example/wagtailshelf/internal/record/status"
	"wagtailshelf.example/wagtailshelf/internal/wire/administration"
)

const (
	versionFlag     = "version"
	waitFlag        = "wait"
	waitTimeoutFlag = "wait-timeout"
	pollEvery       = 500 * time.Millisecond // each costs the platform a call for each process asked
)

// Errors of a wait.
var (
	ErrSuperseded = merry.Sentinel("another document was applied since")
	ErrNotInForce = merry.Sentinel("the document is not in force at all processes asked yet; it stays applied")
)

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:  "apply",
		Usage: "check a document and make it the one that is wanted",
		Description: "The first line of FILE, as \"show\" prints it, names the version that was edited. " +
			"If somebody else has applied another one since, nothing changes and the difference is printed. " +
			"A file without that line is for a new service, unless --" + versionFlag + " is given.",
		ArgsUsage: "FILE",
		Flags: append(serverFlags(),
			&cli.Uint64Flag{Name: versionFlag, Usage: "`VERSION` that was edited, instead of the one in the file"},
			&cli.BoolFlag{Name: waitFlag, Usage: "wait until it is in force at all addresses given, and tell who lags"},
			&cli.DurationFlag{Name: waitTimeoutFlag, Value: time.Minute, Usage: "`DURATION` to wait so"},
		),
		Action: apply,
	}
}

func apply(ctx context.Context, cmd *cli.Command) error {
	name, err := argument(cmd, 0, "FILE")
	if err != nil {
		return err
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	defer c.close()
	receipt, err := submit(ctx, cmd, c, name)
	if err != nil || !cmd.Bool(waitFlag) {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration(waitTimeoutFlag))
	defer cancel()
	return wait(ctx, cmd.Root().Writer, c, receipt)
}

// submit applies the file and prints the receipt, or why it was refused.
func submit(ctx context.Context, cmd *cli.Command, c *client, name string) (*administration.Receipt, error) {
	file, err := readFile(cmd, name)
	if err != nil {
		return nil, err
	}
	text, mark, marked := cutMarker(file)
	d, findings := document.Parse(name, file)
	if d.Service == "" {
		return nil, report(cmd, d, findings, nil)
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration(timeoutFlag))
	defer cancel()
	a, err := c.send(ctx, call{
		method: http.MethodPut, service: d.Service, body: text,
		header: condition(mark, object.Version(cmd.Uint64(versionFlag))),
	})
	if err != nil {
		return nil, err
	}
	if a.code != http.StatusOK {
		return nil, refusal(cmd.Root().Writer, a, name, marked)
	}
	var receipt administration.Receipt
	if err := a.decode(&receipt); err != nil {
		return nil, err
	}
	printReceipt(cmd.Root().Writer, &receipt)
	if marked && name != "-" {
		return &receipt, remark(name, text, &receipt)
	}
	return &receipt, nil
}

// condition returns the headers that say which version was edited.
func condition(m marker, version object.Version) http.Header {
	h := http.Header{}
	if version == 0 {
		version = m.version
	}
	if version == 0 {
		h.Set("If-None-Match", "*")
		return h
	}
	h.Set("If-Match", fmt.Sprintf("%q", fmt.Sprint(version)))
	if m.digest != (document.Digest{}) {
		h.Set(administration.BaseHeader, m.digest.String())
	}
	return h
}

// remark writes the new version into the first line of the file, so that the
// next edit begins with it.
func remark(name string, text []byte, r *administration.Receipt) error {
	m := marker{version: r.Version, digest: r.Digest}
	return os.WriteFile(name, append([]byte(m.String()), text...), 0o644)
}

func printReceipt(w io.Writer, r *administration.Receipt) {
	printChanges(w, r.Changes)
	fmt.Fprintf(w, "%s: applied as version %d, digest %s\n", r.Service, r.Version, r.Digest.Short())
}

// refusal prints the findings or the other operator's changes.
func refusal(w io.Writer, a *answer, name string, marked bool) error {
	var p administration.Problem
	if a.decode(&p) != nil {
		return a.ok()
	}
	switch {
	case len(p.Findings) > 0:
		if marked { // the line that was cut off counts for the operator
			for i := range p.Findings {
				p.Findings[i].Position.Line++
			}
		}
		fmt.Fprintln(w, renamed(p.Findings, name).Error())
		return merry.Appendf(ErrFindings, "%d; nothing has changed", len(p.Findings))
	case p.Conflict != nil:
		printConflict(w, p.Conflict)
		return merry.Appendf(ErrConflict, "%s", p.Message)
	}
	return a.ok()
}

func printConflict(w io.Writer, k *administration.Conflict) {
	if k.Version == 0 {
		fmt.Fprintln(w, "the document does not exist any more")
		return
	}
	by := k.By
	if by == "" {
		by = "unknown"
	}
	fmt.Fprintf(w, "version %d, digest %s, was applied by %s at %s:\n", k.Version, k.Digest.Short(), by, k.At.UTC().Format(time.RFC3339))
	for _, c := range k.Changes {
		fmt.Fprintf(w, "  %s\n", c)
	}
}

// wait follows the status until the document is in force at all processes that were
// named, and prints each change on the way.
func wait(ctx context.Context, w io.Writer, c *client, r *administration.Receipt) error {
	last := ""
	for {
		s, err := c.status(ctx, r.Service)
		if err == nil {
			line, done, err := progress(s, r)
			if line != last {
				fmt.Fprintln(w, line)
				last = line
			}
			if done {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return merry.Appendf(ErrNotInForce, "%s", last)
		case <-time.After(pollEvery):
		}
	}
}

// progress says how far the document has come, and whether the wait is over.
func progress(s *status.Status, r *administration.Receipt) (line string, done bool, err error) {
	a := s.Applied
	if a != nil && a.Number > uint64(r.Version) {
		return fmt.Sprintf("number %d by %s was applied since", a.Number, a.By), true, ErrSuperseded
	}
	line = fmt.Sprintf("number %d: in force on %d of %d", r.Version, s.InForce(), len(s.Processes))
	for i, l := range s.Lagging() {
		if i == maxNamed {
			line += ", ..."
			break
		}
		line += ", " + l
	}
	return line, s.Settled(), nil
}

// maxNamed bounds the processes that one line names.
const maxNamed = 8
