package role

import (
	"bytes"
	"context"
	"os"
	"time"
)

const (
	// settleTime is how long a file of settings must stay as it is before it counts as written.
	settleTime = time.Second
	// settleInterval is the time between two readings of a file that can't be used yet.
	settleInterval = 20 * time.Millisecond
)

// readSettled reads a file of settings and passes it to load. A file that is missing or that load refuses may still be
// being written, as the process starts when its settings are placed: it is read again until it has stayed the same for
// settleTime. Only a regular file can be read twice.
func readSettled(ctx context.Context, file string, load func(text []byte) error) (text []byte, err error) {
	changedAt := time.Now()
	for {
		before := text
		if text, err = os.ReadFile(file); err == nil {
			err = load(text)
		}
		if err == nil {
			return text, nil
		}
		if info, failed := os.Stat(file); failed == nil && !info.Mode().IsRegular() {
			return nil, err
		}
		now := time.Now()
		if !bytes.Equal(before, text) {
			changedAt = now
		}
		if now.Sub(changedAt) >= settleTime {
			return nil, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(settleInterval):
		}
	}
}
