package gateway

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// rotationTime is how long the balancer may send new callers after the entry
	// stopped being ready: it asks once a second and believes the second miss.
	rotationTime = 2500 * time.Millisecond
	// endMargin before SIGKILL in which what still runs is cut, so that callers see
	// their connections end.
	endMargin = 300 * time.Millisecond
	// callerIdle is how long an idle connection of a caller is kept. Rules may ask
	// for less; closing later never cuts a request.
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
	s := &http.Server{
		Handler:           g.intake.Before(g.forward),
		ConnState:         g.connections.note,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       callerIdle,
		MaxHeaderBytes:    headerBytes,
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(l) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	return g.drain(s)
}

// drain goes on serving until the balancer has taken the entry out, then lets what
// runs end. Connections that callers keep open stay usable until the end; each
// answer tells them that it is the last one there.
func (g *Gateway) drain(s *http.Server) error {
	begin := time.Now()
	g.draining.Store(true)
	g.log.Info().Str("event", "draining").Msg("")
	time.Sleep(rotationTime)
	left := g.bounds.Load().Grace - endMargin - time.Since(begin)
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	err := s.Shutdown(ctx)
	if err != nil {
		g.log.Warn().Str("event", "drainCut").Err(err).Msg("")
		return s.Close()
	}
	return nil
}
