package process

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"

	"wagtailshelf.example/wagtailshelf/internal/wire/credential"
)

const (
	adminHeaderTimeout = 5 * time.Second
	adminWriteTimeout  = 2 * time.Minute // the longest wait that a client may request
	adminMaxHeader     = 16 << 10
	dumpTimeout        = 5 * time.Second
	closeTimeout       = time.Second
)

// Admin is the server for operators and for the balancer's health checks.
type Admin struct {
	// Ready reports whether the process accepts work and is not draining.
	Ready func() bool

	// Dump returns the whole state of the process, which is served as JSON.
	Dump func(ctx context.Context) (any, error)

	// Mount adds further routes for operators; nil for none.
	Mount func(g *echo.Group)

	// Operators holds the credentials of operators. Without one, dumps and
	// everything that Mount adds are refused.
	Operators *credential.TokenSet

	// Metrics are served together with the metrics of the Go runtime.
	Metrics *metrics.Set

	listener net.Listener
}

// Listen opens the server's socket.
func (a *Admin) Listen(addr netip.AddrPort) error {
	listener, err := net.Listen("tcp", addr.String())
	if err != nil {
		return err
	}
	a.listener = listener
	return nil
}

// Addr returns the address that the server is bound to.
func (a *Admin) Addr() netip.AddrPort {
	return a.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Serve serves requests until ctx ends.
func (a *Admin) Serve(ctx context.Context) error {
	server := &http.Server{
		Handler:           a.handler(),
		ReadHeaderTimeout: adminHeaderTimeout,
		WriteTimeout:      adminWriteTimeout,
		MaxHeaderBytes:    adminMaxHeader,
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(a.listener) }()
	select {
	case err := <-failed:
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	case <-ctx.Done():
	}
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	if server.Shutdown(closing) != nil {
		_ = server.Close() // cuts off operators' calls that take longer
	}
	<-failed
	return context.Cause(ctx)
}

func (a *Admin) handler() http.Handler {
	e := echo.New()
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "alive\n") })
	e.GET("/readyz", a.serveReady)
	e.GET("/metrics", a.serveMetrics)
	operators := e.Group("", a.onlyOperators)
	operators.GET("/dump", a.serveDump)
	if a.Mount != nil {
		a.Mount(operators)
	}
	return e
}

func (a *Admin) serveReady(c echo.Context) error {
	if !a.Ready() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func (a *Admin) serveMetrics(c echo.Context) error {
	w := c.Response()
	w.Header().Set(echo.HeaderContentType, "text/plain; version=0.0.4")
	w.WriteHeader(http.StatusOK)
	a.Metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
	return nil
}

func (a *Admin) serveDump(c echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), dumpTimeout)
	defer cancel()
	state, err := a.Dump(ctx)
	if err != nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable, err.Error())
	}
	return c.JSONPretty(http.StatusOK, state, "  ")
}

// OperatorKey is the key of the operator's name in an echo.Context.
const OperatorKey = "operator"

// onlyOperators refuses requests without an operator's credential.
func (a *Admin) onlyOperators(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		token, ok := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
		if !ok || a.Operators == nil {
			return echo.NewHTTPError(http.StatusUnauthorized, "an operator's credential is needed")
		}
		name, ok := a.Operators.Authenticate(token)
		if !ok {
			return echo.NewHTTPError(http.StatusUnauthorized, "the credential is not an operator's")
		}
		c.Set(OperatorKey, name)
		return next(c)
	}
}
