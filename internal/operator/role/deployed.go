package role

import (
	"context"
	"os"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/program/companion"
	"wagtailshelf.example/wagtailshelf/internal/program/deployed"
	"wagtailshelf.example/wagtailshelf/internal/program/gateway"
	"wagtailshelf.example/wagtailshelf/internal/program/signals"
	"wagtailshelf.example/wagtailshelf/internal/program/sink"
	"wagtailshelf.example/wagtailshelf/internal/record/finding"
	"wagtailshelf.example/wagtailshelf/platform"
)

// ErrNoSettings reports that neither the flag nor the platform names a settings file.
var ErrNoSettings = merry.New("no settings file: none was given, and the platform names none")

// megabyte is the unit of the platform's settings, in bytes.
const megabyte = 1 << 20

// serveCommand returns the command that runs the role given by the platform's settings.
func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run the role that the platform's settings name",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: settingsFlag, Usage: "`FILE` with the settings; that of the platform if not given"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			signals.IgnoreBrokenPipes()
			ctx, stop := signals.UntilStopped(ctx)
			defer stop()
			hangups := signals.Hangups() // from before the settings are read
			file := cmd.String(settingsFlag)
			if file == "" {
				file = platform.SettingsFile()
			}
			if file == "" {
				return ErrNoSettings
			}
			var s deployed.Settings
			text, err := readSettled(ctx, file, func(text []byte) error {
				var findings finding.List
				s, findings = deployed.Load(file, text)
				return findings.Err()
			})
			if err != nil {
				return err
			}
			return serveRole(ctx, s, &deployed.Reloader{File: file, Text: text, Hangups: hangups})
		},
	}
}

func serveRole(ctx context.Context, s deployed.Settings, r *deployed.Reloader) error {
	limitMemory(int64(s.Memory * megabyte))
	m := metrics.NewSet()
	lines := sink.New(os.Stdout, m)
	defer lines.Flush(flushLimit)
	r.Log = deployed.NewLog(s, lines)
	sink.CaptureLibraries(r.Log)
	if s.Role == host.Sidecar {
		return companion.New(s, r.Log, m).Run(ctx, r)
	}
	return gateway.New(s, r.Log, m).Run(ctx, r)
}
