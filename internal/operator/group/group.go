// Package group implements the commands that show how an expert group is balanced and
// what its planner would do now. They read the status that the planner writes to
// the platform, so an auditor sees the same as an operator.
package group

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"wagtailshelf.example/wagtailshelf/internal/expert/planner"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
	"wagtailshelf.example/wagtailshelf/internal/wire/platform"
)

const (
	platformFlag = "platform"
	timeoutFlag  = "timeout"
	jsonFlag     = "json"

	// cause labels the commands' calls in the platform's counts of calls.
	cause object.Cause = "operator"
)

// Errors of the commands.
var (
	ErrUsage    = merry.Sentinel("usage")
	ErrNoStatus = merry.Sentinel("the group has no status: no planner has written one yet")
	ErrPlatform = merry.Sentinel("the platform did not return the status")
)

// Commands returns the command "group" with its subcommands "status" and "plan".
func Commands() []*cli.Command {
	return []*cli.Command{{
		Name:  "group",
		Usage: "show how an expert group is balanced, and what its planner would do",
		Commands: []*cli.Command{
			command("status", "show a group's skew by rank, and what its last moves won", writeStatus),
			command("plan", "show what the planner would do now, and why", writePlan),
		},
	}}
}

func command(name, usage string, write func(io.Writer, *planner.Status, time.Time)) *cli.Command {
	return &cli.Command{
		Name:      name,
		Usage:     usage,
		ArgsUsage: "SERVICE GROUP",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: platformFlag, Required: true, Usage: "`ADDRESS` of the platform"},
			&cli.DurationFlag{Name: timeoutFlag, Value: 10 * time.Second, Usage: "`DURATION` to wait for an answer"},
			&cli.BoolFlag{Name: jsonFlag, Usage: "print the whole status as JSON, for programs"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			value, err := read(ctx, cmd)
			if err != nil {
				return err
			}
			w := cmd.Root().Writer
			if cmd.Bool(jsonFlag) {
				_, err := fmt.Fprintf(w, "%s\n", value)
				return err
			}
			var s planner.Status
			if err := json.Unmarshal(value, &s); err != nil {
				return merry.Prepend(err, "status of the group")
			}
			write(w, &s, time.Now())
			return nil
		},
	}
}

// read returns the status object of the group that the arguments name.
func read(ctx context.Context, cmd *cli.Command) ([]byte, error) {
	if cmd.Args().Len() != 2 {
		return nil, merry.Appendf(ErrUsage, "want SERVICE GROUP, have %d arguments", cmd.Args().Len())
	}
	addr, err := netip.ParseAddrPort(cmd.String(platformFlag))
	if err != nil {
		return nil, merry.Appendf(ErrUsage, "--%s: %v", platformFlag, err)
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration(timeoutFlag))
	defer cancel()
	p := platform.New(platform.Config{URL: "http://" + addr.String()})
	defer p.Close()
	key := planner.StatusKey(cmd.Args().Get(0), cmd.Args().Get(1))
	reply := p.Do(ctx, object.Call{Op: object.Get, Key: key, Cause: cause})
	switch reply.Status {
	case object.Done:
		return reply.Object.Value, nil
	case object.NotFound:
		return nil, ErrNoStatus
	}
	return nil, merry.Appendf(ErrPlatform, "%v", reply.Err)
}

// staleAfter is the age above which a status is marked as old: the planner
// writes a status each minute while it holds its lease.
const staleAfter = 3 * time.Minute

func writeHeader(w io.Writer, s *planner.Status, now time.Time) {
	age := now.Sub(s.At).Round(time.Second)
	note := ""
	if age > staleAfter {
		note = " (old: no planner is at work, the group keeps its map)"
	}
	fmt.Fprintf(w, "as of %s, %v ago%s\n", s.At.UTC().Format(time.RFC3339), age, note)
	fmt.Fprintf(w, "epoch %d, map %d, digest %s\n", s.Epoch, s.Map, s.Digest)
}

func writeStatus(w io.Writer, s *planner.Status, now time.Time) {
	writeHeader(w, s, now)
	fmt.Fprintf(w, "skew %.3f; step time of the experts %.3f of ideal\n", s.Skew, s.StepTime)
	fmt.Fprintf(w, "demand is expected to last %v%s\n", s.Horizon.Round(time.Second), lastShift(s))
	fmt.Fprintf(w, "\n%5s %9s %6s\n", "rank", "time", "speed")
	for r, t := range s.Ranks {
		speed := 1.0
		if r < len(s.Speed) {
			speed = s.Speed[r]
		}
		fmt.Fprintf(w, "%5d %9.3f %6.2f\n", r, t, speed)
	}
	fmt.Fprintf(w, "\n%-20s %-10s %6s %9s %7s %9s %8s\n", "last moves", "outcome", "loads", "MB", "before", "predicted", "measured")
	for _, m := range s.Switches {
		fmt.Fprintf(w, "%-20s %-10s %6d %9d %7.3f %9.3f %8.3f %s\n", m.At.UTC().Format(time.RFC3339),
			m.Outcome, m.Loads, m.Bytes/1e6, m.Before, m.Predicted, m.Measured, m.Reason)
	}
}

func lastShift(s *planner.Status) string {
	if s.Shifted.IsZero() {
		return ""
	}
	return ", last sharp shift at " + s.Shifted.UTC().Format(time.RFC3339)
}

func writePlan(w io.Writer, s *planner.Status, now time.Time) {
	writeHeader(w, s, now)
	fmt.Fprintln(w, s.Explanation)
	fmt.Fprintf(w, "weight store: %d MB may be loaded now\n", s.Plan.Allowance/1e6)
	if len(s.Plan.Layers) == 0 {
		return
	}
	fmt.Fprintf(w, "\n%5s %6s %7s %7s\n", "layer", "loads", "before", "after")
	for _, l := range s.Plan.Layers {
		fmt.Fprintf(w, "%5d %6d %7.3f %7.3f\n", l.Layer, l.Loads, l.Before, l.After)
	}
}
