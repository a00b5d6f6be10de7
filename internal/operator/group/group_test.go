package group

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/urfave/cli/v3"

	"wagtailshelf.example/wagtailshelf/internal/expert/plan"
	"wagtailshelf.example/wagtailshelf/internal/expert/planner"
	"wagtailshelf.example/wagtailshelf/internal/standin/platform"
)

var status = planner.Status{
	At: time.Now(), Epoch: 2, Map: 7, Digest: "abc", Skew: 1.25, StepTime: 1.2,
	Ranks: []float64{0.9, 1.1}, Speed: []float64{1, 0.7}, Horizon: time.Hour,
	Plan:        plan.Proposal{Reason: plan.Move, Allowance: 5e9, Layers: []plan.LayerChange{{Layer: 4, Loads: 3, Before: 1.4, After: 1.1}}},
	Explanation: "load 3 experts",
	Switches: []planner.SwitchOutcome{{
		At: time.Now(), Outcome: "committed", Loads: 12, Bytes: 3e6, Before: 1.5, Predicted: 1.2, Measured: 1.21,
	}},
}

// run runs the command against a platform that holds the status, if s is not nil.
func run(t *testing.T, s *planner.Status, args ...string) (string, error) {
	p := platform.New(platform.Config{})
	if s != nil {
		value, err := json.Marshal(s)
		require.NoError(t, err)
		p.Put(planner.StatusKey("drafts", "main"), value)
	}
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	var out bytes.Buffer
	root := &cli.Command{Name: "wagtailshelf", Writer: &out, Commands: Commands()}
	args = append([]string{"wagtailshelf", "group"}, args...)
	args = append(args, "--platform", strings.TrimPrefix(server.URL, "http://"))
	err := root.Run(t.Context(), args)
	return out.String(), err
}

func TestCommands(t *testing.T) {
	old := status
	old.At = time.Now().Add(-time.Hour)
	cases := []struct {
		name string
		s    *planner.Status
		args []string
		want []string
	}{
		{"status", &status, []string{"status", "drafts", "main"}, []string{"skew 1.250", "0.70", "committed", "1.210"}},
		{"plan", &status, []string{"plan", "drafts", "main"}, []string{"load 3 experts", "5000 MB", "1.400"}},
		{"old status", &old, []string{"status", "drafts", "main"}, []string{"old: no planner is at work"}},
		{"json", &status, []string{"status", "--json", "drafts", "main"}, []string{`"skew":1.25`}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			out, err := run(t, c.s, c.args...)
			require.NoError(t, err)
			for _, want := range c.want {
				require.Contains(t, out, want)
			}
		})
	}
}

func TestErrors(t *testing.T) {
	_, err := run(t, nil, "status", "drafts", "main")
	require.ErrorIs(t, err, ErrNoStatus)
	_, err = run(t, nil, "status", "drafts")
	require.ErrorIs(t, err, ErrUsage)
}
