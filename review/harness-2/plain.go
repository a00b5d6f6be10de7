package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// plain is a server of the plain service.
type plain struct {
	w       *world
	id      string
	address string
	born    int64
	takes   time.Duration // how long it works on a request
	server  *http.Server

	mu      sync.Mutex
	seen    []arrival
	headers map[string]string // that its answers have besides
	drains  bool
	left    bool
	cut     bool // from the store
	accepts int  // channels, 0 for any number; more are reset
	open    map[net.Conn]bool
	running int
}

// arrival is a request that reached a server.
type arrival struct {
	id   string
	from string // entry, by its address
	at   time.Time
}

func (w *world) newPlain(machine int, takes time.Duration) (*plain, error) {
	p := &plain{
		w: w, id: fmt.Sprint("i-desk-", machine), address: w.at(plainNet, machine, appPort), born: time.Now().UnixMilli(), takes: takes,
		headers: make(map[string]string), open: make(map[net.Conn]bool),
	}
	l, err := net.Listen("tcp4", p.address)
	if err != nil {
		return nil, err
	}
	p.server = &http.Server{Handler: p, ConnState: p.track}
	go func() { _ = p.server.Serve(l) }() // it returns when the server is closed
	w.closers = append(w.closers, func() { _ = p.server.Close() })
	go p.beat()
	return p, nil
}

// track counts the server's channels, and resets those that it does not accept.
func (p *plain) track(c net.Conn, s http.ConnState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case s == http.StateClosed || s == http.StateHijacked:
		delete(p.open, c)
	case s != http.StateNew:
	case p.accepts > 0 && len(p.open) >= p.accepts:
		p.w.record.note("server %s resets a channel beyond %d", p.id, p.accepts)
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	default:
		p.open[c] = true
	}
}

// beat writes the server's entry, and renews it as long as the server does not leave.
func (p *plain) beat() {
	for seq := 1; ; seq++ {
		p.mu.Lock()
		left, cut := p.left, p.cut
		p.mu.Unlock()
		if left {
			return
		}
		if !cut {
			p.write(seq)
		}
		time.Sleep(heartbeat)
	}
}

// write writes the server's entry. It changes when more than seq changes.
func (p *plain) write(seq int) {
	p.mu.Lock()
	drains := p.drains
	p.mu.Unlock()
	e := p.w.entry("desk", p.address, p.born)
	e["seq"] = seq
	if drains {
		e["state"] = "draining"
	}
	p.w.store.renew(p.id, e)
}

// drain has the server say that it drains; it serves for a time, and ends.
func (p *plain) drain(serves time.Duration) {
	p.mu.Lock()
	p.drains = true
	p.mu.Unlock()
	p.w.record.note("server %s drains, and serves for %s", p.id, serves)
	p.exitAfter(serves)
}

// leave removes the server's entry without having said that it drains; the server goes on for a time, and ends.
func (p *plain) leave(serves time.Duration) {
	p.mu.Lock()
	p.left = true
	p.mu.Unlock()
	p.w.store.remove("servers", p.id)
	p.w.record.note("server %s removes its entry, and serves for %s more", p.id, serves)
	p.exitAfter(serves)
}

func (p *plain) exitAfter(serves time.Duration) {
	time.AfterFunc(serves, func() {
		p.mu.Lock()
		p.left = true
		p.w.record.note("server %s exits with %d requests in hand", p.id, p.running)
		p.mu.Unlock()
		p.w.store.remove("servers", p.id)
		_ = p.server.Close()
	})
}

func (p *plain) arrivals() []arrival {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]arrival(nil), p.seen...)
}

// ServeHTTP runs a request.
func (p *plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	id := r.Header.Get("Wagtailshelf-Request-Id")
	h := w.Header()
	h.Set("Wagtailshelf-Request-Id", id)
	h.Set("Wagtailshelf-Server-Stamp", p.id+"."+id)
	if x := r.Header.Get("Wagtailshelf-Expect-Instance"); x != "" && x != p.id {
		h.Set("Wagtailshelf-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	p.mu.Lock()
	p.seen = append(p.seen, arrival{id: id, from: host, at: time.Now()})
	p.running++
	for name, value := range p.headers {
		h.Set(name, value)
	}
	takes := p.takes
	p.mu.Unlock()
	p.w.record.note("server %s runs %s", p.id, id)
	time.Sleep(takes)
	fmt.Fprint(w, "body of "+id)
	p.mu.Lock()
	p.running--
	p.mu.Unlock()
}
