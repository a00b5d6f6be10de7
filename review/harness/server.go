package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// weights is the version of the servers' weights.
const weights = "2"

// heartbeat is the time between two writes of a server's entry.
const heartbeat = 1200 * time.Millisecond

// Server is a stand-in of a server of a plain service. It runs each request for some time and
// answers with a body of its own.
type Server struct {
	ID      string
	Service string
	Address netip.AddrPort
	Work    time.Duration

	world *World
	http  *http.Server
	born  int64
	stop  context.CancelFunc // of its heartbeats
	faults

	mu      sync.Mutex
	seq     int
	leaving bool
}

// StartServer starts a server at an address and registers it.
func (w *World) StartServer(id, service string, at netip.AddrPort, work time.Duration) (*Server, error) {
	l, err := net.Listen("tcp4", at.String())
	if err != nil {
		return nil, err
	}
	s := &Server{ID: id, Service: service, Address: at, Work: work, world: w, born: time.Now().UnixMilli()}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }() // it returns when the server is closed
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	s.beat()
	go s.keepBeating(ctx)
	w.servers = append(w.servers, s)
	return s, nil
}

func (s *Server) keepBeating(ctx context.Context) {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.beat()
		}
	}
}

// beat writes the server's entry.
func (s *Server) beat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	s.world.Store.Put("servers", s.ID, map[string]any{
		"service": s.Service, "address": s.Address.String(), "zone": zone, "version": "v1", "slots": 6, "state": "ready",
		"cold_remaining_ms": 0, "seq": s.seq, "born": s.born,
	})
}

// Leave removes the server's entry without a report of draining. The server goes on serving, and says
// in all its answers that it leaves.
func (s *Server) Leave() {
	s.stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	s.world.Store.Remove("servers", s.ID)
}

// isLeaving reports whether the server leaves.
func (s *Server) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// Exit ends the server. It cuts off what still runs.
func (s *Server) Exit() {
	s.stop()
	_ = s.http.Close()
}

// ServeHTTP runs one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Wagtailshelf-Request-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("Wagtailshelf-Request-Id", id)
	if s.isLeaving() {
		w.Header().Set("Server-Leaving", "1")
	}
	if expected := r.Header.Get("Wagtailshelf-Expect-Instance"); expected != "" && expected != s.ID {
		s.world.Record("server %s: request %s is for %s: 421", s.ID, id, expected)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.world.noteRun(Run{
		Request: id, Server: s.ID, At: time.Now(), Tenant: r.Header.Get("Wagtailshelf-Tenant"), Key: r.Header.Get("Authorization"),
	})
	select {
	case <-time.After(s.Work):
	case <-r.Context().Done():
		s.world.Record("server %s: request %s: its channel was closed while it ran", s.ID, id)
		return
	}
	if v := r.Header.Get("Wagtailshelf-Expect-Version"); v != "" && v != weights {
		s.world.Record("server %s: request %s is for weights %s: 421", s.ID, id, v)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Wagtailshelf-Weight-Versions", weights)
	if s.crashNow(r) {
		return
	}
	switch {
	case s.spoilNow():
		s.sendGarbage(w, id)
		return
	case strings.HasPrefix(r.URL.Path, streams):
		sendEvents(w, id)
		return
	}
	answer := fmt.Sprintf("%s of %d bytes, by %s", id, len(body), s.ID)
	w.Header().Set("Wagtailshelf-Server-Stamp", "stamp-"+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer) // a sender that has left needs no answer
}
