package deployed

import (
	"os"

	"github.com/phuslu/log"
)

// logRing is how many lines wait to be written. At the busiest, some hundred lines
// are made in a second; a reader that stalls longer than that loses lines, and
// requests never wait for it.
const logRing = 2048

// NewLog returns a logger of JSON lines to standard output.
func NewLog(s Settings) *log.Logger {
	return &log.Logger{
		Level:      log.InfoLevel,
		TimeFormat: "15:04:05.000",
		Context:    log.NewContext(nil).Str("host", string(s.Name)).Value(),
		Writer: &log.AsyncWriter{
			ChannelSize:   logRing,
			DiscardOnFull: true,
			Writer:        &log.IOWriter{Writer: os.Stdout},
		},
	}
}
