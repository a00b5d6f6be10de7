package deployed

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"wagtailshelf.example/wagtailshelf/internal/wire/address"
	"wagtailshelf.example/wagtailshelf/internal/wire/ingress"
)

// Listener is an HTTP listener of the process.
type Listener struct {
	Name    string // in logs and metrics
	Address netip.AddrPort
	Limits  ingress.Limits
	Log     *log.Logger
	Metrics *metrics.Set
}

// Open opens the listener's socket. While its address is taken, it waits until the context ends.
func (l Listener) Open(ctx context.Context) (net.Listener, error) {
	s := address.Socket{Name: l.Name, Address: l.Address, Log: l.Log}
	return address.Open(ctx, s, func() (net.Listener, error) { return ingress.Listen(l.Address) })
}

// Server returns a server that bounds what is held for clients.
func (l Listener) Server(s *http.Server) *ingress.Server {
	server := ingress.NewServer(l.Name, l.Limits, s, l.Metrics)
	server.OnPressure = func(p ingress.Pressure) { p.Log(l.Log, l.Name) }
	return server
}

// Serve serves until the context ends.
func (l Listener) Serve(ctx context.Context, h http.Handler) error {
	socket, err := l.Open(ctx)
	if err != nil {
		return err
	}
	s := l.Server(&http.Server{Handler: h})
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(socket); ctx.Err() == nil {
		return err
	}
	return nil
}

// ServeMetrics serves the metrics in Prometheus text format until the context ends.
func ServeMetrics(ctx context.Context, s Settings, l *log.Logger, m *metrics.Set) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		m.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	at := Listener{Name: "metrics", Address: s.Listen.Metrics, Limits: s.Resources().Limits(ingress.Operator), Log: l, Metrics: m}
	return at.Serve(ctx, mux)
}

// StoreCallCounter returns a function that counts the calls to the store by cause.
func StoreCallCounter(m *metrics.Set) func(cause string, took time.Duration, err error) {
	return func(cause string, took time.Duration, err error) {
		m.GetOrCreateCounter(fmt.Sprintf(`wagtailshelf_store_calls_total{cause=%q,failed="%t"}`, cause, err != nil)).Inc()
		if !strings.HasPrefix(cause, "watch") {
			m.GetOrCreateHistogram("wagtailshelf_store_call_seconds").Update(took.Seconds())
		}
	}
}
