package leaving

import (
	"fmt"
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/traffic/target"
)

// state is what is known about one target.
type state struct {
	name         target.Name
	incarnation  host.Incarnation // latest known; zero for none
	stated       [sources]bool    // FromList and FromDocument: whether they state that it is leaving
	leaving      bool             // this incarnation is leaving, which is final
	reportedLeft bool             // Left was returned and still applies
	suspended    bool             // no new work until the next liveness report
	lastReport   time.Time        // when the sidecar sent its last liveness report
	lastProbe    time.Time        // when the sidecar was last asked for one
}

// Tracker decides which targets may get new work. It isn't safe for concurrent
// use.
type Tracker struct {
	cfg     Config
	states  map[target.Name]*state
	order   []*state  // by arrival, so that runs are reproducible
	timer   time.Time // when the next Tick is due; zero if none was requested
	actions []Action
}

// New returns a tracker without targets.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, states: make(map[target.Name]*state)}
}

// Handle processes an event and returns the actions that the caller has to do,
// in order. The slice is valid until the next call.
//
// A target that is new to the tracker begins suspended if Config.Silence is
// set. Its sidecar is probed at once, and the first liveness report resumes it.
func (t *Tracker) Handle(now time.Time, ev Event) []Action {
	t.actions = t.actions[:0]
	switch ev.Kind {
	case Statement:
		t.statement(now, ev)
	case Liveness:
		t.liveness(now, ev)
	case Forget:
		t.forget(ev.Name)
	case Tick:
		t.tick(now)
	}
	t.setTimer(now)
	return t.actions
}

// Serving reports whether the target may get new work, and its incarnation.
func (t *Tracker) Serving(name target.Name) (host.Incarnation, bool) {
	s, ok := t.states[name]
	if !ok {
		return 0, false
	}
	return s.incarnation, !s.reportedLeft && !s.suspended
}

// state returns the state of a target, which it adds if the target is new.
func (t *Tracker) state(now time.Time, name target.Name) *state {
	s, ok := t.states[name]
	if !ok {
		s = &state{name: name, suspended: t.cfg.Silence > 0, lastReport: now.Add(-t.cfg.Silence)}
		t.states[name] = s
		t.order = append(t.order, s)
		if s.suspended {
			s.lastProbe = now
			t.act(Action{Kind: Probe, Name: name})
		}
	}
	return s
}

func (t *Tracker) forget(name target.Name) {
	s, ok := t.states[name]
	if !ok {
		return
	}
	delete(t.states, name)
	i := slices.Index(t.order, s)
	t.order = slices.Delete(t.order, i, i+1)
}

func (t *Tracker) statement(now time.Time, ev Event) {
	s := t.state(now, ev.Name)
	if ev.Source == FromList || ev.Source == FromDocument {
		t.statementOnName(s, ev)
		return
	}
	if !ev.Leaving {
		return
	}
	if ev.Incarnation < s.incarnation {
		return
	}
	t.advance(s, ev.Incarnation)
	s.leaving = true
	t.update(s, ev.Source)
}

// statementOnName handles a statement about a name. When it changes to leaving,
// the present incarnation is leaving, which is final. While it holds, later
// incarnations get no new work either. For them that isn't final: the list lags
// behind, and its statement on a replaced host is about the incarnation before.
func (t *Tracker) statementOnName(s *state, ev Event) {
	if ev.Leaving && !s.stated[ev.Source] {
		s.leaving = true
	}
	s.stated[ev.Source] = ev.Leaving
	t.update(s, ev.Source)
}

// liveness handles a liveness report. A late one of an earlier incarnation is
// ignored. One that was delayed counts from when it was sent.
func (t *Tracker) liveness(now time.Time, ev Event) {
	s := t.state(now, ev.Name)
	if ev.Incarnation < s.incarnation {
		return
	}
	t.advance(s, ev.Incarnation)
	sent := now.Add(-max(0, ev.Age))
	if sent.After(s.lastReport) {
		s.lastReport = sent
	}
	if s.suspended && t.recent(now, s) {
		s.suspended = false
		t.resumeIfServing(s)
	}
}

// recent reports whether the last liveness report is recent enough for new work.
func (t *Tracker) recent(now time.Time, s *state) bool {
	return t.cfg.Silence <= 0 || now.Sub(s.lastReport) < t.cfg.Silence
}

// advance changes to a later incarnation. Statements made before any
// incarnation was known apply to the first one: they are most likely about it,
// and if not, the target gets work again in its next incarnation.
func (t *Tracker) advance(s *state, inc host.Incarnation) {
	if inc <= s.incarnation {
		return
	}
	if s.incarnation == 0 {
		s.incarnation = inc
		return
	}
	s.incarnation = inc
	s.leaving = false
	t.clearLiveness(s)
	t.update(s, FromList)
	if s.reportedLeft {
		// The list or the document still states that it is leaving. A caller that
		// records Left by incarnation has to record it for the new one.
		t.act(Action{Kind: Left, Name: s.name, Incarnation: inc, Source: s.leavingSource()})
	}
}

// update returns Left or Resume to the caller if the target has changed between
// leaving and not leaving.
func (t *Tracker) update(s *state, by Source) {
	left := s.leaving || s.stated[FromList] || s.stated[FromDocument]
	if left == s.reportedLeft {
		return
	}
	s.reportedLeft = left
	if left {
		t.act(Action{Kind: Left, Name: s.name, Incarnation: s.incarnation, Source: by})
		return
	}
	t.resumeIfServing(s)
}

// clearLiveness discards the liveness report of the earlier incarnation, and
// suspends the target. The earlier report proves nothing about the new
// incarnation, whose own first one may have been delayed for long.
func (t *Tracker) clearLiveness(s *state) {
	if t.cfg.Silence <= 0 {
		return
	}
	s.lastReport = time.Time{}
	if !s.suspended {
		s.suspended = true
		t.act(Action{Kind: Suspend, Name: s.name})
	}
}

// leavingSource returns which of FromList and FromDocument states that the target is
// leaving.
func (s *state) leavingSource() Source {
	if s.stated[FromList] {
		return FromList
	}
	return FromDocument
}

// resumeIfServing resumes the target unless it is leaving or suspended.
func (t *Tracker) resumeIfServing(s *state) {
	if s.reportedLeft || s.suspended {
		return
	}
	if s.leaving {
		t.violate("a target that left doesn't come back in the same incarnation", fmt.Sprintf("target %s incarnation %d", s.name, s.incarnation))
		return
	}
	t.act(Action{Kind: Resume, Name: s.name, Incarnation: s.incarnation})
}

// tick suspends the targets without a recent liveness report, and probes those
// whose last one is older than Config.Probe.
func (t *Tracker) tick(now time.Time) {
	t.timer = time.Time{}
	if t.cfg.Silence <= 0 {
		return
	}
	for _, s := range t.order {
		wait := t.cfg.Probe
		if s.leaving {
			// As the target gets no work, only a probe makes its sidecar report.
			// Without probes, its next incarnation would never get work.
			wait = t.cfg.Silence
		} else if !s.suspended && !t.recent(now, s) {
			s.suspended = true
			t.act(Action{Kind: Suspend, Name: s.name})
		}
		if now.Sub(s.lastReport) >= wait && now.Sub(s.lastProbe) >= wait {
			s.lastProbe = now
			t.act(Action{Kind: Probe, Name: s.name})
		}
	}
}

// setTimer requests the next tick. Silence is a few seconds, so ticks at
// intervals of a quarter of Config.Probe are precise enough, and targets needn't
// be sorted by time.
func (t *Tracker) setTimer(now time.Time) {
	if t.cfg.Silence <= 0 || len(t.states) == 0 || !t.timer.IsZero() {
		return
	}
	t.timer = now.Add(t.cfg.Probe / 4)
	t.act(Action{Kind: SetTimer, At: t.timer})
}

func (t *Tracker) act(a Action) { t.actions = append(t.actions, a) }

func (t *Tracker) violate(invariant, evidence string) {
	t.act(Action{Kind: Violated, Violation: target.Violation{Invariant: invariant, Evidence: evidence}})
}
