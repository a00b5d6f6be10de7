package deployed

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/phuslu/log"
)

// reloadInterval is how often the settings file is checked, as it may also change without a
// signal. Operators are promised that a change applies within seconds.
const reloadInterval = 2 * time.Second

// Reloader reads the settings again when they change.
type Reloader struct {
	File    string
	Text    []byte           // as last read
	Hangups <-chan os.Signal // each asks for the settings to be read again
	Log     *log.Logger
	Apply   func(Settings)
}

// Run reloads the settings on SIGHUP and when the file has changed. Settings with findings are not
// applied; the findings are logged.
func (r *Reloader) Run(ctx context.Context) error {
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return nil
		case <-r.Hangups:
			signalled = true
		case <-tick.C:
		}
		r.reload(signalled)
	}
}

func (r *Reloader) reload(signalled bool) {
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
