package platform

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

// CauseHeader carries the cause under which a call is counted.
const CauseHeader = "X-Call-Cause"

const maxBodyBytes = 4 << 10

// Object is the JSON form of an object.
type Object struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"` // null for a deleted object
}

// Objects is the response to a list or a watch. Next is the version to pass to the
// next watch.
type Objects struct {
	Objects []Object `json:"objects"`
	Next    uint64   `json:"next"`
}

// Problem is the body of an error response.
type Problem struct {
	Error string `json:"error"`
}

// ServeHTTP serves the routes named in the package's documentation.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mux.ServeHTTP(w, r)
}

func (p *Platform) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{key...}", p.guard(opGet, p.serveGet))
	mux.HandleFunc("PUT /objects/{key...}", p.guard(opPut, p.servePut))
	mux.HandleFunc("DELETE /objects/{key...}", p.guard(opDelete, p.serveDelete))
	mux.HandleFunc("GET /list", p.guard(opList, p.serveList))
	mux.HandleFunc("GET /watch", p.guard(opWatch, p.serveWatch))
	mux.HandleFunc("PUT /hosts/{name}", p.serveHost)
	mux.HandleFunc("GET /calls", p.serveCalls)
	mux.HandleFunc("GET /faults", p.serveFaults)
	mux.HandleFunc("PUT /faults", p.serveSetFaults)
	return mux
}

// guard counts a call and applies the faults that come before it is carried out.
func (p *Platform) guard(o op, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f, limited := p.countCall(o, r.Header.Get(CauseHeader))
		if f.Silent {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if f.Slowness > 0 {
			time.Sleep(f.Slowness)
		}
		if f.Outage {
			problem(w, http.StatusServiceUnavailable, "outage")
			return
		}
		if limited {
			problem(w, http.StatusTooManyRequests, "rate limit")
			return
		}
		next(w, r)
	}
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	now := p.cfg.Now()
	p.applyHostChanges(now)
	obj, ok := p.store.at(object.Key(r.PathValue("key")), now.Add(-p.faults.ReadLag))
	p.mu.Unlock()
	if !ok {
		problem(w, http.StatusNotFound, "no such object")
		return
	}
	reply(w, http.StatusOK, wire(obj))
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, object.MaxValueBytes))
	if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
		problem(w, http.StatusRequestEntityTooLarge, "value too large")
		return
	}
	if err != nil {
		problem(w, http.StatusBadRequest, err.Error())
		return
	}
	if value == nil {
		value = []byte{}
	}
	p.serveWrite(w, r, value)
}

func (p *Platform) serveDelete(w http.ResponseWriter, r *http.Request) {
	p.serveWrite(w, r, nil)
}

func (p *Platform) serveWrite(w http.ResponseWriter, r *http.Request, value []byte) {
	want, err := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		problem(w, http.StatusBadRequest, "version: "+err.Error())
		return
	}
	p.mu.Lock()
	obj, status := p.store.write(p.cfg.Now(), object.Key(r.PathValue("key")), object.Version(want), value)
	lost := p.losesResponse()
	p.notify()
	p.mu.Unlock()
	if lost {
		// The connection breaks after the write has taken effect.
		panic(http.ErrAbortHandler)
	}
	switch status {
	case object.Conflict:
		reply(w, http.StatusConflict, wire(obj))
	case object.NotFound:
		problem(w, http.StatusNotFound, "no such object")
	default:
		reply(w, http.StatusOK, wire(obj))
	}
}

// losesResponse reports whether the response to this write is lost. The caller holds
// the lock.
func (p *Platform) losesResponse() bool {
	if p.faults.LostResponses > 0 {
		p.faults.LostResponses--
		return true
	}
	return p.faults.LostShare > 0 && p.rand.Float64() < p.faults.LostShare
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	prefix := object.Key(r.URL.Query().Get("prefix"))
	p.mu.Lock()
	now := p.cfg.Now()
	p.applyHostChanges(now)
	objs := p.store.list(prefix, now.Add(-p.faults.ReadLag))
	p.mu.Unlock()
	reply(w, http.StatusOK, wireAll(objs, 0))
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, err := strconv.ParseUint(q.Get("since"), 10, 64)
	if err != nil {
		problem(w, http.StatusBadRequest, "since: "+err.Error())
		return
	}
	wait, err := strconv.Atoi(q.Get("waitMillis"))
	if err != nil {
		problem(w, http.StatusBadRequest, "waitMillis: "+err.Error())
		return
	}
	objs, next := p.watch(r.Context(), object.Key(q.Get("prefix")), object.Version(since), time.Duration(wait)*time.Millisecond)
	reply(w, http.StatusOK, wireAll(objs, next))
}

func (p *Platform) serveHost(w http.ResponseWriter, r *http.Request) {
	var h Host
	if !decode(w, r, &h) {
		return
	}
	h.Name = r.PathValue("name")
	p.SetHost(h)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveCalls(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, p.Calls())
}

func (p *Platform) serveFaults(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, p.Faults())
}

func (p *Platform) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !decode(w, r, &f) {
		return
	}
	p.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		problem(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

func wire(obj object.Object) Object {
	return Object{Key: string(obj.Key), Version: uint64(obj.Version), Value: obj.Value}
}

func wireAll(objs []object.Object, next object.Version) Objects {
	all := Objects{Objects: make([]Object, 0, len(objs)), Next: uint64(next)}
	for _, obj := range objs {
		all.Objects = append(all.Objects, wire(obj))
	}
	return all
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has gone, so it is ignored.
	_ = json.NewEncoder(w).Encode(v)
}

func problem(w http.ResponseWriter, status int, message string) {
	reply(w, status, Problem{Error: message})
}
