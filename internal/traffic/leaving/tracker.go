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
	name        target.Name
	incarnation host.Incarnation // latest known; zero for none
	stated      [sources]bool    // List and Document: what they say now
	left        bool             // this incarnation is leaving for good
	out         bool             // Left was reported and holds
	suspended   bool             // Suspend was reported and holds
	heard       time.Time        // when the sidecar last spoke
	probed      time.Time        // when it was last asked
}

// Tracker decides which targets may get new work. It isn't safe for concurrent
// use.
type Tracker struct {
	cfg     Config
	states  map[target.Name]*state
	order   []*state // by arrival, so that runs can be repeated
	timer   time.Time
	actions []Action
}

// New returns a tracker without targets.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, states: make(map[target.Name]*state)}
}

// Handle takes one event and returns what is to be done, in order. The slice is
// valid until the next call.
//
// A target that is new to the tracker begins suspended, where Config.Silence is
// set. Its sidecar is asked at once, and its first word resumes the target.
func (t *Tracker) Handle(now time.Time, ev Event) []Action {
	t.actions = t.actions[:0]
	switch ev.Kind {
	case Statement:
		t.statement(now, ev)
	case Word:
		t.word(now, ev)
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
	return s.incarnation, !s.out && !s.suspended
}

func (t *Tracker) state(now time.Time, name target.Name) *state {
	s, ok := t.states[name]
	if !ok {
		s = &state{name: name, suspended: t.cfg.Silence > 0, heard: now.Add(-t.cfg.Silence)}
		t.states[name] = s
		t.order = append(t.order, s)
		if s.suspended {
			s.probed = now
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
	if ev.Source == List || ev.Source == Document {
		t.named(s, ev)
		return
	}
	if !ev.Leaving {
		return
	}
	if ev.Incarnation < s.incarnation {
		return
	}
	t.renew(s, ev.Incarnation)
	s.left = true
	t.report(s, ev.Source)
}

// named takes a statement about a name. When it turns to leaving, the present
// incarnation leaves for good. While it stands, later ones are kept out as well.
// But they aren't marked for good: the list lags, and what it says of a host
// that was replaced is meant for the life before.
func (t *Tracker) named(s *state, ev Event) {
	if ev.Leaving && !s.stated[ev.Source] {
		s.left = true
	}
	s.stated[ev.Source] = ev.Leaving
	t.report(s, ev.Source)
}

// word takes a sign of life. One from an earlier incarnation is late and says
// nothing; one that was long under way counts from when it was spoken.
func (t *Tracker) word(now time.Time, ev Event) {
	s := t.state(now, ev.Name)
	if ev.Incarnation < s.incarnation {
		return
	}
	t.renew(s, ev.Incarnation)
	spoken := now.Add(-max(0, ev.Age))
	if spoken.After(s.heard) {
		s.heard = spoken
	}
	if s.suspended && t.recent(now, s) {
		s.suspended = false
		t.resumeOrNot(s)
	}
}

func (t *Tracker) recent(now time.Time, s *state) bool {
	return t.cfg.Silence <= 0 || now.Sub(s.heard) < t.cfg.Silence
}

// renew moves on to a later incarnation. What was said before any was known
// holds for the first: it is likely the one that was meant, and a target kept
// out without need comes back with its next life.
func (t *Tracker) renew(s *state, inc host.Incarnation) {
	if inc <= s.incarnation {
		return
	}
	if s.incarnation == 0 {
		s.incarnation = inc
		return
	}
	s.incarnation = inc
	s.left = false
	t.unhear(s)
	t.report(s, List)
	if s.out {
		// The list or the document still stands against it. Whoever keeps the mark
		// by incarnation has to move it on.
		t.act(Action{Kind: Left, Name: s.name, Incarnation: inc, Source: s.stating()})
	}
}

// report tells of a change between leaving and not leaving.
func (t *Tracker) report(s *state, by Source) {
	out := s.left || s.stated[List] || s.stated[Document]
	if out == s.out {
		return
	}
	s.out = out
	if out {
		t.act(Action{Kind: Left, Name: s.name, Incarnation: s.incarnation, Source: by})
		return
	}
	t.resumeOrNot(s)
}

// unhear forgets the signs of an earlier life. Its last word says nothing about
// this one, whose first may have been under way for long.
func (t *Tracker) unhear(s *state) {
	if t.cfg.Silence <= 0 {
		return
	}
	s.heard = time.Time{}
	if !s.suspended {
		s.suspended = true
		t.act(Action{Kind: Suspend, Name: s.name})
	}
}

// stating returns which of List and Document says that the target is leaving.
func (s *state) stating() Source {
	if s.stated[List] {
		return List
	}
	return Document
}

func (t *Tracker) resumeOrNot(s *state) {
	if s.out || s.suspended {
		return
	}
	if s.left {
		t.violate("a target that left doesn't come back in the same incarnation", fmt.Sprintf("target %s incarnation %d", s.name, s.incarnation))
		return
	}
	t.act(Action{Kind: Resume, Name: s.name, Incarnation: s.incarnation})
}

// tick suspends the targets that have been silent for too long, and asks those
// that are on the way there.
func (t *Tracker) tick(now time.Time) {
	t.timer = time.Time{}
	if t.cfg.Silence <= 0 {
		return
	}
	for _, s := range t.order {
		wait := t.cfg.Probe
		if s.left {
			// Nothing else asks it: it gets no work. Without being asked, its
			// sidecar's next life would wait for work for ever.
			wait = t.cfg.Silence
		} else if !s.suspended && !t.recent(now, s) {
			s.suspended = true
			t.act(Action{Kind: Suspend, Name: s.name})
		}
		if now.Sub(s.heard) >= wait && now.Sub(s.probed) >= wait {
			s.probed = now
			t.act(Action{Kind: Probe, Name: s.name})
		}
	}
}

// setTimer asks for the next tick. Silence is a few seconds, so ticks at a
// quarter of the time to a probe are close enough and need no order of targets.
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
