// Package service is a stand-in for the plain services: an agenda that returns
// call lists and logs outcomes, and a preview app that returns layouts and theme
// swatches. It is for tests and for trying the system on one machine.
//
// Routes:
//
//	GET  /lists/NAME           a call list
//	POST /outcomes             log the outcome of a call; must not be retried
//	GET  /outcomes             how often each outcome was logged
//	GET  /layouts/NAME         a slide layout
//	GET  /swatches/THEME       the swatches of a theme
//	GET  /faults, PUT /faults  the current faults
package service

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// RequestIDHeader carries the ID of a request.
const RequestIDHeader = "X-Request-Id"

const (
	maxBodyBytes = 1 << 20
	maxOutcomes  = 1 << 17
	listLength   = 8
	swatchCount  = 5
)

// Faults are the faults that the service simulates. The zero value is a healthy
// service.
type Faults struct {
	Slowness     time.Duration `json:"slowness"`   // added to each request, in nanoseconds
	Silent       bool          `json:"silent"`     // requests take effect, but get no response
	LoseResponse bool          `json:"loseAnswer"` // requests take effect, then the connection breaks
	Refuse       bool          `json:"refuse"`     // requests get 503 and take no effect
	Backoff      time.Duration `json:"rest"`       // back-off that refusals ask for, in nanoseconds; 0 for none
	Truncate     bool          `json:"cutShort"`   // responses are truncated in the middle
	// Hold, if not nil, holds each request until a value can be received from it, or it is closed.
	Hold <-chan struct{} `json:"-"`
}

// LoggedOutcome is one outcome with the number of times that it was logged.
type LoggedOutcome struct {
	ID    string `json:"id"`    // ID of the first request that logged it
	Body  string `json:"body"`  // body of the request
	Count int    `json:"count"` // more than one means a duplicate
}

// Person is one entry of a call list.
type Person struct {
	ID    string `json:"id"`
	Topic string `json:"topic"`
}

// Service is the stand-in. It is an [http.Handler], safe for concurrent use.
type Service struct {
	mux *http.ServeMux

	mu           sync.Mutex
	faults       Faults
	logged       map[string]*LoggedOutcome
	loggedBodies []string
	refusedAt    []time.Time // times at which requests were refused
	held         int         // requests that arrived while requests were held
}

// New returns a service with nothing logged.
func New() *Service {
	s := &Service{logged: make(map[string]*LoggedOutcome)}
	s.mux = http.NewServeMux()
	s.mux.HandleFunc("GET /lists/{name}", s.guard(s.serveList))
	s.mux.HandleFunc("POST /outcomes", s.guard(s.serveOutcome))
	s.mux.HandleFunc("GET /outcomes", s.serveLogged)
	s.mux.HandleFunc("GET /layouts/{name}", s.guard(s.serveLayout))
	s.mux.HandleFunc("GET /swatches/{theme}", s.guard(s.serveSwatches))
	s.mux.HandleFunc("GET /faults", s.serveFaults)
	s.mux.HandleFunc("PUT /faults", s.serveSetFaults)
	return s
}

// ServeHTTP serves the routes named in the package's documentation.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the current faults.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Logged returns the outcomes in the order in which they were first logged.
func (s *Service) Logged() []LoggedOutcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]LoggedOutcome, 0, len(s.loggedBodies))
	for _, body := range s.loggedBodies {
		all = append(all, *s.logged[body])
	}
	return all
}

// Duplicates returns the number of outcomes that were logged more than once.
func (s *Service) Duplicates() int {
	n := 0
	for _, l := range s.Logged() {
		if l.Count > 1 {
			n++
		}
	}
	return n
}

// RefusedAt returns the times at which requests were refused.
func (s *Service) RefusedAt() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.refusedAt...)
}

// Held returns the number of requests that arrived while requests were held.
func (s *Service) Held() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held
}

func (s *Service) hold(gate <-chan struct{}) {
	s.mu.Lock()
	s.held++
	s.mu.Unlock()
	<-gate
}

func (s *Service) recordRefusal(w http.ResponseWriter, backOff time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusedAt = append(s.refusedAt, time.Now())
	if backOff > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(backOff.Seconds(), 'f', -1, 64))
	}
}

// guard applies the faults to a handler. The handler returns its response instead of
// writing it, so that a fault can strike after its effect and before the response.
func (s *Service) guard(next func(r *http.Request) (int, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := s.Faults()
		if f.Slowness > 0 {
			time.Sleep(f.Slowness)
		}
		if f.Hold != nil {
			s.hold(f.Hold)
		}
		if f.Refuse {
			s.recordRefusal(w, f.Backoff)
			reply(w, http.StatusServiceUnavailable, problem{Error: "not run"})
			return
		}
		status, v := next(r)
		switch {
		case f.Silent:
			<-r.Context().Done()
		case f.LoseResponse:
			panic(http.ErrAbortHandler)
		case f.Truncate:
			writeTruncated(w, status, v)
		default:
			reply(w, status, v)
		}
	}
}

func (s *Service) serveList(r *http.Request) (int, any) {
	name := r.PathValue("name")
	people := make([]Person, listLength)
	for i := range people {
		people[i] = Person{ID: fmt.Sprintf("%s-%d", name, i+1), Topic: pickWord(topics, name, i)}
	}
	return http.StatusOK, people
}

func (s *Service) serveOutcome(r *http.Request) (int, any) {
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxBodyBytes))
	if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
		return http.StatusRequestEntityTooLarge, problem{Error: "body too large"}
	}
	if err != nil {
		return http.StatusBadRequest, problem{Error: err.Error()}
	}
	return s.logOutcome(r.Header.Get(RequestIDHeader), string(body))
}

// logOutcome counts an outcome under its body: a body is unique to one outcome, while
// a request that was run twice by mistake might come with two IDs.
func (s *Service) logOutcome(id, body string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.logged[body]
	if !ok {
		if len(s.loggedBodies) >= maxOutcomes {
			return http.StatusInsufficientStorage, problem{Error: "log is full"}
		}
		l = &LoggedOutcome{ID: id, Body: body}
		s.logged[body] = l
		s.loggedBodies = append(s.loggedBodies, body)
	}
	l.Count++
	return http.StatusCreated, *l
}

func (s *Service) serveLogged(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, s.Logged())
}

type layout struct {
	Name    string   `json:"name"`
	Columns int      `json:"columns"`
	Parts   []string `json:"parts"`
}

func (s *Service) serveLayout(r *http.Request) (int, any) {
	name := r.PathValue("name")
	return http.StatusOK, layout{Name: name, Columns: 1 + int(hash(name, 0)%3), Parts: parts}
}

func (s *Service) serveSwatches(r *http.Request) (int, any) {
	theme := r.PathValue("theme")
	swatches := make([]string, swatchCount)
	for i := range swatches {
		swatches[i] = fmt.Sprintf("#%06x", hash(theme, i)&0xffffff)
	}
	return http.StatusOK, swatches
}

func (s *Service) serveFaults(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, s.Faults())
}

func (s *Service) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&f); err != nil {
		reply(w, http.StatusBadRequest, problem{Error: err.Error()})
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

var (
	topics = []string{"jardin", "musique", "famille", "cuisine", "hiver"}
	parts  = []string{"title", "body", "notes"}
)

func pickWord(from []string, name string, i int) string {
	return from[hash(name, i)%uint64(len(from))]
}

func hash(name string, i int) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s/%d", name, i)
	return h.Sum64()
}

type problem struct {
	Error string `json:"error"`
}

func reply(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeHeader(w, status, len(body))
	// An error means that the client has gone, so it is ignored.
	_, _ = w.Write(body)
}

// writeTruncated writes half of the response and breaks the connection.
func writeTruncated(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	writeHeader(w, status, len(body))
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func writeHeader(w http.ResponseWriter, status, length int) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(length))
	w.WriteHeader(status)
}
