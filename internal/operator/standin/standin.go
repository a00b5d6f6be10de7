// Package standin holds the commands that run the stand-ins of the platform, of
// a model engine and of a plain service as processes of their own, for trials
// with many processes.
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

	"wagtailshelf.example/wagtailshelf/internal/standin/engine"
	"wagtailshelf.example/wagtailshelf/internal/standin/platform"
	"wagtailshelf.example/wagtailshelf/internal/standin/service"
)

const (
	listenFlag       = "listen"
	readHeaderLimit  = 5 * time.Second
	shutdownTimeout  = time.Second
	defaultAddresses = "127.0.0.1:0"
)

// Commands returns the command "standin" and its three subcommands. Each prints
// its address on the first line of its output and runs until SIGTERM.
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

func listen() cli.Flag {
	return &cli.StringFlag{Name: listenFlag, Value: defaultAddresses, Usage: "`ADDRESS` to listen on"}
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "objects with versions, conditional writes and watches",
		Flags: []cli.Flag{
			listen(),
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
		Usage: "a model engine of one rank",
		Flags: []cli.Flag{
			listen(),
			&cli.DurationFlag{Name: "step", Value: engine.DefaultStep, Usage: "time of one step"},
			&cli.IntFlag{Name: "batch", Value: engine.DefaultMaxBatch, Usage: "requests in a step"},
			&cli.DurationFlag{Name: "load-lag", Value: 200 * time.Millisecond, Usage: "age of load reports"},
			&cli.DurationFlag{Name: "event-delay", Value: 300 * time.Millisecond, Usage: "delay of cache events"},
			&cli.FloatFlag{Name: "event-loss", Value: 0.01, Usage: "share of cache events lost"},
			&cli.BoolFlag{Name: "ignore-fence", Usage: "carry out orders with an old fence"},
			&cli.BoolFlag{Name: "cant-tell", Usage: "refuse to read orders back"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			e := engine.New(engine.Config{
				Step:        cmd.Duration("step"),
				MaxBatch:    cmd.Int("batch"),
				LoadLag:     cmd.Duration("load-lag"),
				EventDelay:  cmd.Duration("event-delay"),
				EventLoss:   cmd.Float("event-loss"),
				IgnoreFence: cmd.Bool("ignore-fence"),
				CantTell:    cmd.Bool("cant-tell"),
			})
			defer e.Close()
			return serve(ctx, cmd, e)
		},
	}
}

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "a plain service: agenda and preview app",
		Flags: []cli.Flag{listen()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return serve(ctx, cmd, service.New())
		},
	}
}

func serve(ctx context.Context, cmd *cli.Command, h http.Handler) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	ln, err := net.Listen("tcp", cmd.String(listenFlag))
	if err != nil {
		return err
	}
	fmt.Fprintln(cmd.Root().Writer, ln.Addr())
	srv := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderLimit}
	go func() {
		<-ctx.Done()
		bounded, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if srv.Shutdown(bounded) != nil {
			// Streams and watches that last longer are cut: it is a stand-in.
			_ = srv.Close()
		}
	}()
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
