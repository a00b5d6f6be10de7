package lifetime

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// writeTime is how long it takes to write the rest of a file of settings.
const writeTime = 50 * time.Millisecond

// Guards against a process that ends because its settings are still being written when it starts.
func TestSettingsAreBeingWritten(t *testing.T) {
	for _, r := range roles(t) {
		t.Run(r.name, func(t *testing.T) {
			file := r.settings()
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			for name, begin := range map[string][]byte{"none": nil, "a half": text[:len(text)/2], "all but the last byte but one": text[:len(text)-2]} {
				t.Run(name, func(t *testing.T) {
					require.NoError(t, os.WriteFile(file, begin, 0o600))
					p := r.start(t)
					p.Await(writeTime)
					require.NoError(t, os.WriteFile(file, text, 0o600))
					r.requireServes(t, p)
				})
			}
		})
	}
}

// Guards against a process that goes on without usable settings, and says nothing.
func TestSettingsAreWrong(t *testing.T) {
	for _, r := range roles(t) {
		t.Run(r.name, func(t *testing.T) {
			file := r.settings()
			require.NoError(t, os.WriteFile(file, []byte("role: none\n"), 0o600))
			p := r.start(t)
			require.True(t, p.Await(limit))
			require.Equal(t, "exit status 1", p.End())
		})
	}
}
