package deployed

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/phuslu/log"
)

// reloadInterval between looks at the settings file, which also changes without a
// signal. What it changes is promised to hold within seconds.
const reloadInterval = 2 * time.Second

// Reloader reads the settings again when they change.
type Reloader struct {
	File  string
	Text  []byte // as it was read last
	Log   *log.Logger
	Apply func(Settings)
}

// Run reads the settings on SIGHUP and when the file has changed. Settings with
// findings are logged and not used.
func (r *Reloader) Run(ctx context.Context) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
			signalled = true
		case <-tick.C:
		}
		r.look(signalled)
	}
}

func (r *Reloader) look(signalled bool) {
	text, err := os.ReadFile(r.File)
	if err != nil {
		r.Log.Error().Str("event", "settingsNotRead").Err(err).Msg("")
		return
	}
	if bytes.Equal(text, r.Text) {
		if signalled {
			r.Log.Info().Str("event", "reload").Bool("changed", false).Msg("")
		}
		return
	}
	r.Text = text
	s, findings := Load(r.File, text)
	if err := findings.Err(); err != nil {
		r.Log.Error().Str("event", "settingsRefused").Err(err).Msg("")
		return
	}
	r.Apply(s)
	r.Log.Info().Str("event", "reload").Bool("changed", true).Msg("")
}
