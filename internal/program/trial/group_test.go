package trial_test

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/program/trial"
)

// groupOf adds a group to the text of a document. Its first two targets become
// ranks 0 and 1 of the group.
func groupOf(text string) string {
	for _, rank := range []string{"0", "1"} {
		text = strings.Replace(text, "leaving: false}", "group: experts, rank: "+rank+"}", 1)
	}
	return text + "groups: [{name: experts, ranks: 2, layers: 2, experts: 4, slotsPerRank: 3, expertBytes: 1MiB, maxBytesPerSecond: 64MiB}]\n"
}

// A document names the hosts of two engines as the ranks of a group. Both
// sidecars join the group when the document becomes active, without a message
// from another process; a sidecar that didn't would block the whole group.
func TestSidecarsJoinTheirGroup(t *testing.T) {
	d, err := trial.NewDeployment(io.Discard)
	require.NoError(t, err)
	t.Cleanup(d.Close)
	for _, name := range []string{"redaction-0", "redaction-1"} {
		_, err := d.AddEngine(name, "mtl-a")
		require.NoError(t, err)
	}
	_, err = d.AddEntry("mtl-a-entry-0", "mtl-a", nil)
	require.NoError(t, err)
	require.NoError(t, d.Put(testContext(t), "redaction", groupOf(trial.RedactionDocument(d.Targets, ""))))
	for _, target := range d.Targets {
		require.Eventually(t, func() bool {
			state, err := target.Sidecar.State(testContext(t))
			return err == nil && state.Group != nil
		}, testTimeout, 20*time.Millisecond, target.Name)
	}
}
