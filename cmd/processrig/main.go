// Command processrig tests a complete deployment of processes on loopback: entries,
// sidecars and stand-ins. It starts them and injects failures, while callers send
// real requests and documents change every few seconds. At the end it compares the
// outcomes that the callers received with what the stand-ins counted. The command
// is not part of the product.
//
//	go build -o wagtailshelf ./cmd/wagtailshelf
//	go run ./cmd/processrig --binary ./wagtailshelf --for 1m
//
// The exit code is 1 if a promise of the product was broken, and 2 if the run itself
// failed.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// options are the settings of one run.
type options struct {
	binary   string
	length   time.Duration // of the load
	seed     uint64
	entries  int
	engines  int
	services int
	callers  int
	pause    time.Duration // of a caller between two calls
	calm     bool          // no failures
	keep     bool          // keep the logs
}

func parse() options {
	var o options
	flag.StringVar(&o.binary, "binary", "./wagtailshelf", "the product's `program`")
	flag.DurationVar(&o.length, "for", time.Minute, "`time` of the load")
	flag.Uint64Var(&o.seed, "seed", 1, "of the order of failures")
	flag.IntVar(&o.entries, "entries", 6, "entry processes")
	flag.IntVar(&o.engines, "engines", 20, "model engines, each with a sidecar")
	flag.IntVar(&o.services, "services", 6, "plain services, each with a sidecar")
	flag.IntVar(&o.callers, "callers", 24, "callers at a time")
	flag.DurationVar(&o.pause, "pause", 100*time.Millisecond, "of a caller between two calls")
	flag.BoolVar(&o.calm, "calm", false, "cause no failures")
	flag.BoolVar(&o.keep, "keep", false, "keep the directory with keys and logs")
	flag.Parse()
	return o
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	ok, err := run(ctx, parse())
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "processrig:", err)
		os.Exit(2)
	}
	if !ok {
		os.Exit(1)
	}
}

func run(ctx context.Context, o options) (bool, error) {
	dir, err := os.MkdirTemp("", "processrig")
	if err != nil {
		return false, err
	}
	if o.keep {
		fmt.Println("logs in", dir)
	} else {
		defer os.RemoveAll(dir)
	}
	c := newCluster(o, dir)
	defer c.close()
	if err := c.start(ctx); err != nil {
		return false, err
	}
	fmt.Printf("%d processes run\n", len(c.processes))
	watch := newWatcher(c)
	load := newLoad(c)
	bounded, cancel := context.WithTimeout(ctx, o.length)
	defer cancel()
	go watch.run(ctx)
	go load.run(bounded)
	newChaos(c, watch).run(bounded)
	load.wait()
	return report(c, watch, load), nil
}
