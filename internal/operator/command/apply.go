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
	pollInterval    = 500 * time.Millisecond // each poll costs the platform one call per process
)

// Errors of "apply --wait".
var (
	ErrSuperseded = merry.Sentinel("another document has been applied since")
	ErrNotActive  = merry.Sentinel("the document is not yet in force at all processes that were asked; it stays applied")
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

// submit sends the file to the API, which applies it. It prints the receipt or the
// reason for the refusal.
func submit(ctx context.Context, cmd *cli.Command, c *client, name string) (*administration.Receipt, error) {
	file, err := readFile(cmd, name)
	if err != nil {
		return nil, err
	}
	text, edited, hasMarker := cutMarker(file)
	d, findings := document.Parse(name, file)
	if d.Service == "" {
		return nil, report(cmd, d, findings, nil)
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration(timeoutFlag))
	defer cancel()
	a, err := c.send(ctx, call{
		method: http.MethodPut, service: d.Service, body: text,
		header: preconditions(edited, object.Version(cmd.Uint64(versionFlag))),
	})
	if err != nil {
		return nil, err
	}
	if a.code != http.StatusOK {
		return nil, refusalError(cmd.Root().Writer, a, name, hasMarker)
	}
	var receipt administration.Receipt
	if err := a.decode(&receipt); err != nil {
		return nil, err
	}
	printReceipt(cmd.Root().Writer, &receipt)
	if hasMarker && name != "-" {
		return &receipt, updateMarker(name, text, &receipt)
	}
	return &receipt, nil
}

// preconditions returns the headers with the version that was edited, so that the API
// refuses the document if another one has been applied since.
func preconditions(edited marker, version object.Version) http.Header {
	h := http.Header{}
	if version == 0 {
		version = edited.version
	}
	if version == 0 {
		h.Set("If-None-Match", "*")
		return h
	}
	h.Set("If-Match", fmt.Sprintf("%q", fmt.Sprint(version)))
	if edited.digest != (document.Digest{}) {
		h.Set(administration.BaseHeader, edited.digest.String())
	}
	return h
}

// updateMarker writes the new version into the first line of the file, so that the
// next edit is based on it.
func updateMarker(name string, text []byte, r *administration.Receipt) error {
	m := marker{version: r.Version, digest: r.Digest}
	return os.WriteFile(name, append([]byte(m.String()), text...), 0o644)
}

func printReceipt(w io.Writer, r *administration.Receipt) {
	printChanges(w, r.Changes)
	fmt.Fprintf(w, "%s: applied as version %d, digest %s\n", r.Service, r.Version, r.Digest.Short())
}

// refusalError prints the findings, or the changes that another operator has made,
// and returns the error of the refused call.
func refusalError(w io.Writer, a *answer, name string, hasMarker bool) error {
	var p administration.Problem
	if a.decode(&p) != nil {
		return a.asError()
	}
	switch {
	case len(p.Findings) > 0:
		if hasMarker { // the marker was removed before sending, but is line 1 of the operator's file
			for i := range p.Findings {
				p.Findings[i].Position.Line++
			}
		}
		fmt.Fprintln(w, withFileName(p.Findings, name).Error())
		return merry.Appendf(ErrFindings, "%d; nothing has changed", len(p.Findings))
	case p.Conflict != nil:
		printConflict(w, p.Conflict)
		return merry.Appendf(ErrConflict, "%s", p.Message)
	}
	return a.asError()
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

// wait polls the status until the document is active at all processes whose
// addresses were given, and prints the progress whenever it changes.
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
			return merry.Appendf(ErrNotActive, "%s", last)
		case <-time.After(pollInterval):
		}
	}
}

// progress returns a line about where the document is active, and whether the wait
// is over.
func progress(s *status.Status, r *administration.Receipt) (line string, done bool, err error) {
	a := s.Applied
	if a != nil && a.Number > uint64(r.Version) {
		return fmt.Sprintf("number %d by %s was applied since", a.Number, a.By), true, ErrSuperseded
	}
	line = fmt.Sprintf("number %d: in force on %d of %d", r.Version, s.ActiveCount(), len(s.Processes))
	for i, l := range s.LaggingTexts() {
		if i == maxLagging {
			line += ", ..."
			break
		}
		line += ", " + l
	}
	return line, s.ActiveEverywhere(), nil
}

// maxLagging is the maximum number of lagging processes that one line names.
const maxLagging = 8
