package command

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/urfave/cli/v3"

	"wagtailshelf.example/wagtailshelf/internal/operator/token"
	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/record/status"
	standin "wagtailshelf.example/wagtailshelf/internal/standin/platform"
	"wagtailshelf.example/wagtailshelf/internal/wire/administration"
	"wagtailshelf.example/wagtailshelf/internal/wire/platform"
)

var update = flag.Bool("update", false, "rewrite the golden files")

var startTime = time.Date(2026, 3, 2, 14, 0, 0, 0, time.UTC)

// session runs commands as operators would and records what they print.
type session struct {
	t                     *testing.T
	dir                   string
	platform              *standin.Platform
	now                   time.Time
	log                   bytes.Buffer
	replacer              *strings.Replacer // replaces texts that differ from run to run
	administrationAddress string
	platformAddress       string
	documentNumber        uint64 // number of the document that is active at the process
}

func newSession(t *testing.T) *session {
	s := &session{t: t, dir: t.TempDir(), platform: standin.New(standin.Config{}), now: startTime}
	platformServer := httptest.NewServer(s.platform)
	t.Cleanup(platformServer.Close)
	client := platform.New(platform.Config{URL: platformServer.URL})
	t.Cleanup(client.Close)
	e := echo.New()
	api := &administration.API{
		Records: &administration.Records{Do: client.Do},
		Now:     func() time.Time { return s.now },
		Operator: func(c echo.Context) string {
			return strings.TrimPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer token-of-")
		},
	}
	api.ProcessStatus = func(string) status.Process {
		return status.Process{Host: "mtl-a-entry-1", Number: s.documentNumber, Outcomes: status.Outcomes{Answered: 812, NotRun: 2}}
	}
	api.Mount(e.Group(""))
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	s.administrationAddress = strings.TrimPrefix(server.URL, "http://")
	s.platformAddress = strings.TrimPrefix(platformServer.URL, "http://")
	s.replacer = strings.NewReplacer(s.administrationAddress, "ADMINISTRATION", s.platformAddress, "PLATFORM", s.dir+"/", "")
	return s
}

// run runs one command line as an operator. ADMINISTRATION and PLATFORM are replaced
// by the addresses, and file names are those in the session's directory.
func (s *session) run(operator, line string) error {
	s.t.Setenv(token.Variable, "token-of-"+operator)
	fmt.Fprintf(&s.log, "%s$ wagtailshelf document %s\n", operator, line)
	args := strings.Fields(strings.NewReplacer("ADMINISTRATION", s.administrationAddress, "PLATFORM", s.platformAddress).Replace(line))
	out, toFile := &s.log, new(bytes.Buffer)
	if n := len(args); n > 2 && args[n-2] == ">" {
		out = toFile
	}
	for i, arg := range args {
		if strings.HasSuffix(arg, ".yaml") {
			args[i] = filepath.Join(s.dir, arg)
		}
	}
	file := ""
	if out == toFile {
		file = args[len(args)-1]
		args = args[:len(args)-2]
	}
	var printed bytes.Buffer
	root := &cli.Command{Name: "wagtailshelf", Writer: &printed, ErrWriter: &printed, Commands: commands(func() time.Time { return s.now })}
	root.ExitErrHandler = func(context.Context, *cli.Command, error) {} // the default one would exit the test
	err := root.Run(s.t.Context(), append([]string{"wagtailshelf", "document"}, args...))
	out.WriteString(s.replacer.Replace(printed.String()))
	if file != "" {
		s.write(file, toFile.String())
	}
	if err != nil {
		code := 1
		var exit cli.ExitCoder
		if errors.As(err, &exit) {
			code = exit.ExitCode()
		}
		fmt.Fprintf(&s.log, "error (code %d): %s\n", code, s.replacer.Replace(err.Error()))
	}
	s.log.WriteString("\n")
	return err
}

func (s *session) write(file, text string) {
	require.NoError(s.t, os.WriteFile(file, []byte(text), 0o600))
}

// edit replaces a text in a file of the session and records the edit.
func (s *session) edit(file, from, to string) {
	name := filepath.Join(s.dir, file)
	text, err := os.ReadFile(name)
	require.NoError(s.t, err)
	require.Contains(s.t, string(text), from)
	s.write(name, strings.Replace(string(text), from, to, 1))
	fmt.Fprintf(&s.log, "(in %s, %q becomes %q)\n\n", file, from, to)
}

// golden compares the record of the session with a golden file.
func (s *session) golden(name string) {
	s.t.Helper()
	if *update {
		require.NoError(s.t, os.WriteFile(name, s.log.Bytes(), 0o644))
	}
	want, err := os.ReadFile(name)
	require.NoError(s.t, err)
	assert.Equal(s.t, string(want), s.log.String())
}

func TestSessionOfTwoOperatorsAndAnAuditor(t *testing.T) {
	s := newSession(t)
	text, err := os.ReadFile("../../../examples/agenda.yaml")
	require.NoError(t, err)
	s.write(filepath.Join(s.dir, "agenda.yaml"), string(text))
	admin := " --administration ADMINISTRATION "

	require.NoError(t, s.run("marie", "check agenda.yaml"))
	s.edit("agenda.yaml", "deadline: 4s", "deadlin: 4")
	require.ErrorIs(t, s.run("marie", "check agenda.yaml"), ErrFindings)
	require.ErrorIs(t, s.run("marie", "apply"+admin+"agenda.yaml"), ErrFindings)
	s.edit("agenda.yaml", "deadlin: 4", "deadline: 4s")
	require.NoError(t, s.run("marie", "apply"+admin+"agenda.yaml"))
	require.NoError(t, s.run("marie", "status"+admin+"agenda"))
	s.documentNumber = 1
	require.NoError(t, s.run("marie", "status"+admin))

	s.now = startTime.Add(4 * time.Minute)
	require.NoError(t, s.run("marie", "show"+admin+"agenda > hers.yaml"))
	require.NoError(t, s.run("luc", "show"+admin+"agenda > his.yaml"))
	s.edit("hers.yaml", "concurrency: 64", "concurrency: 48")
	s.edit("his.yaml", "budget: 0.2", "budget: 0.1")
	require.NoError(t, s.run("marie", "check"+admin+"hers.yaml"))
	require.NoError(t, s.run("marie", "apply"+admin+"hers.yaml"))
	require.ErrorIs(t, s.run("luc", "apply"+admin+"his.yaml"), ErrConflict)
	require.NoError(t, s.run("luc", "diff"+admin+"agenda"))
	s.documentNumber = 3

	s.now = startTime.Add(10 * time.Minute)
	s.edit("hers.yaml", "queue: 128", "queue: 64")
	require.NoError(t, s.run("marie", "apply"+admin+"hers.yaml"))
	s.now = startTime.Add(11 * time.Minute)
	require.NoError(t, s.run("auditor", "history --platform PLATFORM agenda"))
	require.NoError(t, s.run("auditor", "history --platform PLATFORM --at 14:05 agenda"))
	require.NoError(t, s.run("auditor", "history --platform PLATFORM --at 2026-03-02T14:05:00Z --json agenda"))
	require.NoError(t, s.run("auditor", "diff --platform PLATFORM --from 1 --to 5 agenda"))
	require.NoError(t, s.run("auditor", "show --platform PLATFORM --ref 3 agenda > then.yaml"))
	then, err := os.ReadFile(filepath.Join(s.dir, "then.yaml"))
	require.NoError(t, err)
	assert.Contains(t, string(then), "concurrency: 48")
	assert.Contains(t, string(then), "queue: 128")
	require.NoError(t, s.run("auditor", "status --platform PLATFORM agenda"))
	require.NoError(t, s.run("auditor", "status --platform PLATFORM --json agenda"))
	require.ErrorIs(t, s.run("auditor", "show --platform PLATFORM other"), ErrRefused)
	require.ErrorIs(t, s.run("auditor", "history agenda"), ErrUsage)
	s.golden("testdata/session.golden")
}

// waitCase has the successive statuses that the API reports while an operator waits,
// and the output and error that are expected.
type waitCase struct {
	states []status.Status
	want   string
	err    error
}

func TestWaitPrintsLaggingProcesses(t *testing.T) {
	receipt := administration.Receipt{Service: "agenda", Version: 20, Digest: document.DigestOf([]byte("mine"))}
	applied := &status.Applied{Number: 20, Digest: receipt.Digest}
	cases := map[string]waitCase{
		"in force on all": {
			states: []status.Status{
				{Applied: applied, Processes: []status.Process{{Host: "a"}, {Host: "b", Number: 10}, {Host: "c", Number: 10}}},
				{Applied: applied, Processes: []status.Process{{Host: "a", Number: 20}, {Host: "b", Number: 20}, {Host: "c", Number: 10}}},
				{Applied: applied, Processes: []status.Process{{Host: "a", Number: 20}, {Host: "b", Number: 20}, {Host: "c", Number: 20}}},
			},
			want: "number 20: in force on 0 of 3, a has none, b has number 10, c has number 10\n" +
				"number 20: in force on 2 of 3, c has number 10\nnumber 20: in force on 3 of 3\n",
		},
		"superseded": {
			states: []status.Status{{Applied: &status.Applied{Number: 30, By: "luc"}}},
			want:   "number 30 by luc was applied since\n", err: ErrSuperseded,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			out, err := waitWithStates(t, c.states, &receipt)
			require.ErrorIs(t, err, c.err)
			assert.Equal(t, c.want, out)
		})
	}
}

// waitWithStates waits against an API that reports the states one after the other.
func waitWithStates(t *testing.T, states []status.Status, r *administration.Receipt) (string, error) {
	e := echo.New()
	n := 0
	e.GET("/documents/agenda/status", func(c echo.Context) error {
		s := states[min(n, len(states)-1)]
		n++
		return c.JSON(200, s)
	})
	var out bytes.Buffer
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	err := wait(ctx, &out, &client{do: inProcess(e)}, r)
	return out.String(), err
}
