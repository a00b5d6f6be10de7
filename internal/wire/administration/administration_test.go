package administration_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
	"wagtailshelf.example/wagtailshelf/internal/record/status"
	"wagtailshelf.example/wagtailshelf/internal/wire/administration"
)

var epoch = time.Date(2026, 3, 2, 14, 0, 0, 0, time.UTC)

// fakePlatform is a platform in memory with faults.
type fakePlatform struct {
	objects map[object.Key]object.Object
	older   map[object.Key]object.Object
	version object.Version
	outage  bool
	lose    func(c object.Call) bool // the call takes effect, its response is lost
	drop    func(c object.Call) bool // the call does not reach the platform
	lag     func(c object.Call) bool // the read shows the state before the last write
	puts    int
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{objects: map[object.Key]object.Object{}, older: map[object.Key]object.Object{}}
}

func (s *fakePlatform) put(key object.Key, value []byte) object.Version {
	s.version++
	s.older[key] = s.objects[key]
	s.objects[key] = object.Object{Key: key, Version: s.version, Value: value}
	return s.version
}

func (s *fakePlatform) do(ctx context.Context, c object.Call) object.Reply {
	unknown := object.Reply{Op: c.Op, Status: object.Unknown, Err: errors.New("no answer")}
	if s.outage || ctx.Err() != nil || s.drop != nil && s.drop(c) {
		return unknown
	}
	r := s.carryOut(c)
	if s.lose != nil && s.lose(c) {
		return unknown
	}
	return r
}

func (s *fakePlatform) carryOut(c object.Call) object.Reply {
	r := object.Reply{Op: c.Op, Status: object.Done}
	current := s.objects[c.Key]
	if c.Op != object.Put && s.lag != nil && s.lag(c) {
		current = s.older[c.Key]
	}
	switch {
	case c.Op == object.List:
		for k, o := range s.objects {
			if strings.HasPrefix(string(k), string(c.Key)) {
				r.Objects = append(r.Objects, o)
			}
		}
	case c.Op == object.Get && current.Version == 0:
		r.Status = object.NotFound
	case c.Op == object.Get:
		r.Object = current
	case current.Version != c.Version:
		r.Status = object.Conflict
	default:
		s.puts++
		r.Object = object.Object{Key: c.Key, Version: s.put(c.Key, c.Value)}
	}
	return r
}

// testAPI is the API on a fakePlatform.
type testAPI struct {
	*fakePlatform
	echo    *echo.Echo
	inForce []*document.Document
	now     time.Time
}

func newTestAPI() *testAPI {
	d := &testAPI{fakePlatform: newFakePlatform(), echo: echo.New(), now: epoch}
	api := &administration.API{
		Records:         &administration.Records{Do: d.do},
		Now:             func() time.Time { return d.now },
		Operator:        func(c echo.Context) string { return c.Request().Header.Get("Operator") },
		ActiveDocuments: func() []*document.Document { return d.inForce },
		ProcessStatus: func(string) status.Process {
			return status.Process{Host: "mtl-a-entry-1", Number: uint64(d.objects[document.Key("agenda")].Version)}
		},
	}
	api.Mount(d.echo.Group(""))
	return d
}

// call makes a call as an operator; headers alternates names and values.
func (d *testAPI) call(operator, method, path string, body []byte, headers ...string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, path, bytes.NewReader(body))
	req.Header.Set("Operator", operator)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	d.echo.ServeHTTP(w, req)
	return w
}

func decoded[T any](t *testing.T, w *httptest.ResponseRecorder, code int) T {
	t.Helper()
	require.Equal(t, code, w.Code, w.Body.String())
	var v T
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &v))
	return v
}

func agenda(t *testing.T) []byte {
	t.Helper()
	text, err := os.ReadFile("../../../examples/agenda.yaml")
	require.NoError(t, err)
	return text
}

func changed(text []byte, from, to string) []byte {
	return bytes.Replace(text, []byte(from), []byte(to), 1)
}

const path = "/documents/agenda"

func TestADocumentIsAppliedShownAndCompared(t *testing.T) {
	d := newTestAPI()
	text := agenda(t)
	w := d.call("marie", http.MethodPut, path, text, "If-None-Match", "*")
	receipt := decoded[administration.Receipt](t, w, http.StatusOK)
	assert.Equal(t, document.DigestOf(text), receipt.Digest)

	w = d.call("luc", http.MethodGet, path, nil)
	require.Equal(t, http.StatusOK, w.Code)
	assert.Equal(t, string(text), w.Body.String())
	assert.Equal(t, "marie", w.Header().Get(administration.ByHeader))

	first := receipt.Version
	d.now = epoch.Add(2 * time.Minute)
	next := changed(text, "concurrency: 64", "concurrency: 48")
	w = d.call("luc", http.MethodPut, path, next, "If-Match", w.Header().Get("ETag"))
	receipt = decoded[administration.Receipt](t, w, http.StatusOK)
	want := []document.Change{{Path: "limits.concurrency", Effect: document.Changed, From: "64", To: "48"}}
	assert.Equal(t, want, receipt.Changes)
	assert.Equal(t, want, decoded[[]document.Change](t, d.call("x", http.MethodGet, path+"/diff", nil), http.StatusOK))

	all := decoded[[]administration.HistoryEntry](t, d.call("x", http.MethodGet, path+"/history", nil), http.StatusOK)
	require.Len(t, all, 2)
	then := decoded[[]administration.HistoryEntry](t, d.call("x", http.MethodGet, path+"/history?at=2026-03-02T14:01:30Z", nil), http.StatusOK)
	require.Len(t, then, 1)
	assert.Equal(t, "marie", then[0].By)
	assert.Equal(t, uint64(first), then[0].Number)
	assert.True(t, all[0].HasText && all[1].HasText)
	list := decoded[[]administration.Listing](t, d.call("x", http.MethodGet, "/documents", nil), http.StatusOK)
	require.Len(t, list, 1)
	assert.Equal(t, "luc", list[0].By)
	got := decoded[status.Status](t, d.call("x", http.MethodGet, path+"/status", nil), http.StatusOK)
	assert.Equal(t, uint64(receipt.Version), got.Applied.Number)
	assert.True(t, got.ActiveEverywhere())
	w = d.call("x", http.MethodGet, path+"?ref=before", nil)
	assert.Equal(t, string(text), w.Body.String())
}

// Marie and Luc read version 1 and edit it at the same moment. Marie applies
// first. Luc learns that his document was not applied, who was first, and what she
// changed since the text from which his edit started; her document stays.
func TestSecondOfTwoOperatorsSeesTheChanges(t *testing.T) {
	d := newTestAPI()
	text := agenda(t)
	d.call("marie", http.MethodPut, path, text, "If-None-Match", "*")
	tag := d.call("luc", http.MethodGet, path, nil).Header().Get("ETag")
	base := document.DigestOf(text).String()

	marieText := changed(text, "budget: 0.2", "budget: 0.3")
	w := d.call("marie", http.MethodPut, path, marieText, "If-Match", tag, administration.BaseHeader, base)
	require.Equal(t, http.StatusOK, w.Code)
	lucText := changed(text, "concurrency: 64", "concurrency: 48")
	w = d.call("luc", http.MethodPut, path, lucText, "If-Match", tag, administration.BaseHeader, base)
	k := decoded[administration.Problem](t, w, http.StatusPreconditionFailed).Conflict
	assert.Equal(t, "marie", k.By)
	assert.Equal(t, document.DigestOf(text), k.Base)
	assert.Equal(t, []document.Change{{Path: "retries.budget", Effect: document.Changed, From: "0.2", To: "0.3"}}, k.Changes)
	assert.Equal(t, string(marieText), d.call("x", http.MethodGet, path, nil).Body.String())
}

// The write takes effect and its response is lost; a read afterwards may still show
// the state before. The retried write gets a conflict, which is with our own value:
// the operator gets a receipt, and the platform gets one write.
func TestApplyReadsBackAfterALostResponse(t *testing.T) {
	for name, lagging := range map[string]bool{"read shows it": false, "read lags": true} {
		t.Run(name, func(t *testing.T) {
			d := newTestAPI()
			lost, reads := false, 0
			d.lose = func(c object.Call) bool {
				first := c.Op == object.Put && !lost
				lost = lost || first
				return first
			}
			d.lag = func(c object.Call) bool {
				behind := lagging && lost && c.Key == document.Key("agenda") && reads < 3
				reads++
				return behind
			}
			w := d.call("marie", http.MethodPut, path, agenda(t), "If-None-Match", "*")
			receipt := decoded[administration.Receipt](t, w, http.StatusOK)
			assert.Equal(t, d.objects[document.Key("agenda")].Version, receipt.Version)
			assert.Equal(t, 1, d.puts)
		})
	}
}

// The write takes effect, its response is lost, and every read lags behind it. The
// retry gets a conflict, but the conflicting document can't be read: the operator
// learns that the outcome is unknown, not that somebody else was first.
func TestConflictThatCantBeReadIsUnconfirmed(t *testing.T) {
	inBubble(t, func() {
		d := newTestAPI()
		lost := false
		d.lose = func(c object.Call) bool {
			first := c.Op == object.Put && !lost
			lost = lost || first
			return first
		}
		d.lag = func(c object.Call) bool { return c.Key == document.Key("agenda") }
		w := d.call("marie", http.MethodPut, path, agenda(t), "If-None-Match", "*")
		p := decoded[administration.Problem](t, w, http.StatusGatewayTimeout)
		assert.Contains(t, p.Message, "apply the same again")
	})
}

// The call does not reach the platform: nothing has taken effect, and the write is
// retried with the same required version.
func TestApplyRetriesACallThatDidNotArrive(t *testing.T) {
	d := newTestAPI()
	n := 0
	d.drop = func(c object.Call) bool {
		if c.Op == object.Put {
			n++
		}
		return c.Op == object.Put && n == 1
	}
	w := d.call("marie", http.MethodPut, path, agenda(t), "If-None-Match", "*")
	require.Equal(t, http.StatusOK, w.Code, w.Body.String())
	assert.Equal(t, 1, d.puts)
}

// Luc's conflict is real, but the platform's reads still show the version that
// he edited. The response waits until the newer one can be read: it would otherwise
// report a conflict with the version that he edited himself.
func TestConflictIsNotReportedFromALaggingRead(t *testing.T) {
	d := newTestAPI()
	text := agenda(t)
	d.call("marie", http.MethodPut, path, text, "If-None-Match", "*")
	tag := d.call("luc", http.MethodGet, path, nil).Header().Get("ETag")
	d.call("marie", http.MethodPut, path, changed(text, "budget: 0.2", "budget: 0.3"), "If-Match", tag)
	reads := 0
	d.lag = func(c object.Call) bool {
		reads++
		return c.Key == document.Key("agenda") && reads < 5
	}
	w := d.call("luc", http.MethodPut, path, changed(text, "budget: 0.2", "budget: 0.4"), "If-Match", tag)
	k := decoded[administration.Problem](t, w, http.StatusPreconditionFailed).Conflict
	assert.NotEqual(t, tag, k.Version)
	assert.Len(t, k.Changes, 1)
}

func TestRefusedCallsChangeNothing(t *testing.T) {
	text := agenda(t)
	wrong := changed(text, "kind: plain", "kind: odd")
	cases := map[string]struct {
		method, path string
		body         []byte
		headers      []string
		code         int
	}{
		"no condition":       {http.MethodPut, path, text, nil, http.StatusPreconditionRequired},
		"odd condition":      {http.MethodPut, path, text, []string{"If-Match", "W/x"}, http.StatusBadRequest},
		"findings":           {http.MethodPut, path, wrong, []string{"If-None-Match", "*"}, http.StatusUnprocessableEntity},
		"another service":    {http.MethodPut, "/documents/other", text, []string{"If-None-Match", "*"}, http.StatusUnprocessableEntity},
		"gone meanwhile":     {http.MethodPut, path, text, []string{"If-Match", `"7"`}, http.StatusPreconditionFailed},
		"too long":           {http.MethodPut, path, bytes.Repeat([]byte("#"), 1<<20), []string{"If-None-Match", "*"}, http.StatusUnprocessableEntity},
		"odd service":        {http.MethodPut, "/documents/a%2Fb", text, []string{"If-None-Match", "*"}, http.StatusBadRequest},
		"unknown document":   {http.MethodGet, path, nil, nil, http.StatusNotFound},
		"unknown status":     {http.MethodGet, path + "/status", nil, nil, http.StatusNotFound},
		"nothing before":     {http.MethodGet, path + "?ref=before", nil, nil, http.StatusNotFound},
		"unknown number":     {http.MethodGet, path + "?ref=9", nil, nil, http.StatusNotFound},
		"odd time":           {http.MethodGet, path + "/history?at=noon", nil, nil, http.StatusBadRequest},
		"before all history": {http.MethodGet, path + "/history?at=2001-01-01T00:00:00Z", nil, nil, http.StatusNotFound},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := newTestAPI()
			w := d.call("marie", c.method, c.path, c.body, c.headers...)
			p := decoded[administration.Problem](t, w, c.code)
			assert.NotEmpty(t, p.Message)
			assert.Empty(t, d.objects)
		})
	}
}

// The platform fails between the operator's read and the write: the document that
// would be replaced can't be added to the history. Nothing is applied, since the
// history would otherwise lack a document that was active.
func TestNothingIsAppliedWithoutArchivingThePreviousDocument(t *testing.T) {
	inBubble(t, func() {
		d := newTestAPI()
		text := agenda(t)
		d.call("marie", http.MethodPut, path, text, "If-None-Match", "*")
		tag := d.call("luc", http.MethodGet, path, nil).Header().Get("ETag")
		d.drop = func(c object.Call) bool { return c.Op == object.Put && c.Key != document.Key("agenda") }
		w := d.call("luc", http.MethodPut, path, changed(text, "budget: 0.2", "budget: 0.4"), "If-Match", tag)
		p := decoded[administration.Problem](t, w, http.StatusServiceUnavailable)
		assert.Contains(t, p.Message, "nothing has changed")
		assert.Equal(t, string(text), d.call("x", http.MethodGet, path, nil).Body.String())
	})
}

func TestNothingIsAppliedInAnOutage(t *testing.T) {
	d := newTestAPI()
	d.outage = true
	w := d.call("marie", http.MethodPut, path, agenda(t), "If-None-Match", "*")
	p := decoded[administration.Problem](t, w, http.StatusServiceUnavailable)
	assert.Contains(t, p.Message, "nothing has changed")
}

// An operator drops a workspace by mistake. The check against the applied document
// demands an explicit confirmation; with it the change is applied.
func TestDangerousChangeNeedsAConfirmation(t *testing.T) {
	d := newTestAPI()
	text := agenda(t)
	d.call("marie", http.MethodPut, path, text, "If-None-Match", "*")
	tag := d.call("luc", http.MethodGet, path, nil).Header().Get("ETag")
	start := bytes.Index(text, []byte("  - name: laval\n"))
	end := bytes.Index(text, []byte("  - name: longueuil\n"))
	without := append(bytes.Clone(text[:start]), text[end:]...)
	w := d.call("luc", http.MethodPut, path, without, "If-Match", tag)
	p := decoded[administration.Problem](t, w, http.StatusUnprocessableEntity)
	require.Len(t, p.Findings, 1)
	assert.Contains(t, p.Findings[0].Message, "{change: dropWorkspace, name: laval}")
	without = append(without, "confirm:\n  - {change: dropWorkspace, name: laval}\n"...)
	w = d.call("luc", http.MethodPut, path, without, "If-Match", tag)
	assert.Equal(t, http.StatusOK, w.Code, w.Body.String())
}

func TestAnotherServicesRoutingIsRefused(t *testing.T) {
	d := newTestAPI()
	text := agenda(t)
	other, _ := document.Parse("other", changed(text, "service: agenda", "service: other"))
	d.inForce = []*document.Document{other}
	w := d.call("marie", http.MethodPut, path, text, "If-None-Match", "*")
	p := decoded[administration.Problem](t, w, http.StatusUnprocessableEntity)
	require.Len(t, p.Findings, 1)
	assert.Contains(t, p.Findings[0].Message, "other")
}
