// Package standin implements the commands that run the stand-ins of the platform, of
// a model engine and of a plain service as separate processes, for trials with many
// processes.
package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/standin/engine"
	"wagtailshelf.example/wagtailshelf/internal/standin/platform"
	"wagtailshelf.example/wagtailshelf/internal/standin/service"
)

const (
	listenFlag      = "listen"
	anyPort         = "127.0.0.1:0"
	readHeaderLimit = 5 * time.Second
	shutdownTimeout = time.Second
)

// Commands returns the command "standin" and its three subcommands. Each prints
// the addresses that it listens on, one per line, and runs until SIGTERM.
func Commands() []*cli.Command {
	return []*cli.Command{{
		Name:  "standin",
		Usage: "run a stand-in of an outside system, for trials",
		Commands: []*cli.Command{
			platformCommand(),
			engineCommand(),
			serviceCommand(),
		},
	}}
}

func newListenFlag() cli.Flag {
	return &cli.StringFlag{Name: listenFlag, Value: anyPort, Usage: "`ADDRESS` to listen on"}
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "objects with versions, conditional writes and watches",
		Flags: []cli.Flag{
			newListenFlag(),
			&cli.IntFlag{Name: "writes-per-second", Usage: "refuse writes above `RATE`; 0 for no limit"},
			&cli.IntFlag{Name: "reads-per-second", Usage: "refuse reads above `RATE`; 0 for no limit"},
			&cli.DurationFlag{Name: "hosts-lag", Usage: "show changes of the host list so much later"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			p := platform.New(platform.Config{Faults: platform.Faults{
				WritesPerSec: cmd.Int("writes-per-second"),
				ReadsPerSec:  cmd.Int("reads-per-second"),
				HostsLag:     cmd.Duration("hosts-lag"),
			}})
			return serve(ctx, cmd, p)
		},
	}
}

func engineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "a model engine, or a group of ranks in lock-step",
		Flags: []cli.Flag{
			newListenFlag(),
			&cli.IntFlag{Name: "ranks", Value: 1, Usage: "`NUMBER` of ranks; each prints its address, those after the first at any port"},
			&cli.IntFlag{Name: "layers", Value: 4, Usage: "expert `LAYERS` of a group"},
			&cli.IntFlag{Name: "experts", Value: 16, Usage: "`EXPERTS` a layer of a group"},
			&cli.IntFlag{Name: "slots", Value: 6, Usage: "expert `SLOTS` a rank and layer of a group"},
			&cli.DurationFlag{Name: "step", Value: engine.DefaultStep, Usage: "time of one step"},
			&cli.IntFlag{Name: "batch", Value: engine.DefaultMaxBatch, Usage: "requests in a step"},
			&cli.DurationFlag{Name: "load-lag", Value: 200 * time.Millisecond, Usage: "age of load reports"},
			&cli.DurationFlag{Name: "event-delay", Value: 300 * time.Millisecond, Usage: "delay of cache events"},
			&cli.FloatFlag{Name: "event-loss", Value: 0.01, Usage: "share of cache events lost"},
			&cli.BoolFlag{Name: "ignore-fence", Usage: "carry out orders with an old fence"},
			&cli.BoolFlag{Name: "check-ids", Usage: "refuse late copies of orders"},
			&cli.BoolFlag{Name: "cant-tell", Usage: "refuse to read orders back"},
		},
		Action: runEngine,
	}
}

func runEngine(ctx context.Context, cmd *cli.Command) error {
	cfg := engine.Config{
		Step:        cmd.Duration("step"),
		MaxBatch:    cmd.Int("batch"),
		LoadLag:     cmd.Duration("load-lag"),
		EventDelay:  cmd.Duration("event-delay"),
		EventLoss:   cmd.Float("event-loss"),
		IgnoreFence: cmd.Bool("ignore-fence"),
		CheckIDs:    cmd.Bool("check-ids"),
		NoReadBack:  cmd.Bool("cant-tell"),
	}
	ranks := cmd.Int("ranks")
	if ranks > 1 {
		evenMap, err := expertmap.Even(expertmap.Shape{
			Layers: cmd.Int("layers"), Experts: cmd.Int("experts"), Ranks: ranks, Slots: cmd.Int("slots"),
		})
		if err != nil {
			return err
		}
		cfg.Map = evenMap
	}
	g := engine.NewGroup(cfg, max(1, ranks))
	defer g.Close()
	handlers := make([]http.Handler, max(1, ranks))
	for i := range handlers {
		handlers[i] = g.Rank(i)
	}
	return serve(ctx, cmd, handlers...)
}

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "a plain service: agenda and preview app",
		Flags: []cli.Flag{newListenFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return serve(ctx, cmd, service.New())
		},
	}
}

// serve serves the first handler at the address of the flag and the others at any free
// port, until SIGTERM.
func serve(ctx context.Context, cmd *cli.Command, handlers ...http.Handler) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	ended := make(chan error, len(handlers))
	address := cmd.String(listenFlag)
	for _, h := range handlers {
		ln, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		fmt.Fprintln(cmd.Root().Writer, ln.Addr())
		go func() { ended <- serveOne(ctx, ln, h) }()
		address = anyPort
	}
	for range handlers {
		if err := <-ended; err != nil {
			return err
		}
	}
	return nil
}

func serveOne(ctx context.Context, ln net.Listener, h http.Handler) error {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderLimit}
	stopAfterFunc := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if srv.Shutdown(shutdownCtx) != nil {
			// Streams and watches that are still open are closed abruptly, which is
			// acceptable for a stand-in.
			_ = srv.Close()
		}
	})
	defer stopAfterFunc()
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
