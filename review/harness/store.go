package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in of the platform's object store, as PROTOCOL.md describes it. It keeps all
// objects in memory and has the whole history since its last restore.
type Store struct {
	Address netip.AddrPort

	mu       sync.Mutex
	server   *http.Server
	down     bool // it resets all channels
	era      int64
	revision int64
	oldest   int64 // the history has the changes from this revision on
	objects  map[string]map[string]Object
	events   []event
	changed  chan struct{}
	told     map[string][]time.Time // when watches reported that a server's entry is gone, by its name
}

// Object is an object of the store.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// Metadata is what the store keeps about an object.
type Metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	CreatedRev int64    `json:"created_rev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type event struct {
	kind    string
	object  Object
	removed bool
}

// Copy is a copy of the store at some moment.
type Copy struct {
	revision int64
	objects  map[string]map[string]Object
}

// NewStore starts an empty store on a free port.
func NewStore() (*Store, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{
		Address: netip.MustParseAddrPort(l.Addr().String()),
		era:     1, oldest: 1,
		objects: make(map[string]map[string]Object), changed: make(chan struct{}), told: make(map[string][]time.Time),
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }() // it returns when the store is closed
	return s, nil
}

// Close stops the store.
func (s *Store) Close() { _ = s.server.Close() }

// SetDown makes the store reset all channels, or serve again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// Copy takes a copy of the store.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{s.revision, cloned(s.objects)}
}

// Restore brings the store back from a copy: what was written since is gone, revisions are given
// out again, and the era rises by one.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.objects, s.events, s.oldest = c.revision, cloned(c.objects), nil, c.revision+1
	s.wake()
}

func cloned(from map[string]map[string]Object) map[string]map[string]Object {
	to := make(map[string]map[string]Object, len(from))
	for kind, objects := range from {
		to[kind] = maps.Clone(objects)
	}
	return to
}

// Put writes an object, as the operator, a server or another writer does.
func (s *Store) Put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err) // the harness writes only values that can be encoded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, text)
}

// Remove removes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// Told returns when watches reported that a server's entry is gone.
func (s *Store) Told(name string) []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.told[name])
}

// put writes an object. One of a server changes only if more than its seq changes.
func (s *Store) put(kind, name string, spec json.RawMessage) Object {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]Object)
	}
	o, found := s.objects[kind][name]
	if found && sameSpec(kind, o.Spec, spec) {
		o.Spec = spec
		s.objects[kind][name] = o
		return o
	}
	s.revision++
	if !found {
		o = Object{Metadata: Metadata{Name: name, CreatedRev: s.revision, Finalizers: []string{}}}
	}
	o.Metadata.Revision, o.Spec = s.revision, spec
	s.objects[kind][name] = o
	s.events = append(s.events, event{kind: kind, object: o})
	s.wake()
	return o
}

func (s *Store) remove(kind, name string) {
	o, found := s.objects[kind][name]
	if !found {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.events = append(s.events, event{kind: kind, object: o, removed: true})
	s.wake()
}

// sameSpec reports whether a write changes nothing. A server's seq alone is no change.
func sameSpec(kind string, a, b json.RawMessage) bool {
	if string(a) == string(b) {
		return true
	}
	var x, y map[string]any
	if kind != "servers" || json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	delete(x, "seq")
	delete(y, "seq")
	return fmt.Sprint(x) == fmt.Sprint(y)
}

// wake wakes all watches. The caller holds the lock.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, named := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	if r.Method == http.MethodGet && !named && r.URL.Query().Has("watch") {
		s.watch(w, r, kind)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	switch {
	case r.Method == http.MethodGet && !named:
		s.list(w, kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodGet:
		if o, found := s.objects[kind][name]; found {
			writeJSON(w, http.StatusOK, o)
			return
		}
		w.WriteHeader(http.StatusNotFound)
	default:
		s.write(w, r, kind, name)
	}
}

// pageSize is how many objects a page of a list has.
const pageSize = 500

func (s *Store) list(w http.ResponseWriter, kind, after string) {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(s.objects[kind])) {
		if name > after {
			names = append(names, name)
		}
	}
	items := make([]Object, 0, len(names))
	for _, name := range names[:min(len(names), pageSize)] {
		items = append(items, s.objects[kind][name])
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": len(names) > pageSize, "current_rev": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
		gone := after+1 < s.oldest || after > s.revision
		events := []map[string]any{}
		for _, e := range s.events {
			if e.kind == kind && e.object.Metadata.Revision > after {
				events = append(events, map[string]any{"object": e.object, "removed": e.removed})
				if e.removed && kind == "servers" {
					s.told[e.object.Metadata.Name] = append(s.told[e.object.Metadata.Name], time.Now())
				}
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		switch {
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case over, len(events) > 0:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// write creates, replaces or deletes an object. The caller holds the lock.
func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	expected, _ := strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64)
	var in Object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		expected = in.Metadata.Revision
	}
	if name == "" {
		name = in.Metadata.Name
	}
	o, found := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && found, found && expected != 0 && expected != o.Metadata.Revision:
		writeJSON(w, http.StatusConflict, o)
	case r.Method != http.MethodPost && !found:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		w.WriteHeader(http.StatusOK)
	default:
		writeJSON(w, http.StatusOK, s.put(kind, name, in.Spec))
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a caller that has left needs no answer
}
