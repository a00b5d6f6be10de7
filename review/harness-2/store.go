package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is how many objects a page of a list has at most.
const pageItems = 500

type metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	CreatedRev int64    `json:"created_rev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type change struct {
	kind    string
	removed bool
	object  object
}

// store is a stand-in of the platform's metadata store, as PROTOCOL.md and the news describe it. Its objects are
// never changed in place.
type store struct {
	record *record

	mu       sync.Mutex
	era      int64
	revision int64
	oldest   int64 // the history before this revision is gone
	objects  map[string]map[string]object
	changes  []change
	changed  chan struct{}
	beats    map[string]time.Time // last heartbeat of each server
	silent   bool                 // no call is answered
	// leaders are the holders that processes wrote under a condition, by the name of the object.
	leaders map[string]string
	told    map[string]int // how many watches were answered with an event, by what it says of which server
	ended   chan struct{}
	server  *http.Server
}

func newStore(at string, r *record) (*store, error) {
	s := &store{
		record: r, era: 1, objects: make(map[string]map[string]object), changed: make(chan struct{}),
		beats: make(map[string]time.Time), leaders: make(map[string]string), told: make(map[string]int), ended: make(chan struct{}),
	}
	l, err := net.Listen("tcp4", at)
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }() // it returns when the server is closed
	go s.expire()
	return s, nil
}

func (s *store) close() {
	close(s.ended)
	_ = s.server.Close()
}

// put writes an object as the operator or a server does.
func (s *store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err) // the harness writes only what can be encoded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, text, nil)
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(kind, name)
}

// heartbeat renews a server's entry.
func (s *store) heartbeat(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beats[name] = time.Now()
}

// expire removes the entries of servers that are silent for three heartbeats.
func (s *store) expire() {
	for {
		select {
		case <-s.ended:
			return
		case <-time.After(100 * time.Millisecond):
		}
		s.mu.Lock()
		for name := range s.objects["servers"] {
			if time.Since(s.beats[name]) > 3*heartbeat {
				s.record.note("store: the entry of %s expires", name)
				s.drop("servers", name)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) drop(kind, name string) {
	o, found := s.objects[kind][name]
	if !found {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.append(change{kind: kind, removed: true, object: o})
}

func (s *store) write(kind, name string, spec json.RawMessage, finalizers []string) object {
	o := object{Metadata: metadata{Name: name, Finalizers: finalizers}, Spec: spec, Status: json.RawMessage("null")}
	before, found := s.objects[kind][name]
	if found && (string(before.Spec) == string(spec) || kind == "servers" && sameButSeq(before.Spec, spec)) {
		return before
	}
	s.revision++
	o.Metadata.Revision, o.Metadata.CreatedRev = s.revision, s.revision
	if found {
		o.Metadata.CreatedRev, o.Status = before.Metadata.CreatedRev, before.Status
	}
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.objects[kind][name] = o
	s.append(change{kind: kind, object: o})
	return o
}

// sameButSeq reports whether a server's entries differ in nothing but seq: such a write changes nothing.
func sameButSeq(a, b json.RawMessage) bool {
	var x, y map[string]any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	x["seq"], y["seq"] = 0, 0
	return reflect.DeepEqual(x, y)
}

func (s *store) append(c change) {
	s.changes = append(s.changes, c)
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) leader(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaders[name]
}

// ServeHTTP serves a call of a process of the system.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent {
		select {
		case <-r.Context().Done():
		case <-s.ended:
		}
		return
	}
	kind, name, named := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	name = strings.TrimSuffix(name, "/status")
	if r.Method == http.MethodGet && !named && r.URL.Query().Has("watch") {
		s.watch(w, r, kind)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.Method == http.MethodGet && !named:
		s.list(w, kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodGet:
		o, found := s.objects[kind][name]
		s.answer(w, found, http.StatusNotFound, o)
	default:
		s.change(w, r, kind, name)
	}
}

// answer writes a body with status 200, or the other status if ok is not set. The caller holds the lock.
func (s *store) answer(w http.ResponseWriter, ok bool, otherwise int, body any) {
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	w.Header().Set("Content-Type", "application/json")
	if !ok {
		w.WriteHeader(otherwise)
		return
	}
	_ = json.NewEncoder(w).Encode(body) // a caller that has left needs no answer
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	items := []object{}
	names := slices.Sorted(maps.Keys(s.objects[kind]))
	more := false
	for _, n := range names {
		if n <= after {
			continue
		}
		if len(items) == pageItems {
			more = true
			break
		}
		items = append(items, s.objects[kind][n])
	}
	s.answer(w, true, 0, map[string]any{"items": items, "has_more": more, "current_rev": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		if after > s.revision || after < s.oldest {
			s.answer(w, false, http.StatusGone, nil)
			s.mu.Unlock()
			return
		}
		events := []map[string]any{}
		for _, c := range s.changes {
			if c.kind == kind && c.object.Metadata.Revision > after {
				events = append(events, map[string]any{"object": c.object, "removed": c.removed})
			}
		}
		if len(events) > 0 || over {
			s.noteTold(kind, after)
			s.answer(w, true, 0, map[string]any{"events": events, "current_rev": s.revision})
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		case <-s.ended:
			return
		}
	}
}

// noteTold notes which changes of servers a watch is answered with. The caller holds the lock.
func (s *store) noteTold(kind string, after int64) {
	for _, c := range s.changes {
		if kind == "servers" && c.kind == kind && c.object.Metadata.Revision > after {
			what := said(c)
			s.told[what]++
			s.record.note("store: a watch is told that %s", what)
		}
	}
}

// said returns what a change says of a server.
func said(c change) string {
	if c.removed {
		return c.object.Metadata.Name + " is gone"
	}
	var spec struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(c.object.Spec, &spec) // one that can't be read has no state
	return c.object.Metadata.Name + " is " + spec.State
}

// watchesTold returns how many watches were told something of a server.
func (s *store) watchesTold(what string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.told[what]
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			s.answer(w, false, http.StatusBadRequest, nil)
			return
		}
		if name == "" {
			name = in.Metadata.Name
		}
	}
	if text := r.URL.Query().Get("revision"); text != "" {
		in.Metadata.Revision, _ = strconv.ParseInt(text, 10, 64)
	}
	current, found := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && found:
		s.answer(w, false, http.StatusConflict, nil)
	case r.Method != http.MethodPost && !found:
		s.answer(w, false, http.StatusNotFound, nil)
	case in.Metadata.Revision != 0 && in.Metadata.Revision != current.Metadata.Revision:
		s.answer(w, false, http.StatusConflict, nil)
	case r.Method == http.MethodDelete:
		s.drop(kind, name)
		s.answer(w, true, 0, current)
	default:
		var spec struct {
			Holder string `json:"holder"`
		}
		if err := json.Unmarshal(in.Spec, &spec); err == nil && spec.Holder != "" {
			s.leaders[name] = spec.Holder
			s.record.note("store: %s writes %s/%s", spec.Holder, kind, name)
		}
		s.answer(w, true, 0, s.write(kind, name, in.Spec, in.Metadata.Finalizers))
	}
}

// renew writes a server's entry, or renews it.
func (s *store) renew(name string, spec any) {
	s.heartbeat(name)
	s.put("servers", name, spec)
}

func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	s.record.note("store: silent %t", silent)
}

// copyOfStore is a copy of the store at some moment.
type copyOfStore struct {
	revision int64
	objects  map[string]map[string]object
	changes  []change
}

func (s *store) backup() copyOfStore {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.note("store: the copy is of revision %d", s.revision)
	return copyOfStore{s.revision, cloneObjects(s.objects), append([]change(nil), s.changes...)}
}

// restore has the store come back from a copy. Entries of servers expire three heartbeats later, unless their
// servers renew them.
func (s *store) restore(c copyOfStore) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.objects, s.changes = c.revision, cloneObjects(c.objects), append([]change(nil), c.changes...)
	for name := range s.objects["servers"] {
		s.beats[name] = time.Now()
	}
	s.record.note("store: back from the copy of revision %d, in era %d", c.revision, s.era)
	s.wake()
}

// discardHistory discards the history, and cuts the watches off.
func (s *store) discardHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++ // some other object has changed
	s.oldest, s.changes = s.revision, nil
	s.record.note("store: the history before revision %d is discarded", s.oldest)
	s.wake()
}

func cloneObjects(from map[string]map[string]object) map[string]map[string]object {
	to := make(map[string]map[string]object, len(from))
	for kind, objects := range from {
		to[kind] = maps.Clone(objects)
	}
	return to
}
