package caller

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
	"wagtailshelf.example/wagtailshelf/internal/wire/space"
)

const (
	// writeGrace is added to the write deadline, so that the last bytes can still be sent
	// after the request's deadline has passed.
	writeGrace = 2 * time.Second

	// bodyTimeout bounds the reading of a caller's body.
	bodyTimeout = 30 * time.Second

	maxKeyBytes = 256 // of an Idempotency-Key
)

// Service is an active document, prepared for look-ups.
type Service struct {
	Document *document.Document
	Number   uint64 // number of the document's acceptance

	workspaces map[document.KeyDigest]*document.Workspace
	targets    map[host.Name]string
}

// NewService returns the service of a document with the given number.
func NewService(d *document.Document, number uint64) *Service {
	s := &Service{
		Document:   d,
		Number:     number,
		workspaces: make(map[document.KeyDigest]*document.Workspace),
		targets:    make(map[host.Name]string, len(d.Targets)),
	}
	for _, t := range d.Targets {
		s.targets[t.Host] = t.Name
	}
	for i := range d.Workspaces {
		w := &d.Workspaces[i]
		for _, key := range w.Keys {
			s.workspaces[key] = w
		}
	}
	return s
}

// TargetOn returns the name of the service's target on a host; empty if it has none.
func (s *Service) TargetOn(name host.Name) string { return s.targets[name] }

// Call is a complete and checked request of a caller.
type Call struct {
	ID        request.ID
	Service   *Service
	Route     *document.Route
	Workspace string
	Method    string
	Path      string // below the service's prefix, with the query
	Header    []request.Field
	Body      []byte
	Key       string // Idempotency-Key, or empty
	Arrived   time.Time
	Deadline  time.Time
}

// Front is the HTTP handler for callers.
type Front struct {
	// Find returns the service for a host name and a path; nil if there is none.
	Find func(hostname, path string) *Service

	// Ready reports whether the process may accept new requests.
	Ready func() bool

	// NewID returns a new random identity for a request.
	NewID func() request.ID

	// Serve processes a request and sends its answer.
	Serve func(r *http.Request, c *Call, a *Answer)

	// Space bounds the bytes of the bodies of all requests; nil for no bound.
	Space *space.Budget
}

// Mount adds the handler to an echo server for every method and path.
func (f *Front) Mount(e *echo.Echo) {
	e.Any("/*", f.handle)
}

func (f *Front) handle(ctx echo.Context) error {
	now := time.Now()
	w, r := ctx.Response().Writer, ctx.Request()
	id := f.NewID()
	held := f.Space.Hold(space.Callers)
	defer held.Release()
	call, refusal := f.check(w, r, id, now, held)
	if refusal != nil {
		res := request.Result{Outcome: request.NotRun, Reason: refusal.reason, RetryAfter: refusal.retryAfter}
		newAnswer(w, id, now.Add(bodyTimeout)).SendProblem(res, refusal.detail)
		return nil
	}
	f.Serve(r, call, newAnswer(w, id, call.Deadline))
	return nil
}

// refusal is the reason why a request is not accepted.
type refusal struct {
	reason     request.Reason
	detail     string
	retryAfter time.Duration
}

// check finds the service, workspace and route of a request and reads its body. It returns
// either the call or the refusal.
func (f *Front) check(w http.ResponseWriter, r *http.Request, id request.ID, now time.Time, held *space.Hold) (*Call, *refusal) {
	if !f.Ready() {
		return nil, &refusal{reason: NotReady, retryAfter: time.Second}
	}
	service := f.Find(hostname(r.Host), r.URL.Path)
	if service == nil {
		return nil, &refusal{reason: UnknownService, detail: fmt.Sprintf("no service for host %.100q and path %.200q", r.Host, r.URL.Path)}
	}
	workspace := service.workspaceOf(r)
	if workspace == nil {
		return nil, &refusal{reason: UnknownWorkspace, detail: "the Authorization field names no workspace of the service"}
	}
	route := service.Document.RouteFor(r.Method, r.URL.EscapedPath())
	if route == nil {
		return nil, &refusal{reason: UnknownRoute, detail: fmt.Sprintf("the service has no route for %.20s %.200q", r.Method, r.URL.Path)}
	}
	key := r.Header.Get(KeyHeader)
	if len(key) > maxKeyBytes {
		return nil, &refusal{reason: BadRequest, detail: fmt.Sprintf("%s is longer than %d bytes", KeyHeader, maxKeyBytes)}
	}
	timeout, refused := timeoutOf(r, route)
	if refused != nil {
		return nil, refused
	}
	body, refused := readBody(w, r, now, service.bodyLimit(route), held)
	if refused != nil {
		return nil, refused
	}
	return &Call{
		ID:        id,
		Service:   service,
		Route:     route,
		Workspace: workspace.Name,
		Method:    r.Method,
		Path:      targetPath(r, service.Document.PathPrefix),
		Header:    Fields(r.Header),
		Body:      body,
		Key:       key,
		Arrived:   now,
		Deadline:  now.Add(timeout),
	}, nil
}

// hostname returns the Host field without its port.
func hostname(hostport string) string {
	name, _, _ := strings.Cut(hostport, ":")
	return strings.ToLower(name)
}

// targetPath returns the path without the service's prefix, with the query.
func targetPath(r *http.Request, prefix string) string {
	path := strings.TrimPrefix(r.URL.EscapedPath(), prefix)
	if path == "" {
		path = "/"
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// workspaceOf returns the workspace of the request's API key; nil if there is none.
func (s *Service) workspaceOf(r *http.Request) *document.Workspace {
	credential, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || credential == "" {
		return nil
	}
	return s.workspaces[document.KeyDigestOf(credential)]
}

func (s *Service) bodyLimit(route *document.Route) int64 {
	if route.MaxBody > 0 {
		return int64(route.MaxBody)
	}
	return int64(s.Document.Limits.MaxBody)
}

// timeoutOf returns how long the request may take: the route's deadline, or the
// caller's if that is shorter.
func timeoutOf(r *http.Request, route *document.Route) (time.Duration, *refusal) {
	text := r.Header.Get(DeadlineHeader)
	if text == "" {
		return route.Deadline, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return 0, &refusal{reason: BadRequest, detail: fmt.Sprintf("%s: %.50q is not a positive duration", DeadlineHeader, text)}
	}
	return min(d, route.Deadline), nil
}

// readBody reads the complete body before the request begins: an attempt may have to be
// retried at another target, and a request whose body is truncated must not begin. The hold keeps its space until the
// request has ended; a body that comes slowly yields to others.
func readBody(w http.ResponseWriter, r *http.Request, now time.Time, limit int64, held *space.Hold) ([]byte, *refusal) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	control := http.NewResponseController(w)
	bound := func(t time.Time) { _ = control.SetReadDeadline(t) } // not all writers support deadlines
	held.MayYield(func() { bound(time.Now()) })
	bound(now.Add(bodyTimeout))
	body, err := space.ReadAll(r.Body, r.ContentLength, limit, held)
	yielded := held.Complete()
	if err != nil || yielded {
		// What the caller still sends is not read: a connection that was used on would take it for a request.
		w.Header().Set("Connection", "close")
	}
	switch {
	case errors.Is(err, space.ErrTooLong):
		return nil, &refusal{reason: request.BodyTooLarge, detail: fmt.Sprintf("the body is longer than %d bytes", limit)}
	case yielded, errors.Is(err, space.ErrNoSpace):
		return nil, &refusal{reason: NoSpace, retryAfter: time.Second}
	case err != nil:
		return nil, &refusal{reason: request.BodyIncomplete, detail: "the body ended early"}
	}
	bound(time.Time{})
	return body, nil
}
