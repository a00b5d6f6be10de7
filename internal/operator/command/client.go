package command

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/labstack/echo/v4"
	"github.com/urfave/cli/v3"

	"wagtailshelf.example/wagtailshelf/internal/operator/token"
	"wagtailshelf.example/wagtailshelf/internal/record/status"
	"wagtailshelf.example/wagtailshelf/internal/wire/administration"
	"wagtailshelf.example/wagtailshelf/internal/wire/platform"
)

const (
	maxResponseBytes = 64 << 20 // bytes
)

// Errors of the commands.
var (
	ErrUsage    = merry.Sentinel("usage")
	ErrRefused  = merry.Sentinel("refused")
	ErrFindings = merry.Sentinel("the document has findings")
	ErrConflict = merry.Sentinel("conflict")
)

// client calls the administration API of one process, or of several in turn.
type client struct {
	base   string
	token  string
	do     func(*http.Request) (*http.Response, error)
	close  func()
	others []*client // further processes whose status is read too
}

const (
	administrationFlag = "administration"
	platformFlag       = "platform"
	timeoutFlag        = "timeout"
)

// serverFlags are the flags of commands that need a running process.
func serverFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: administrationFlag, Usage: "`ADDRESS` of the administration listener of any entry; further ones are asked for their status too"},
		token.Flag(),
		&cli.DurationFlag{Name: timeoutFlag, Value: 20 * time.Second, Usage: "`DURATION` to wait for an answer"},
	}
}

// readFlags are the flags of commands that only read. Auditors can run these against
// the platform alone.
func readFlags() []cli.Flag {
	return append(serverFlags(),
		&cli.StringFlag{Name: platformFlag, Usage: "`ADDRESS` of the platform, to read from it alone"},
	)
}

// newClient returns a client of the processes or of the platform that the flags name.
func newClient(cmd *cli.Command) (*client, error) {
	if addr := cmd.String(platformFlag); addr != "" {
		return platformClient(addr)
	}
	addresses := cmd.StringSlice(administrationFlag)
	if len(addresses) == 0 {
		return nil, merry.Appendf(ErrUsage, "--%s is missing", administrationFlag)
	}
	secret, err := token.Read(cmd)
	if err != nil {
		return nil, err
	}
	all := make([]*client, len(addresses))
	for i, text := range addresses {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, merry.Appendf(ErrUsage, "--%s: %v", administrationFlag, err)
		}
		all[i] = &client{base: "http://" + addr.String(), token: secret, do: http.DefaultClient.Do, close: func() {}}
	}
	all[0].others = all[1:]
	return all[0], nil
}

// status combines the status reports of all processes. It fails if one of them does
// not answer, since that process may still have an older document active.
func (c *client) status(ctx context.Context, service string) (*status.Status, error) {
	var s *status.Status
	for _, each := range append([]*client{c}, c.others...) {
		a, err := each.get(ctx, call{service: service, resource: "status"})
		if err != nil {
			return nil, err
		}
		var one status.Status
		if err := a.decode(&one); err != nil {
			return nil, err
		}
		if s == nil {
			s = &one
			continue
		}
		s.Processes = append(s.Processes, one.Processes...)
	}
	return s, nil
}

// platformClient returns a client that runs the API's own handlers in this process,
// on the platform's objects, so that the responses are the same as those of an entry.
// It only reads.
func platformClient(addr string) (*client, error) {
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, merry.Appendf(ErrUsage, "--%s: %v", platformFlag, err)
	}
	p := platform.New(platform.Config{URL: "http://" + at.String()})
	e := echo.New()
	api := &administration.API{
		Records:  &administration.Records{Do: p.Do},
		Now:      time.Now,
		Operator: func(echo.Context) string { return "" },
	}
	api.Mount(e.Group(""))
	return &client{do: inProcess(e), close: p.Close}, nil
}

// inProcess returns a function that carries out requests by calling h directly.
func inProcess(h http.Handler) func(*http.Request) (*http.Response, error) {
	return func(r *http.Request) (*http.Response, error) {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		return w.Result(), nil
	}
}

// call is a request to the API.
type call struct {
	method   string
	service  string // "" for the list of services
	resource string // of the service; "" for the document itself
	query    url.Values
	header   http.Header
	body     []byte
}

func (c call) path() string {
	path := "/documents"
	for _, part := range []string{c.service, c.resource} {
		if part != "" {
			path += "/" + url.PathEscape(part)
		}
	}
	if len(c.query) > 0 {
		path += "?" + c.query.Encode()
	}
	return path
}

// answer is the response to a call.
type answer struct {
	code   int
	header http.Header
	body   []byte
}

// decode unmarshals the answer's JSON body into v.
func (a *answer) decode(v any) error {
	if err := json.Unmarshal(a.body, v); err != nil {
		return merry.Prependf(err, "response of the administration API")
	}
	return nil
}

// send carries out a call and returns its answer, whatever the status code.
func (c *client) send(ctx context.Context, k call) (*answer, error) {
	req, err := http.NewRequestWithContext(ctx, k.method, c.base+k.path(), bytes.NewReader(k.body))
	if err != nil {
		return nil, err
	}
	for name, values := range k.header {
		req.Header[name] = values
	}
	req.Header.Set(echo.HeaderAuthorization, "Bearer "+c.token)
	resp, err := c.do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }() // the body was read to its end or is of no use
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, err
	}
	return &answer{code: resp.StatusCode, header: resp.Header, body: body}, nil
}

// get carries out a call with the method GET and fails unless the status code is 200.
func (c *client) get(ctx context.Context, k call) (*answer, error) {
	k.method = http.MethodGet
	a, err := c.send(ctx, k)
	if err != nil {
		return nil, err
	}
	return a, a.asError()
}

// asError returns nil if the status code is 200, and otherwise an error with the message
// of the problem document.
func (a *answer) asError() error {
	if a.code == http.StatusOK {
		return nil
	}
	var p administration.Problem
	if json.Unmarshal(a.body, &p) != nil || p.Message == "" {
		p.Message = http.StatusText(a.code)
	}
	return merry.Appendf(ErrRefused, "%s", p.Message)
}
