package status_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/record/finding"
	"wagtailshelf.example/wagtailshelf/internal/record/status"
)

func applied(number uint64) *status.Applied {
	return &status.Applied{
		Number: number, Digest: document.DigestOf([]byte("x")), By: "marie",
		At: time.Date(2026, 3, 2, 14, 0, 0, 0, time.UTC),
	}
}

func TestSettled(t *testing.T) {
	for name, c := range map[string]struct {
		status status.Status
		want   bool
	}{
		"nothing applied":  {status.Status{Processes: []status.Process{{Host: "a"}}}, false},
		"nobody asked":     {status.Status{Applied: applied(7)}, false},
		"one lags":         {status.Status{Applied: applied(7), Processes: []status.Process{{Number: 7}, {Number: 6}}}, false},
		"one has none":     {status.Status{Applied: applied(7), Processes: []status.Process{{Number: 7}, {}}}, false},
		"all have it":      {status.Status{Applied: applied(7), Processes: []status.Process{{Number: 7}, {Number: 7}}}, true},
		"one is ahead":     {status.Status{Applied: applied(7), Processes: []status.Process{{Number: 8}}}, true},
		"one refused that": {status.Status{Applied: applied(7), Processes: []status.Process{{Number: 6, Refused: &status.Refusal{Number: 7}}}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, c.want, c.status.ActiveEverywhere())
		})
	}
}

func TestText(t *testing.T) {
	s := status.Status{Service: "agenda"}
	assert.Equal(t, "agenda\n  applied:   none\n", s.Text())
	s.Applied = applied(7)
	const line = "agenda\n  applied:   number 7, digest 2d711642b726, by marie at 2026-03-02T14:00:00Z\n"
	assert.Equal(t, line, s.Text())
	s.Processes = []status.Process{
		{Host: "mtl-a-entry-1", Number: 7, Outcomes: status.Outcomes{Answered: 800, NotRun: 2}},
		{Host: "mtl-b-entry-1", Number: 4, Outcomes: status.Outcomes{Answered: 12, Unknown: 1}, Refused: &status.Refusal{
			Number: 7, Count: 1, Findings: finding.List{{Position: finding.Position{File: "agenda.yaml", Line: 3, Column: 1}, Category: finding.Unknown, Message: "unknown key"}},
		}},
		{Host: "mtl-c-entry-1"},
	}
	assert.Equal(t, line+`  in force:  on 1 of 3 asked
    lags:    mtl-b-entry-1 has number 4
    lags:    mtl-c-entry-1 has none
  refused:   number 7 at mtl-b-entry-1, with 1 findings
    agenda.yaml:3:1: unknown key (unknown)
  requests:  812 answered, 2 not run, 1 unknown
`, s.Text())
}
