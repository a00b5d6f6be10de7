package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/wire/reset"
)

const (
	// balancerLag is how long the balancer may send new callers after the entry is no longer
	// ready: it checks once a second and acts on the second failure.
	balancerLag = 2500 * time.Millisecond
	// killMargin is how long before SIGKILL requests that still run are cut off, so that
	// callers see their connections end.
	killMargin = 300 * time.Millisecond
	// callerIdle is how long an idle connection of a caller is kept. The configuration may
	// ask for less; closing later never cuts off a request.
	callerIdle = 2 * time.Minute
)

func (g *Gateway) serveCallers(ctx context.Context) error {
	l, err := net.Listen("tcp4", g.settings.Listen.Callers.String())
	if err != nil {
		return err
	}
	return g.serveOn(ctx, l)
}

// serveOn serves callers until the context ends, and then drains.
func (g *Gateway) serveOn(ctx context.Context, l net.Listener) error {
	s := g.callerServer(g.forward)
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(l) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	return g.drain(s)
}

// callerServer returns the server for callers.
func (g *Gateway) callerServer(forward http.Handler) *http.Server {
	return &http.Server{
		Handler:           reset.Wrap(g.intake.Wrap(forward)),
		ConnContext:       reset.ConnContext,
		ConnState:         g.connections.track,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       callerIdle,
		MaxHeaderBytes:    headerBytes,
	}
}

// drain keeps serving until the balancer has taken the entry out, then waits for the requests
// in flight. Connections that callers keep open stay usable until the end; each response
// announces that it is the last one on its connection.
func (g *Gateway) drain(s *http.Server) error {
	begin := time.Now()
	g.draining.Store(true)
	g.log.Info().Str("event", "draining").Msg("")
	time.Sleep(balancerLag)
	left := g.bounds.Load().Grace - killMargin - time.Since(begin)
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	err := s.Shutdown(ctx)
	if err != nil {
		g.log.Warn().Str("event", "drainCut").Err(err).Msg("")
		return s.Close()
	}
	return nil
}
