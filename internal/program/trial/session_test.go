package trial_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/program/trial"
	"wagtailshelf.example/wagtailshelf/internal/standin/service"
	"wagtailshelf.example/wagtailshelf/internal/wire/caller"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// transcript records a session as text that is the same on each run.
type transcript struct {
	t    *testing.T
	d    *trial.Deployment
	logs *lockedBuffer
	text strings.Builder
}

// volatile are patterns of values in log lines and responses that differ from run to run, with
// their replacements.
var volatile = []struct {
	pattern *regexp.Regexp
	to      string
}{
	{regexp.MustCompile(`"time":"[^"]*"`), `"time":"T"`},
	{regexp.MustCompile(`"tookMicros":\d+`), `"tookMicros":0`},
	{regexp.MustCompile(`Date: [^\n]*`), `Date: T`},
}

var requestID = regexp.MustCompile(`\b[0-9a-f]{32}\b`)

func newTranscript(t *testing.T) *transcript {
	t.Helper()
	logs := &lockedBuffer{}
	d, err := trial.NewDeployment(logs)
	require.NoError(t, err)
	t.Cleanup(d.Close)
	return &transcript{t: t, d: d, logs: logs}
}

// line adds a line to the transcript.
func (tr *transcript) line(format string, args ...any) {
	fmt.Fprintf(&tr.text, format+"\n", args...)
}

// call makes a call and records it with its response.
func (tr *transcript) call(method, path, key, body string) {
	tr.t.Helper()
	tr.line("> %s %s", method, path)
	r, err := http.NewRequestWithContext(testContext(tr.t), method, "http://"+tr.d.Entries[0].Addr().String()+path, strings.NewReader(body))
	require.NoError(tr.t, err)
	r.Header.Set("Authorization", "Bearer "+trial.LargeKey)
	if key != "" {
		r.Header.Set(caller.KeyHeader, key)
		tr.line("> %s: %s", caller.KeyHeader, key)
	}
	if body != "" {
		tr.line("> %s", body)
	}
	resp, err := http.DefaultClient.Do(r)
	require.NoError(tr.t, err)
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	require.NoError(tr.t, err)
	tr.line("< %d", resp.StatusCode)
	tr.header(resp.Header)
	tr.header(resp.Trailer)
	for l := range strings.Lines(string(answer)) {
		tr.line("< %s", strings.TrimSuffix(l, "\n"))
	}
	tr.line("")
}

// header records a header, in the order of its lines.
func (tr *transcript) header(h http.Header) {
	var lines []string
	for name, values := range h {
		for _, v := range values {
			lines = append(lines, name+": "+v)
		}
	}
	slices.Sort(lines)
	for _, l := range lines {
		tr.line("< %s", l)
	}
}

// normalised returns the text with everything replaced that differs from run to
// run: request ids by their order of appearance, addresses by the names of their
// targets and entries, and times.
func (tr *transcript) normalised() string {
	text := tr.text.String()
	for _, t := range tr.d.Targets {
		text = strings.ReplaceAll(text, t.Sidecar.Addr().String(), "address-of-"+t.Name)
	}
	for _, e := range tr.d.Entries {
		text = strings.ReplaceAll(text, e.Addr().String(), "address-of-"+string(e.Name))
	}
	for _, v := range volatile {
		text = v.pattern.ReplaceAllString(text, v.to)
	}
	seen := map[string]string{}
	return requestID.ReplaceAllStringFunc(text, func(id string) string {
		if seen[id] == "" {
			seen[id] = fmt.Sprintf("request-%d", len(seen)+1)
		}
		return seen[id]
	})
}

// addLogs adds the log lines of the requests, in their order.
func (tr *transcript) addLogs() {
	for l := range strings.Lines(tr.logs.String()) {
		if strings.Contains(l, `"request ended"`) {
			tr.line("%s", strings.TrimSuffix(l, "\n"))
		}
	}
}

// requireGolden compares the transcript with a golden file, which it rewrites
// first if the flag -update is set.
func (tr *transcript) requireGolden(name string) {
	tr.t.Helper()
	file := filepath.Join("testdata", name+".golden")
	got := tr.normalised()
	if *update {
		require.NoError(tr.t, os.WriteFile(file, []byte(got), 0o644))
	}
	want, err := os.ReadFile(file)
	require.NoError(tr.t, err)
	require.Equal(tr.t, string(want), got)
}

// TestMorningSession compares the responses and log lines of typical calls with a
// golden file: a list, a draft, a summary, outcomes that are logged without and
// with a key, a retry with the same key, and calls that are refused.
func TestMorningSession(t *testing.T) {
	tr := newTranscript(t)
	engine, err := tr.d.AddEngine("redaction-0", "mtl-a")
	require.NoError(t, err)
	logbook := service.New()
	agenda, err := tr.d.AddService("agenda-0", "mtl-b", logbook)
	require.NoError(t, err)
	documents := map[string]string{
		"redaction": trial.RedactionDocument([]*trial.Target{engine}, ""),
		"agenda":    trial.AgendaDocument([]*trial.Target{agenda}, ""),
	}
	for _, name := range []string{"redaction", "agenda"} {
		tr.line("== documents/%s", name)
		tr.line("%s", documents[name])
		require.NoError(t, tr.d.Put(testContext(t), name, documents[name]))
	}
	e, err := tr.d.AddEntry("mtl-a-entry-0", "mtl-a", nil)
	require.NoError(t, err)
	require.Eventually(t, e.Ready, testTimeout, 5*time.Millisecond)

	tr.line("== calls")
	tr.call(http.MethodGet, "/agenda/lists/anne", "", "")
	tr.call(http.MethodPost, "/redaction/v1/draft", "", `{"prompt":"warm opener for Mme Roy","maxTokens":5}`)
	tr.call(http.MethodPost, "/redaction/v1/summary", "", `{"prompt":"last call","maxTokens":3,"stream":false}`)
	tr.call(http.MethodPost, "/agenda/outcomes", "", `{"call":"c1","outcome":"reached"}`)
	tr.call(http.MethodPost, "/agenda/outcomes", "log-of-c2", `{"call":"c2","outcome":"no answer"}`)
	tr.call(http.MethodPost, "/agenda/outcomes", "log-of-c2", `{"call":"c2","outcome":"no answer"}`)
	tr.call(http.MethodPost, "/redaction/v1/nothing", "", `{}`)
	tr.call(http.MethodGet, "/elsewhere", "", "")

	tr.line("== logged at the agenda")
	for _, l := range logbook.Logged() {
		tr.line("%d x %s", l.Count, l.Body)
	}
	require.NoError(t, e.Drain(context.Background()))
	tr.line("== log lines")
	tr.addLogs()
	tr.requireGolden("morning")
}

// lockedBuffer is a buffer that several goroutines may use.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}
