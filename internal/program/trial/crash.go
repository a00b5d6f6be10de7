package trial

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/standin/service"
)

// Crashing are plain targets that crash when they begin to run a request whose path has a
// certain part. Each is back a moment later at its address.
type Crashing struct {
	service *service.Service
	fatal   string
	down    time.Duration

	mu      sync.Mutex
	crashes int
	absent  int // targets that are down
}

// NewCrashing returns targets in front of one service, none of which is added yet.
func NewCrashing(s *service.Service, fatal string, down time.Duration) *Crashing {
	return &Crashing{service: s, fatal: fatal, down: down}
}

// Crashes is how often a target crashed.
func (c *Crashing) Crashes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashes
}

// Up tells whether all targets run.
func (c *Crashing) Up() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.absent == 0
}

// AddCrashing starts one of the targets, and its sidecar.
func (d *Deployment) AddCrashing(name string, dataCentre host.DataCentre, c *Crashing) (*Target, error) {
	t := &Target{Name: name, DataCentre: dataCentre, Service: c.service}
	err := d.addTarget(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.Contains(r.URL.Path, c.fatal) {
			c.service.ServeHTTP(w, r)
			return
		}
		c.crash(t.server)
		panic(http.ErrAbortHandler)
	}))
	return t, err
}

func (c *Crashing) crash(s *httpServer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !s.crash() {
		return
	}
	c.crashes++
	c.absent++
	time.AfterFunc(c.down, func() { c.restart(s) })
}

func (c *Crashing) restart(s *httpServer) {
	if !s.restart() {
		time.AfterFunc(c.down, func() { c.restart(s) }) // another process has the port for a moment
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.absent--
}

// crash ends the server with all connections; false if it has ended already.
func (s *httpServer) crash() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed || s.closed {
		return false
	}
	s.crashed = true
	_ = s.server.Close() // that is the crash
	<-s.done
	return true
}

// restart serves again at the same address; false if that is not to be had now.
func (s *httpServer) restart() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return true
	}
	l, err := net.Listen("tcp", s.listener.Addr().String())
	if err != nil {
		return false
	}
	s.crashed = false
	s.serve(l, s.server.Handler)
	return true
}
