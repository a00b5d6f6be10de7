// Package role implements the commands that run a process of the system: an entry or a
// sidecar.
package role

import (
	"context"
	"errors"
	"io"
	"os"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"
	"github.com/phuslu/log"
	"github.com/urfave/cli/v3"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/program/process"
	"wagtailshelf.example/wagtailshelf/internal/program/setting"
	"wagtailshelf.example/wagtailshelf/internal/program/signals"
	"wagtailshelf.example/wagtailshelf/internal/program/sink"
	"wagtailshelf.example/wagtailshelf/internal/record/finding"
	"wagtailshelf.example/wagtailshelf/internal/wire/credential"
	"wagtailshelf.example/wagtailshelf/internal/wire/ingress"
)

const settingsFlag = "settings"

// flushLimit is how long the last log lines of a process may take to be written.
const flushLimit = time.Second

// ErrRole reports settings for a role other than that of the command.
var ErrRole = merry.New("the settings are for another role")

// Commands returns the commands "entry", "sidecar" and "serve".
func Commands() []*cli.Command {
	return []*cli.Command{
		command(host.Entry, "meet callers and route their requests", runEntry),
		command(host.Sidecar, "stand before a target", runSidecar),
		serveCommand(),
	}
}

func command(role host.Role, usage string, serve func(context.Context, *base) error) *cli.Command {
	return &cli.Command{
		Name:  string(role),
		Usage: usage,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: settingsFlag, Required: true, Usage: "`FILE` with the settings; - for standard input"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			signals.IgnoreBrokenPipes()
			// From before the settings are read. The process can also be stopped while it waits for its addresses.
			stops, hangups := signals.Stops(), signals.Hangups()
			opening, opened := signals.UntilStopped(ctx)
			defer opened()
			b, err := load(opening, cmd, role)
			if err != nil {
				return err
			}
			b.stops, b.hangups = stops, hangups
			defer b.lines.Flush(flushLimit)
			sink.CaptureLibraries(b.log)
			b.opening = opening
			if err := serve(ctx, b); !errors.Is(err, context.Canceled) {
				return err
			}
			return nil
		},
	}
}

// base holds what the processes of both roles are built from.
type base struct {
	file      string // with the settings, or "-" for standard input
	settings  setting.Settings
	identity  host.Identity
	keys      *credential.Store
	operators *credential.TokenSet
	lines     *sink.Sink // of the log
	log       *log.Logger
	metrics   *metrics.Set
	resources ingress.Resources // that the process has
	opening   context.Context   // ends when the process is asked to stop
	stops     <-chan os.Signal  // as those of the program
	hangups   <-chan os.Signal
}

func load(ctx context.Context, cmd *cli.Command, role host.Role) (*base, error) {
	file := cmd.String(settingsFlag)
	s, err := read(ctx, cmd, file)
	if err != nil {
		return nil, err
	}
	if s.Role != role {
		return nil, merry.Wrap(ErrRole, merry.AppendMessagef("%s is for role %s", file, s.Role))
	}
	b, err := build(s)
	if err != nil {
		return nil, err
	}
	b.file = file
	return b, nil
}

func read(ctx context.Context, cmd *cli.Command, file string) (s setting.Settings, err error) {
	decode := func(text []byte) error {
		var findings finding.List
		s, findings = setting.Load(file, text)
		return findings.Err()
	}
	if file != "-" {
		_, err = readSettled(ctx, file, decode)
		return s, err
	}
	text, err := io.ReadAll(cmd.Root().Reader)
	if err != nil {
		return s, err
	}
	return s, decode(text)
}

func build(s setting.Settings) (*base, error) {
	material, err := s.TLS.Material(os.ReadFile)
	if err != nil {
		return nil, err
	}
	keys, err := credential.NewStore(material, time.Now)
	if err != nil {
		return nil, err
	}
	operators, err := s.TokenSet()
	if err != nil {
		return nil, err
	}
	m := metrics.NewSet()
	lines := sink.New(os.Stderr, m)
	return &base{
		settings: s,
		identity: host.Identity{
			Name:       s.Name,
			Role:       s.Role,
			DataCentre: s.DataCentre,
			Region:     s.Region,
			// A host stores nothing, so only the clock distinguishes successive
			// incarnations of its process. If the clock runs backwards, peers know
			// a higher incarnation and report it to the process, which then takes
			// one above it.
			Incarnation: host.Incarnation(time.Now().UnixNano()),
			Address:     s.Listen.Peers,
		},
		keys:      keys,
		operators: operators,
		lines:     lines,
		log:       logger(s, lines),
		metrics:   m,
		resources: claimResources(s),
	}, nil
}

var levels = map[setting.Level]log.Level{
	setting.Debug: log.DebugLevel,
	setting.Info:  log.InfoLevel,
	setting.Warn:  log.WarnLevel,
	setting.Error: log.ErrorLevel,
}

// logger returns a logger of JSON lines.
func logger(s setting.Settings, to *sink.Sink) *log.Logger {
	return &log.Logger{
		Level:   levels[s.Log.Level],
		Context: log.NewContext(nil).Str("host", string(s.Name)).Str("role", string(s.Role)).Value(),
		Writer:  to,
	}
}

// serve runs a program together with its administration server.
func (b *base) serve(ctx context.Context, p *process.Program) error {
	p.Log = b.log
	p.Reload = b.reload
	p.Stops, p.Hangups = b.stops, b.hangups
	p.Admin.Operators = b.operators
	p.Admin.Metrics = b.metrics
	p.Admin.Resources = b.resources
	p.Admin.Log = b.log
	if err := p.Admin.Listen(b.opening, b.settings.Listen.Administration); err != nil {
		return err
	}
	b.log.Info().Uint64("incarnation", uint64(b.identity.Incarnation)).Msg("started")
	err := p.Serve(ctx)
	b.log.Info().Msg("ended")
	return err
}

// claimResources returns what the process has, by its settings or by what it knows itself, and limits the memory that its
// runtime takes of that. Without the limit, garbage would fill what the runtime does not count.
func claimResources(s setting.Settings) ingress.Resources {
	r := ingress.Resources{Memory: int64(s.Limits.Memory) * 1e6, Descriptors: s.Limits.Descriptors}.Fill()
	limitMemory(r.Memory)
	return r
}
