// Package role holds the commands that run a process of the system.
package role

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"
	"github.com/phuslu/log"
	"github.com/urfave/cli/v3"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/program/process"
	"wagtailshelf.example/wagtailshelf/internal/program/setting"
	"wagtailshelf.example/wagtailshelf/internal/wire/credential"
)

const settingsFlag = "settings"

// ErrRole reports settings that are for the other role.
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
			b, err := load(cmd, role)
			if err != nil {
				return err
			}
			return serve(ctx, b)
		},
	}
}

// base is what both roles are built from.
type base struct {
	file     string // with the settings, or "-"
	settings setting.Settings
	identity host.Identity
	keys     *credential.Store
	ring     *credential.Ring
	log      *log.Logger
	metrics  *metrics.Set
	out      io.Writer
}

func load(cmd *cli.Command, role host.Role) (*base, error) {
	file := cmd.String(settingsFlag)
	text, err := read(cmd, file)
	if err != nil {
		return nil, err
	}
	s, findings := setting.Load(file, text)
	if err := findings.Err(); err != nil {
		return nil, err
	}
	if s.Role != role {
		return nil, merry.Wrap(ErrRole, merry.AppendMessagef("%s is for role %s", file, s.Role))
	}
	b, err := build(s, cmd.Root().Writer)
	if err != nil {
		return nil, err
	}
	b.file = file
	return b, nil
}

func read(cmd *cli.Command, file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(cmd.Root().Reader)
	}
	return os.ReadFile(file)
}

func build(s setting.Settings, out io.Writer) (*base, error) {
	material, err := s.TLS.Material(os.ReadFile)
	if err != nil {
		return nil, err
	}
	keys, err := credential.NewStore(material, time.Now)
	if err != nil {
		return nil, err
	}
	ring, err := s.Ring()
	if err != nil {
		return nil, err
	}
	return &base{
		settings: s,
		identity: host.Identity{
			Name:       s.Name,
			Role:       s.Role,
			DataCentre: s.DataCentre,
			Region:     s.Region,
			// A host keeps nothing, so the clock is all that tells one life of
			// its process from the next. Should it run backwards, peers know a
			// higher incarnation and tell the process, which then rises above it.
			Incarnation: host.Incarnation(time.Now().UnixNano()),
			Address:     s.Listen.Peers,
		},
		keys:    keys,
		ring:    ring,
		log:     logger(s),
		metrics: metrics.NewSet(),
		out:     out,
	}, nil
}

var levels = map[setting.Level]log.Level{
	setting.Debug: log.DebugLevel,
	setting.Info:  log.InfoLevel,
	setting.Warn:  log.WarnLevel,
	setting.Error: log.ErrorLevel,
}

// logger writes JSON lines to standard error.
func logger(s setting.Settings) *log.Logger {
	return &log.Logger{
		Level:   levels[s.Log.Level],
		Context: log.NewContext(nil).Str("host", string(s.Name)).Str("role", string(s.Role)).Value(),
		Writer:  &log.IOWriter{Writer: os.Stderr},
	}
}

// serve runs a program with its server for operators.
func (b *base) serve(ctx context.Context, p *process.Program) error {
	p.Log = b.log
	p.Reload = b.reload
	p.Admin.Operators = b.ring
	p.Admin.Metrics = b.metrics
	if err := p.Admin.Listen(b.settings.Listen.Administration); err != nil {
		return err
	}
	b.log.Info().Uint64("incarnation", uint64(b.identity.Incarnation)).Msg("started")
	err := p.Serve(ctx)
	b.log.Info().Msg("ended")
	return err
}

// announce prints the addresses that the process is bound to.
func (b *base) announce(what string, addr netip.AddrPort) {
	fmt.Fprintf(b.out, "%s %s\n", what, addr)
}
