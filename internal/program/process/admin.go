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
	"github.com/phuslu/log"

	"wagtailshelf.example/wagtailshelf/internal/wire/address"
	"wagtailshelf.example/wagtailshelf/internal/wire/credential"
	"wagtailshelf.example/wagtailshelf/internal/wire/ingress"
)

const (
	adminMaxHeader = 16 << 10
	dumpTimeout    = 5 * time.Second
	closeTimeout   = time.Second
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

	// Resources are those of the process; what is 0 is what the process knows by itself.
	Resources ingress.Resources

	// Log receives reports on clients that were not kept; nil for none.
	Log *log.Logger

	listener net.Listener
}

// Listen opens the server's socket. While its address is taken, it waits until ctx ends.
func (a *Admin) Listen(ctx context.Context, addr netip.AddrPort) error {
	s := address.Socket{Name: "administration", Address: addr, Log: a.Log}
	listener, err := address.Open(ctx, s, func() (net.Listener, error) { return ingress.Listen(addr) })
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
	server := a.server()
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

// server returns the server, which bounds what is held for clients.
func (a *Admin) server() *ingress.Server {
	s := &http.Server{Handler: a.handler(), MaxHeaderBytes: adminMaxHeader}
	server := ingress.NewServer("administration", a.Resources.Fill().Limits(ingress.Operator), s, a.Metrics)
	if a.Log != nil {
		server.OnPressure = func(p ingress.Pressure) { p.Log(a.Log, "administration") }
	}
	return server
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
