package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The shape of a group and the speed of its servers, as on the site ktfb-crowd.
const (
	groupRanks = 8
	groupSets  = 6
	experts    = 64
	places     = 11
	spare      = 4
	copyTime   = 148 * time.Millisecond // 1,700 MB at 92,000 Mbit/s
	passTime   = 30 * time.Millisecond
	slots      = 12
	streamLen  = 24 // events
	shiftEvery = 3 * time.Second
)

// group is a group of model servers, which the platform forms of the servers that are up.
type group struct {
	w    *world
	name string

	mu     sync.Mutex
	ranks  []*engine // nil for a rank without a server
	epoch  int64
	open   bool
	stalls bool // a rank is gone, and the work in hand waits
	faulty string
	step   int64
	begun  chan struct{} // closed as the next pass begins, or the work is cut off
	mixed  []string      // passes that began with different maps
	passes int           // with a map other than map 0
}

// engine is the model server of a side machine. All its fields but those of its process are guarded by its group.
type engine struct {
	g       *group
	machine int
	address string
	server  *http.Server
	up      bool
	boots   int
	id      string
	born    int64
	rank    int
	seq     int
	running int
	counts  []uint64

	active     int64
	activeText string
	rows       map[int64][][]int
	highest    int64
	prepared   int64
	preparedTo string
	readyAt    time.Time
	armed      [2]int64 // version and step
	held       int64
}

func (w *world) newGroup(name string, firstMachine int) (*group, error) {
	g := &group{w: w, name: name, ranks: make([]*engine, groupRanks), begun: make(chan struct{})}
	for n := range groupRanks {
		e := &engine{g: g, machine: firstMachine + n, address: w.at(sideNet, firstMachine+n, appPort), rank: n}
		if err := e.boot(); err != nil {
			return nil, err
		}
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() { g.run(stop) })
	w.closers = append(w.closers, func() {
		close(stop)
		running.Wait()
		for _, e := range g.ranks {
			if e != nil {
				_ = e.server.Close()
			}
		}
	})
	return g, nil
}

// boot starts the server: a new boot has a new id, and takes the lowest rank that has no server.
func (e *engine) boot() error {
	l, err := net.Listen("tcp4", e.address)
	if err != nil {
		return err
	}
	g := e.g
	g.mu.Lock()
	defer g.mu.Unlock()
	e.boots++
	e.id, e.born, e.up, e.seq, e.running = fmt.Sprintf("i-%d-%d", e.machine, e.boots), time.Now().UnixMilli(), true, 0, 0
	e.counts = make([]uint64, groupSets*experts)
	e.server = &http.Server{Handler: e}
	for rank, other := range g.ranks {
		if other == nil {
			g.ranks[rank], e.rank = e, rank
			break
		}
	}
	g.w.record.note("server %s starts on machine side-%d as rank %d of %s", e.id, e.machine, e.rank, g.name)
	go func(s *http.Server) { _ = s.Serve(l) }(e.server)
	go e.beat(e.id)
	for _, other := range g.ranks {
		if other == nil {
			return nil
		}
	}
	time.AfterFunc(formTime, g.form)
	return nil
}

// beat writes the server's entry as long as the boot lasts.
func (e *engine) beat(id string) {
	e.g.w.store.heartbeat(id)
	e.g.w.store.put("servers", id, e.g.w.entry("lm", e.address, e.born))
	for {
		time.Sleep(heartbeat)
		e.g.mu.Lock()
		current := e.up && e.id == id
		e.g.mu.Unlock()
		if !current {
			return
		}
		e.g.w.store.heartbeat(id)
	}
}

// entry is a server's entry in the store.
func (w *world) entry(service, address string, born int64) map[string]any {
	return map[string]any{
		"service": service, "address": address, "zone": "z", "version": "v1", "slots": slots, "state": "ready",
		"cold_remaining_ms": 0, "seq": 1, "born": born,
	}
}

// crash ends the server without a sign; it is back after a time.
func (e *engine) crash(down time.Duration) {
	g := e.g
	g.mu.Lock()
	g.w.record.note("server %s on machine side-%d, rank %d of %s, crashes", e.id, e.machine, e.rank, g.name)
	e.up, g.ranks[e.rank], g.faulty = false, nil, e.id
	server, first := e.server, !g.stalls
	g.stalls = true
	g.mu.Unlock()
	_ = server.Close()
	if first {
		time.AfterFunc(stallTime, g.breakUp)
	}
	time.AfterFunc(down, func() {
		if err := e.boot(); err != nil {
			g.w.record.note("server on machine side-%d does not start: %v", e.machine, err)
		}
	})
}

// breakUp cuts the work off that a crashed rank has stalled.
func (g *group) breakUp() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = false
	g.signal()
}

func (g *group) signal() {
	close(g.begun)
	g.begun = make(chan struct{})
}

// form opens the group in a new epoch, with map 0 and nothing prepared, armed or held.
func (g *group) form() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.ranks {
		if e == nil {
			return
		}
	}
	g.epoch++
	g.open, g.stalls = true, false
	var ranks []string
	for rank, e := range g.ranks {
		e.active, e.activeText, e.highest, e.prepared, e.armed, e.held = 0, "", 0, 0, [2]int64{}, 0
		first := make([][]int, groupSets)
		for set := range first {
			for x := rank; x < experts; x += groupRanks {
				first[set] = append(first[set], x)
			}
		}
		e.rows = map[int64][][]int{0: first}
		ranks = append(ranks, fmt.Sprintf("%d=%s(side-%d)", rank, e.id, e.machine))
	}
	g.w.record.note("%s opens in epoch %d: ranks %s", g.name, g.epoch, strings.Join(ranks, " "))
}

// run begins the passes of the group while it has work.
func (g *group) run(stop chan struct{}) {
	tick := time.NewTicker(passTime)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-tick.C:
			g.pass(now)
		}
	}
}

func (g *group) pass(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	work := 0
	for _, e := range g.ranks {
		if e == nil || e.held == g.step+1 {
			return
		}
		work += e.running
	}
	if !g.open || g.stalls || work == 0 {
		return
	}
	g.step++
	liked := int(now.Sub(g.w.record.begin) / shiftEvery)
	for _, e := range g.ranks {
		if e.armed[1] == g.step {
			e.active, e.activeText, e.armed = e.armed[0], e.preparedTo, [2]int64{}
		}
		for i := range e.counts {
			e.counts[i] += uint64(e.running * 600 / (1 + (i*7+liked*13+i/experts*5)%experts))
		}
	}
	first := g.ranks[0]
	if first.active != 0 {
		g.passes++
	}
	var versions []string
	same := true
	for rank, e := range g.ranks {
		versions = append(versions, fmt.Sprintf("%d:%d", rank, e.active))
		same = same && e.active == first.active && e.activeText == first.activeText
	}
	if !same {
		text := fmt.Sprintf("pass %d of %s in epoch %d begins with different maps: rank:version %s", g.step, g.name, g.epoch, strings.Join(versions, " "))
		g.mixed = append(g.mixed, text)
		if len(g.mixed) <= 20 {
			g.w.record.note("%s", text)
		}
	}
	g.signal()
}

// ServeHTTP serves the calls of the system.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/report":
		e.report(w)
	case "/picked":
		e.picked(w, r)
	case "/order":
		e.order(w, r)
	default:
		e.stream(w, r)
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // a caller that has left needs no answer
}

func (e *engine) report(w http.ResponseWriter) {
	g := e.g
	g.mu.Lock()
	state := "broken"
	if g.open {
		state = "open"
	}
	body := map[string]any{
		"stage": "unified", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false, "handles": 0,
		"seq": e.seq, "waiting": 0, "running": e.running, "kv_used": 0, "kv_total": 280000, "pace": 1.0, "born": e.born,
		"group": map[string]any{"name": g.name, "epoch": g.epoch, "rank": e.rank, "state": state}, "size": groupRanks,
		"step": g.step, "map": e.active, "prepared": nil, "armed": nil, "held": nil,
	}
	if e.prepared != 0 && !time.Now().Before(e.readyAt) {
		body["prepared"] = e.prepared
	}
	if e.armed[0] != 0 {
		body["armed"] = map[string]int64{"version": e.armed[0], "step": e.armed[1]}
	}
	if e.held != 0 {
		body["held"] = e.held
	}
	g.mu.Unlock()
	writeJSON(w, body)
}

func (e *engine) picked(w http.ResponseWriter, r *http.Request) {
	g := e.g
	g.mu.Lock()
	body := map[string]any{"step": g.step, "epoch": g.epoch, "born": e.born}
	if r.URL.Query().Has("lists") {
		body["map"] = map[string]any{"version": e.active, "experts": e.rows[e.active]}
	} else {
		body["counts"] = append([]uint64(nil), e.counts...)
	}
	g.mu.Unlock()
	writeJSON(w, body)
}

type order struct {
	Operation string    `json:"operation"`
	Epoch     int64     `json:"epoch"`
	Version   int64     `json:"version"`
	Step      int64     `json:"step"`
	Map       [][][]int `json:"map"`
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.g.mu.Lock()
	status := e.carryOut(o)
	e.g.w.record.note("order to %s (rank %d, epoch %d): %s epoch %d version %d step %d -> %d", e.id, e.rank, e.g.epoch, o.Operation, o.Epoch, o.Version, o.Step, status)
	e.g.mu.Unlock()
	w.WriteHeader(status)
}

// carryOut carries an order out and returns the status of the answer.
func (e *engine) carryOut(o order) int {
	g := e.g
	ready := e.prepared == o.Version && !time.Now().Before(e.readyAt)
	switch {
	case o.Epoch != g.epoch || !g.open:
		return http.StatusConflict
	case o.Operation == "prepare":
		return e.prepare(o)
	case o.Operation == "arm" && e.armed == [2]int64{o.Version, o.Step}:
		return http.StatusOK // the state already holds
	case o.Operation == "arm" && ready && o.Version != 0 && o.Step > g.step:
		e.armed = [2]int64{o.Version, o.Step}
	case o.Operation == "disarm" && e.active != o.Version:
		if e.armed[0] == o.Version {
			e.armed = [2]int64{}
		}
	case o.Operation == "hold" && o.Step > g.step && (e.held == 0 || e.held == o.Step):
		e.held = o.Step
	case o.Operation == "go" && e.held == o.Step:
		e.held = 0
	default:
		return http.StatusConflict
	}
	e.seq++
	return http.StatusOK
}

// prepare begins to copy the experts that are new to the rank.
func (e *engine) prepare(o order) int {
	if o.Version <= e.highest || e.armed[0] != 0 || len(o.Map) != groupSets {
		return http.StatusConflict
	}
	row, copies := make([][]int, groupSets), 0
	for set, ranks := range o.Map {
		if len(ranks) != groupRanks || len(ranks[e.rank]) > places {
			return http.StatusConflict
		}
		row[set] = ranks[e.rank]
		news := 0
		for _, x := range row[set] {
			news++
			for _, y := range e.rows[e.active][set] {
				if x == y {
					news--
					break
				}
			}
		}
		if news > spare {
			return http.StatusConflict
		}
		copies += news
	}
	text, err := json.Marshal(o.Map)
	if err != nil {
		return http.StatusBadRequest
	}
	e.highest, e.prepared, e.preparedTo, e.rows[o.Version] = o.Version, o.Version, string(text), row
	e.readyAt = time.Now().Add(time.Duration(copies) * copyTime)
	e.seq++
	return http.StatusAccepted
}

// stream runs a request: one event with each pass of the group.
func (e *engine) stream(w http.ResponseWriter, r *http.Request) {
	g := e.g
	id := r.Header.Get("Wagtailshelf-Request-Id")
	h := w.Header()
	h.Set("Wagtailshelf-Request-Id", id)
	if x := r.Header.Get("Wagtailshelf-Expect-Instance"); x != "" && x != e.id {
		h.Set("Wagtailshelf-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	g.mu.Lock()
	epoch := g.epoch
	if !g.open || e.running >= slots {
		if !g.open {
			h.Set("At-Server", g.faulty)
		}
		g.mu.Unlock()
		h.Set("Wagtailshelf-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.running++
	begun := g.begun
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		e.running--
		g.mu.Unlock()
	}()
	first := 1
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = n + 1
	}
	for n := first; n <= streamLen; n++ {
		select {
		case <-begun:
		case <-r.Context().Done():
			return
		}
		g.mu.Lock()
		cut := !g.open || g.epoch != epoch
		begun = g.begun
		faulty := g.faulty
		g.mu.Unlock()
		if cut && n == first {
			h.Set("Wagtailshelf-Not-Executed", "1")
			h.Set("At-Server", faulty)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if cut {
			panic(http.ErrAbortHandler)
		}
		if n == first {
			g.w.record.note("server %s runs %s from event %d", e.id, id, n)
			h.Set("Content-Type", "text/event-stream")
			h.Set("Wagtailshelf-Server-Stamp", e.id+"."+id)
		}
		fmt.Fprint(w, event(id, n))
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
	}
}

// event is the n-th event of a request's stream.
func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id) }
