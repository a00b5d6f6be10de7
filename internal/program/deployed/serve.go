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
)

// ServeHTTP serves until the context ends.
func ServeHTTP(ctx context.Context, l net.Listener, s *http.Server) error {
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(l); ctx.Err() == nil {
		return err
	}
	return nil
}

// ServeMetrics serves the metrics in Prometheus text format until the context ends.
func ServeMetrics(ctx context.Context, at netip.AddrPort, m *metrics.Set) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		m.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	l, err := net.Listen("tcp4", at.String())
	if err != nil {
		return err
	}
	return ServeHTTP(ctx, l, &http.Server{Handler: mux})
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
