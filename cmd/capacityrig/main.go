// Command capacityrig measures which resources the processes of the system use. It
// starts some of them on loopback together with stand-ins, varies one size at a
// time, and fits a line through the figures. docs/CAPACITY.md uses the slopes.
//
// It is not part of the product, which starts no other processes.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
)

func main() {
	binary := flag.String("binary", "./wagtailshelf", "the program to measure")
	only := flag.String("only", "", "names of measurements, separated by commas; all if empty")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, *binary, *only); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, binary, only string) error {
	for _, m := range measurements {
		if only != "" && !slices.Contains(strings.Split(only, ","), m.name) {
			continue
		}
		if err := m.print(ctx, binary); err != nil {
			return fmt.Errorf("%s: %w", m.name, err)
		}
	}
	return nil
}

// print runs a measurement at each of its sizes and prints the figures and the
// fitted lines.
func (m measurement) print(ctx context.Context, binary string) error {
	fmt.Printf("\n### %s: %s\n\n| %s |", m.name, m.title, m.unit)
	for _, c := range m.columns {
		fmt.Printf(" %s |", c)
	}
	fmt.Println("\n|" + strings.Repeat("---|", len(m.columns)+1))
	xs := make([]float64, 0, len(m.sizes))
	ys := make([][]float64, len(m.columns))
	for _, size := range m.sizes {
		x, figures, err := m.measureSize(ctx, binary, size)
		if err != nil {
			return err
		}
		fmt.Printf("| %.0f |", x)
		xs = append(xs, x)
		for i, y := range figures {
			fmt.Printf(" %.4g |", y)
			ys[i] = append(ys[i], y)
		}
		fmt.Println()
	}
	fmt.Println()
	for i, c := range m.columns {
		l := fit(xs, ys[i])
		fmt.Printf("- %s: %.4g + %.4g for each; R2 %.3f\n", c, l.intercept, l.slope, l.r2)
	}
	return nil
}

// measureSize measures one size in a new deployment.
func (m measurement) measureSize(ctx context.Context, binary string, size int) (x float64, figures []float64, err error) {
	d, err := newDeployment(binary)
	if err != nil {
		return 0, nil, err
	}
	defer d.close()
	return m.measure(ctx, d, size)
}
