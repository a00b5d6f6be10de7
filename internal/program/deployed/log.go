package deployed

import (
	"github.com/phuslu/log"

	"wagtailshelf.example/wagtailshelf/internal/program/sink"
)

// NewLog returns a logger of JSON lines.
func NewLog(s Settings, to *sink.Sink) *log.Logger {
	return &log.Logger{
		Level:      log.InfoLevel,
		TimeFormat: "15:04:05.000",
		Context:    log.NewContext(nil).Str("host", string(s.Name)).Value(),
		Writer:     to,
	}
}
