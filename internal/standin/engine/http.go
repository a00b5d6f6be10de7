package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	wire "wagtailshelf.example/wagtailshelf/internal/wire/engine"
)

const maxOrderBytes = 16 << 20

// Problem is the body of an error response.
type Problem struct {
	Error string `json:"error"`
}

// ServeHTTP serves the routes named in the package's documentation.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.Faults().Dead && r.URL.Path != "/faults" {
		panic(http.ErrAbortHandler)
	}
	e.mux.ServeHTTP(w, r)
}

func (e *Engine) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /", e.serveGenerate)
	mux.HandleFunc("POST /cancel", e.serveCancel)
	mux.HandleFunc("GET /runs", e.serveRuns)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("GET /events", e.serveEvents)
	mux.HandleFunc("GET /counts", e.serveCounts)
	mux.HandleFunc("POST /orders", e.serveOrder)
	mux.HandleFunc("GET /orders", e.serveState)
	mux.HandleFunc("GET /group", e.serveGroup)
	mux.HandleFunc("PUT /popularity", e.servePopularity)
	mux.HandleFunc("GET /faults", e.serveFaults)
	mux.HandleFunc("PUT /faults", e.serveSetFaults)
	return mux
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	rn, ok := e.runs[r.URL.Query().Get("id")]
	if !ok {
		problem(w, http.StatusNotFound, "no such run")
		return
	}
	e.cancel(rn)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveRuns(w http.ResponseWriter, r *http.Request) {
	reply(w, http.StatusOK, e.Runs(r.URL.Query().Get("id")))
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.group.mu.Lock()
	now := time.Now()
	e.refreshLoad(now)
	load := e.lastLoad
	load.AgeMicros = uint64(now.Sub(e.lastLoadAt).Microseconds())
	e.group.mu.Unlock()
	reply(w, http.StatusOK, load)
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		problem(w, http.StatusBadRequest, "from: "+err.Error())
		return
	}
	e.group.mu.Lock()
	page := e.cache.page(from, time.Now())
	e.group.mu.Unlock()
	reply(w, http.StatusOK, page)
}

func (e *Engine) serveCounts(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, e.Counts())
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var ord wire.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrderBytes)).Decode(&ord); err != nil {
		problem(w, http.StatusBadRequest, err.Error())
		return
	}
	answer := e.Order(ord)
	status := http.StatusOK
	if !answer.Accepted {
		status = http.StatusConflict
	}
	reply(w, status, answer)
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	if e.cfg.NoReadBack {
		problem(w, http.StatusNotImplemented, "orders can't be read back")
		return
	}
	reply(w, http.StatusOK, e.State())
}

// GroupState is the state of a group's lock-step.
type GroupState struct {
	Ranks      int    `json:"ranks"`
	Next       uint64 `json:"next"`       // number of the next step
	MixedSteps int    `json:"mixedSteps"` // steps whose ranks had different maps
}

func (e *Engine) serveGroup(w http.ResponseWriter, _ *http.Request) {
	g := e.group
	reply(w, http.StatusOK, GroupState{Ranks: len(g.ranks), Next: g.Step(), MixedSteps: g.MixedSteps()})
}

func (e *Engine) servePopularity(w http.ResponseWriter, r *http.Request) {
	var shares [][]float64
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrderBytes)).Decode(&shares); err != nil {
		problem(w, http.StatusBadRequest, err.Error())
		return
	}
	e.group.SetPopularity(shares)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveFaults(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, e.Faults())
}

func (e *Engine) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrderBytes)).Decode(&f); err != nil {
		problem(w, http.StatusBadRequest, err.Error())
		return
	}
	e.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func reply(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// An error means that the client has gone, so it is ignored.
	_, _ = w.Write(body)
}

func problem(w http.ResponseWriter, status int, message string) {
	reply(w, status, Problem{Error: message})
}
