package changeover

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// follows tells whether a sidecar follows a planner: none newer has asked it. A sidecar
// that is started again has forgotten whom it followed.
func (m *model) follows(rank int, term int64) bool {
	if m.r.IntN(400) == 0 {
		m.terms[rank] = 0
	}
	if term < m.terms[rank] {
		return false
	}
	m.terms[rank] = term
	return true
}

// stand lets the host of a process stand still now and then, most often in the middle of
// a change. The process goes on where it was when its host wakes, and finds that time
// has passed.
func (m *model) stand(process int) {
	chance := m.freeze
	if m.ranks[Second(process, len(m.ranks))].held != 0 {
		chance *= 10
	}
	if m.clock >= m.frozen[process] && m.r.Float64() < chance {
		m.frozen[process] = m.clock + (1+m.r.IntN(60))*m.every
	}
	for m.clock < m.frozen[process] {
		if m.running <= m.standing() {
			m.tick() // nobody else makes time pass
			continue
		}
		m.mu.Unlock()
		runtime.Gosched()
		m.mu.Lock()
	}
}

// standing counts the hosts that stand still.
func (m *model) standing() int {
	n := 0
	for _, until := range m.frozen {
		if m.clock < until {
			n++
		}
	}
	return n
}

// planning is the access of a planner whose orders the sidecars pass on, but for holds:
// those it gives to the engine itself.
func (m *model) planning(process int, term int64, superseded *atomic.Bool) *Group {
	g := m.group(context.Background(), alive)
	g.Order = func(_ context.Context, rank int, o Order) Result {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.stand(process)
		if m.clock < m.frozen[rank] && rank != process {
			m.tick()
			if m.r.IntN(2) == 0 {
				m.late = append(m.late, lateOrder{at: m.frozen[rank] + m.r.IntN(m.every), rank: rank, order: o, term: term})
			}
			return NoAnswer
		}
		if o.Operation != Hold && !m.follows(rank, term) {
			superseded.Store(true)
			return Unfit
		}
		m.tick()
		if m.r.Float64() >= m.lose {
			return m.do(rank, o)
		}
		if m.r.IntN(2) == 0 {
			m.do(rank, o)
			return NoAnswer
		}
		m.late = append(m.late, lateOrder{at: m.clock + 1 + m.r.IntN(40*m.every), rank: rank, order: o})
		return NoAnswer
	}
	g.Look = func(_ context.Context, rank int) (Report, error) {
		m.mu.Lock()
		m.stand(process)
		lost := m.clock < m.frozen[rank] && rank != process
		if lost {
			m.tick()
		} else if !m.follows(rank, term) {
			superseded.Store(true)
		}
		m.mu.Unlock()
		if lost || superseded.Load() {
			return Report{}, ErrLeft
		}
		return m.look(rank), nil
	}
	return g
}

// lostRank looks at all ranks and returns the only one that does not answer; -1 if all
// do, -2 if several don't.
func (g *Group) lostRank(ctx context.Context) (reports []Report, lost int) {
	lost = -1
	reports = make([]Report, g.Ranks)
	for rank := range g.Ranks {
		r, err := g.look(ctx, rank)
		switch {
		case err == nil:
			reports[rank] = r
		case lost == -1:
			lost = rank
		default:
			lost = -2
		}
	}
	return reports, lost
}

// takeDuty returns the term of a process that takes the duty. After a copy the store's revisions
// are given out again; where it tells its era the terms rise all the same.
func (m *model) takeDuty() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.r.Float64() < m.copied {
		m.copies++
		m.term = max(m.term-int64(m.r.IntN(4)), 0)
		if m.tellsEra {
			m.era += eraTerms
		}
	}
	m.term++
	return m.era + m.term
}

// eraTerms is more than the terms of one era of the model.
const eraTerms = 1 << 20

// planAgain is a process that takes the duty again and again: it frees the group if
// that is stuck, without the rank that does not answer if there is one, and changes the
// map if not. It counts what it took back without a rank.
func planAgain(m *model, process, terms int) (without int) {
	n := process
	for at := range terms {
		term := m.takeDuty()
		var superseded atomic.Bool
		g := m.planning(process, term, &superseded)
		highest, after := int64(0), int64(0)
		for range 6 {
			n++
			reports, lost := g.lostRank(context.Background())
			if superseded.Load() || lost == -2 {
				break
			}
			highest = NextVersion(reports, highest, lifeOf(process, at))
			known := reports[(max(lost, 0)+1)%len(reports)]
			current := currentMap(m, known.Map)
			switch {
			case lost >= 0 && Stuck(reports):
				if g.RecoverWithout(context.Background(), lost, highest, current) == nil {
					without++
				}
			case lost >= 0:
				g.Pause(context.Background(), recoverPause)
			case Stuck(reports):
				highest, _ = g.Recover(context.Background(), process, highest, current)
			default:
				change := remember(m, highest, n)
				step, _ := g.Run(context.Background(), Change{Version: highest, Map: change, Own: process, Ahead: 1, After: after})
				after = max(after, step)
			}
		}
	}
	m.mu.Lock()
	m.running--
	m.mu.Unlock()
	return without
}

// planTogether runs processes until each has had its terms, and returns how many changes
// they took back without a rank.
func planTogether(m *model, terms []int) int {
	m.running = len(terms)
	without := make([]int, len(terms))
	var wg sync.WaitGroup
	for process, n := range terms {
		wg.Go(func() { without[process] = planAgain(m, process, n) })
	}
	wg.Wait()
	sum := 0
	for _, n := range without {
		sum += n
	}
	return sum
}

// The host of the process that plans stands still in the middle of a change, with its
// rank. Another process takes the duty, can't ask that rank, and frees the group so that
// callers are served; then the first one wakes and goes on where it was. Meanwhile orders
// are lost or land late, and a third process plans as well. Callers must never be served
// by ranks with different maps.
func TestHostsStandStill(t *testing.T) {
	freed := 0
	rapid.Check(t, func(t *rapid.T) {
		ranks := rapid.IntRange(3, 6).Draw(t, "ranks")
		lose := rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "lose")
		seed := rapid.Uint64().Draw(t, "seed")
		freeze := rapid.SampledFrom([]float64{0.003, 0.02}).Draw(t, "freeze")
		terms := rapid.SliceOfN(rapid.IntRange(2, 8), 3, 3).Draw(t, "terms")
		for range 4 { // each with another order of the processes' calls
			m := newModel(seed, ranks, lose)
			m.freeze = freeze
			freed += planTogether(m, terms)
			require.Empty(t, m.broken)
		}
	})
	require.Positive(t, freed, "some changes were taken back without a rank")
	t.Logf("%d changes were taken back without a rank", freed)
}

// Guards against two maps in one pass after planners got terms that were given out before, or lower ones.
func TestStoreComesBackFromACopyWhileMapsChange(t *testing.T) {
	for name, tells := range map[string]bool{"its era is told": true, "its era is not told": false} {
		t.Run(name, func(t *testing.T) {
			copies, freed := 0, 0
			rapid.Check(t, func(t *rapid.T) {
				ranks := rapid.IntRange(3, 6).Draw(t, "ranks")
				lose := rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "lose")
				seed := rapid.Uint64().Draw(t, "seed")
				terms := rapid.SliceOfN(rapid.IntRange(2, 8), 3, 3).Draw(t, "terms")
				freeze := rapid.SampledFrom([]float64{0, 0.003, 0.02}).Draw(t, "freeze")
				for range 4 {
					m := newModel(seed, ranks, lose)
					m.freeze, m.copied, m.tellsEra = freeze, 0.4, tells
					freed += planTogether(m, terms)
					copies += m.copies
					require.Empty(t, m.broken)
				}
			})
			require.Positive(t, copies)
			require.Positive(t, freed)
			t.Logf("%d copies, %d changes taken back without a rank", copies, freed)
		})
	}
}

// stopAt lets the process that plans stand still for good at one of its calls.
func stopAt(g *Group, calls int) {
	stopped := func() bool {
		calls--
		return calls < 0
	}
	var mu sync.Mutex
	order, look := g.Order, g.Look
	g.Order = func(ctx context.Context, rank int, o Order) Result {
		mu.Lock()
		dead := stopped()
		mu.Unlock()
		if dead {
			return NoAnswer
		}
		return order(ctx, rank, o)
	}
	g.Look = func(ctx context.Context, rank int) (Report, error) {
		mu.Lock()
		dead := stopped()
		mu.Unlock()
		if dead {
			return Report{}, ErrLeft
		}
		return look(ctx, rank)
	}
}

// The process that plans stands still after each of its calls in turn, and its rank with
// it. Until the second rank is armed the group is freed without it; after that nobody can
// tell whether its own rank is armed, and the group waits for it.
func TestGroupIsFreedWithoutThePlannersRank(t *testing.T) {
	freed, unclear := 0, 0
	for calls := range 60 {
		m := newModel(uint64(calls), 5, 0)
		g := m.group(t.Context(), alive)
		stopAt(g, calls)
		version := NextVersion(m.reports(), 0, lifeOf(1, 0))
		_, _ = g.Run(t.Context(), Change{Version: version, Map: modelMap(5, 1), Own: 1, Ahead: 1})
		reports := m.reports()
		if !Stuck(reports) {
			continue
		}
		m.frozen[1] = alive
		var superseded atomic.Bool
		err := m.planning(3, 1, &superseded).RecoverWithout(t.Context(), 1, NextVersion(reports, 0, lifeOf(3, 0)), modelMap(5, 0))
		if err != nil {
			require.ErrorIs(t, err, ErrUnclear)
			require.NotNil(t, reports[2].Armed, "stopped after %d calls: only once the second rank is armed", calls)
			unclear++
			continue
		}
		freed++
		step := m.step
		for range 10 * m.every {
			m.look(0)
		}
		require.Greater(t, m.step, step, "stopped after %d calls: passes go on", calls)
		require.Empty(t, m.broken)
	}
	require.Positive(t, freed)
	require.Positive(t, unclear)
	t.Logf("freed %d times, unclear %d times", freed, unclear)
}

// What is seen does not fit a process that stands still in the middle of its change:
// the group waits for the lost rank, as nobody knows what that is armed for.
func TestUnclearWithoutARank(t *testing.T) {
	version := int64(lifeOf(1, 3))
	other := int64(lifeOf(0, 3))
	fits := func() []Report {
		return []Report{{Prepared: version}, {}, {Prepared: version, Held: 9}, {Prepared: version, Armed: &Arming{version, 9}}}
	}
	change, found := abandoned(fits(), 1)
	require.True(t, found)
	require.Equal(t, Arming{version, 9}, change)
	for name, change := range map[string]func(r []Report){
		"the second rank is armed":            func(r []Report) { r[2].Armed = &Arming{version, 9} },
		"nothing is held":                     func(r []Report) { r[2].Held = 0 },
		"another rank holds too":              func(r []Report) { r[3].Held = 9 },
		"a rank has another version":          func(r []Report) { r[0].Prepared = other },
		"a rank is armed for another pass":    func(r []Report) { r[3].Armed = &Arming{version, 8} },
		"a rank is armed for another version": func(r []Report) { r[3].Armed = &Arming{other, 9} },
		"another process chose the version": func(r []Report) {
			for i := range r {
				r[i].Prepared = other
			}
			r[3].Armed = nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := fits()
			change(r)
			_, found := abandoned(r, 1)
			require.False(t, found)
		})
	}
}

// The second rank was seen not armed, and the arm order that was on its way lands just
// before the fence. The process saw that, and may have armed its own rank since: the
// group waits for it. Freed, it would have begun the pass with two maps.
func TestArmLandsBeforeTheFence(t *testing.T) {
	m := newModel(1, 4, 0)
	version := NextVersion(m.reports(), 0, lifeOf(1, 0))
	for rank := range m.ranks {
		require.Equal(t, Accepted, m.order(rank, Order{Operation: Prepare, Epoch: 1, Version: version, Map: modelMap(4, 1)}))
	}
	step := m.step + 3
	require.Equal(t, Accepted, m.order(2, Order{Operation: Hold, Epoch: 1, Step: step}))
	g := m.group(t.Context(), alive)
	order := g.Order
	g.Order = func(ctx context.Context, rank int, o Order) Result {
		if o.Operation == Prepare && rank == 2 {
			m.order(2, Order{Operation: Arm, Epoch: 1, Version: version, Step: step})
		}
		return order(ctx, rank, o)
	}
	err := g.RecoverWithout(t.Context(), 1, NextVersion(m.reports(), 0, lifeOf(3, 0)), modelMap(4, 0))
	require.ErrorIs(t, err, ErrUnclear)
	require.Equal(t, step, m.reports()[2].Held, "the pass is still held")
}

// A rank stops answering while the others copy experts. If the pass were held then, the
// rank could not be armed, and callers of the whole group would wait until it is back.
func TestNothingIsHeldWhileARankIsLost(t *testing.T) {
	m := newModel(1, 4, 0)
	g := m.group(t.Context(), alive)
	look, prepared := g.Look, false
	g.Prepared = func() { prepared = true }
	g.Look = func(ctx context.Context, rank int) (Report, error) {
		if prepared && rank == 3 {
			return Report{}, ErrLeft
		}
		return look(ctx, rank)
	}
	_, err := g.Run(t.Context(), Change{Version: NextVersion(m.reports(), 0, lifeOf(1, 0)), Map: modelMap(4, 1), Own: 1, Ahead: 1})
	require.Error(t, err)
	require.False(t, Stuck(m.reports()))
}

// A pass is held at the rank after that of the process that changes the map, whose go may
// still land there. Another process's guard at that rank would be let go by it, with some
// ranks disarmed already.
func TestGuardIsNotWhereTheChangeIsHeld(t *testing.T) {
	armed := func(giver int) *Arming { return &Arming{int64(lifeOf(giver, 3)), 9} }
	for name, c := range map[string]struct {
		reports []Report
		own     int
		want    int
	}{
		"the own rank":                  {[]Report{{Armed: armed(1)}, {}, {Held: 9}, {}}, 3, 3},
		"the change is held there":      {[]Report{{Armed: armed(1)}, {}, {Held: 9}, {}}, 2, 0},
		"it was let go there":           {[]Report{{Armed: armed(1)}, {}, {}, {}}, 2, 0},
		"the own rank holds another":    {[]Report{{Armed: armed(1)}, {}, {Held: 9}, {Held: 4}}, 3, 0},
		"all ranks hold":                {[]Report{{Armed: armed(1), Held: 9}, {Held: 4}, {Held: 9}, {Held: 4}}, 3, 0},
		"changes of two processes meet": {[]Report{{Armed: armed(1)}, {Armed: armed(3)}, {}, {}}, 2, 1},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, guardRank(c.reports, c.own, 9))
		})
	}
}

// standsStill lets the host of a rank stand still for good from one of the planner's calls on.
// It tells when the rank answered last, and when a hold got no answer last, in calls.
type standsStill struct {
	mu       sync.Mutex
	rank     int
	from     int // call
	calls    int
	answered int
	unheld   int
}

// call counts a call, and tells whether the rank has stopped.
func (s *standsStill) call() (n int, stopped bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return s.calls, s.calls >= s.from
}

func (s *standsStill) wrap(g *Group) {
	order, look := g.Order, g.Look
	g.Order = func(ctx context.Context, rank int, o Order) Result {
		n, stopped := s.call()
		if rank == s.rank && stopped {
			return NoAnswer
		}
		res := order(ctx, rank, o)
		if o.Operation == Hold && res == NoAnswer {
			s.mu.Lock()
			s.unheld = max(s.unheld, n)
			s.mu.Unlock()
		}
		return res
	}
	g.Look = func(ctx context.Context, rank int) (Report, error) {
		n, stopped := s.call()
		if rank == s.rank && stopped {
			return Report{}, ErrLeft
		}
		if rank == s.rank {
			s.mu.Lock()
			s.answered = max(s.answered, n)
			s.mu.Unlock()
		}
		return look(ctx, rank)
	}
}

// Guards against a group that is held until a host is back that stopped before any rank was told to arm.
func TestPassIsLetGoIfAHostStopsBeforeTheArming(t *testing.T) {
	spared := 0
	for seed := range uint64(40) {
		for from := range 60 {
			m := newModel(seed, 5, 0.3)
			g := m.group(t.Context(), alive)
			s := &standsStill{rank: 4, from: from}
			s.wrap(g)
			version := NextVersion(m.reports(), 0, lifeOf(1, 0))
			_, err := g.Run(t.Context(), Change{Version: version, Map: modelMap(5, 1), Own: 1, Ahead: 1})
			require.Empty(t, m.broken)
			if err == nil || s.unheld <= s.answered || from <= s.answered {
				continue // it answered after the hold: nobody can tell whether it is armed
			}
			require.False(t, Stuck(m.reports()), "seed %d, from call %d", seed, from)
			spared++
		}
	}
	require.Positive(t, spared)
	t.Logf("let go %d times", spared)
}
