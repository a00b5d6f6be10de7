package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/program/task"
	"wagtailshelf.example/wagtailshelf/internal/traffic/routing"
	"wagtailshelf.example/wagtailshelf/internal/wire/ingress"
	"wagtailshelf.example/wagtailshelf/internal/wire/reset"
)

const (
	// balancerLag is how long the balancer may send new callers after the entry is no longer
	// ready: it checks once a second and acts on the second failure.
	balancerLag = 2500 * time.Millisecond
	// killMargin is how long before SIGKILL requests that still run are cut off, so that
	// callers see their connections end.
	killMargin = 300 * time.Millisecond
)

func (g *Gateway) serveCallers(ctx context.Context) error {
	l, err := g.listener("callers", g.settings.Listen.Callers, ingress.Callers).Open(ctx)
	if err != nil {
		return err
	}
	return g.serveOn(ctx, l)
}

// serveOn serves callers until the context ends, and then drains.
func (g *Gateway) serveOn(ctx context.Context, l net.Listener) error {
	s := g.callerServer(g.forward)
	ended := make(chan error, 1)
	go func() { ended <- task.Guard(func() error { return s.Serve(l) }) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	return g.drainCallers(s)
}

// callerServer returns the server for callers.
func (g *Gateway) callerServer(forward http.Handler) *ingress.Server {
	l := g.listener("callers", g.settings.Listen.Callers, ingress.Callers)
	head, idle := l.Limits.HeadTime(), l.Limits.IdleTime()
	l.Limits.HeadBytes = func() int { return g.callerLimits().HeaderBytes }
	l.Limits.HeadTime = func() time.Duration { return max(head, g.callerLimits().HeaderTimeout) }
	l.Limits.IdleTime = func() time.Duration { return max(idle, g.callerLimits().IdleTimeout) }
	return l.Server(&http.Server{
		Handler:        reset.Wrap(g.intake.Wrap(forward)),
		ConnContext:    reset.ConnContext,
		ConnState:      g.connections.track,
		MaxHeaderBytes: headerBytes,
	})
}

// callerLimits returns the limits of the configuration for callers. They are 0 while none is known.
func (g *Gateway) callerLimits() routing.Limits {
	if known := g.config.Load(); known != nil {
		return known.config.Limits
	}
	return routing.Limits{}
}

// drainCallers keeps serving until the balancer has taken the entry out, then waits for the requests
// in flight. Connections that callers keep open stay usable until the end; each response
// announces that it is the last one on its connection.
func (g *Gateway) drainCallers(s *ingress.Server) error {
	begin := time.Now()
	grace := g.bounds.Load().Grace
	lag, end := min(balancerLag, grace/2), begin.Add(grace-killMargin)
	g.drain.Begin(begin.Add(lag), end)
	g.log.Info().Str("event", "draining").Msg("")
	time.Sleep(lag)
	g.drain.Late()
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	err := s.Shutdown(ctx)
	if err != nil {
		g.log.Warn().Str("event", "drainCut").Err(err).Msg("")
		return s.Close()
	}
	return nil
}
