package skew

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"

	"github.com/urfave/cli/v3"
)

// Command returns the command that measures skew and writes the tables and the
// trade-off curve.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "skew",
		Usage: "compare the planner of expert maps with baselines and bounds on a generated day",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "scenario", Usage: "days to measure", Value: []string{"drift", "term"}},
			&cli.IntSliceFlag{Name: "ranks", Usage: "sizes of groups to compare", Value: []int{16, 64, 256}},
			&cli.IntFlag{Name: "curve", Usage: "ranks of the group of the trade-off curve, 0 for none", Value: 64},
			&cli.IntFlag{Name: "slots", Usage: "slots per rank and layer; 0 for a tenth more than the experts need"},
			&cli.FloatFlag{Name: "hours", Usage: "length of the day to generate", Value: 6},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the demand", Value: 1},
			&cli.StringFlag{Name: "out", Usage: "directory for the tables and plots", Value: "docs/plots"},
		},
		Action: measure,
	}
}

// measure measures the scenarios that the flags name.
func measure(ctx context.Context, cmd *cli.Command) error {
	m := measurement{
		hours:  cmd.Float("hours"),
		slots:  cmd.Int("slots"),
		seed:   cmd.Uint64("seed"),
		out:    cmd.String("out"),
		tables: cmd.Root().Writer,
	}
	if err := os.MkdirAll(m.out, 0o755); err != nil {
		return err
	}
	names := cmd.StringSlice("scenario")
	for _, s := range scenarios() {
		if !slices.Contains(names, s.name) {
			continue
		}
		if err := m.compare(ctx, s, cmd.IntSlice("ranks")); err != nil {
			return err
		}
		if err := m.tradeOff(ctx, s, cmd.Int("curve")); err != nil {
			return err
		}
	}
	return nil
}

// measurement is one invocation of the command.
type measurement struct {
	hours  float64
	slots  int // per rank and layer, 0 for the default
	seed   uint64
	out    string
	tables io.Writer // receives each table as soon as it is ready
}

// compare measures the baselines and the shipped settings at each size and
// writes their tables.
func (m measurement) compare(ctx context.Context, s scenario, sizes []int) error {
	if len(sizes) == 0 {
		return nil
	}
	var page bytes.Buffer
	m.writeHeader(&page, "Skew and loads: "+s.name)
	for _, ranks := range sizes {
		policies := append(baselines(), shipped()...)
		list, err := run(ctx, s, shapeOf(ranks, m.slots), m.hours, m.seed, policies)
		if err != nil {
			return err
		}
		if err := writeTable(io.MultiWriter(&page, m.tables), s, list); err != nil {
			return err
		}
	}
	return m.save("skew-"+s.name+".md", page.Bytes())
}

// tradeOff measures planners with different weights and draws the trade-off curve.
func (m measurement) tradeOff(ctx context.Context, s scenario, ranks int) error {
	if ranks == 0 {
		return nil
	}
	policies := append(append(baselines(), shipped()...), curvePolicies()...)
	list, err := run(ctx, s, shapeOf(ranks, m.slots), m.hours, m.seed, policies)
	if err != nil {
		return err
	}
	var page bytes.Buffer
	m.writeHeader(&page, "Trade-off between skew and loads: "+s.name)
	if err := writeTable(io.MultiWriter(&page, m.tables), s, list); err != nil {
		return err
	}
	if err := m.save("tradeoff-"+s.name+".md", page.Bytes()); err != nil {
		return err
	}
	title := fmt.Sprintf("%s, %d ranks", s.name, ranks)
	return drawCurve(filepath.Join(m.out, "tradeoff-"+s.name+".png"), title, list)
}

func (m measurement) writeHeader(w io.Writer, title string) {
	fmt.Fprintf(w, "# %s\n\n%d experts, %d layers, seed %d.\n", title, experts, layers, m.seed)
}

func (m measurement) save(name string, page []byte) error {
	return os.WriteFile(filepath.Join(m.out, name), page, 0o644)
}
