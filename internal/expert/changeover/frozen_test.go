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

// follows reports whether the sidecar of a rank follows the planner of a term: it has received
// no newer term. A sidecar that is restarted has forgotten which term it followed.
func (m *model) follows(rank int, term int64) bool {
	if m.r.IntN(400) == 0 {
		m.newestTerms[rank] = 0
	}
	if term < m.newestTerms[rank] {
		return false
	}
	m.newestTerms[rank] = term
	return true
}

// maybeFreeze freezes the host of a process at random, most often in the middle of a map
// switch, and returns when the host runs again. The process then goes on where it was, at a
// later time.
func (m *model) maybeFreeze(process int) {
	chance := m.freezeChance
	if m.ranks[HolderRank(process, len(m.ranks))].held != 0 {
		chance *= 10
	}
	if m.clock >= m.frozenUntil[process] && m.r.Float64() < chance {
		m.frozenUntil[process] = m.clock + (1+m.r.IntN(60))*m.callsPerStep
	}
	for m.clock < m.frozenUntil[process] {
		if m.running <= m.frozenHosts() {
			m.tick() // no other process advances the clock
			continue
		}
		m.mu.Unlock()
		runtime.Gosched()
		m.mu.Lock()
	}
}

// frozenHosts counts the hosts that are frozen.
func (m *model) frozenHosts() int {
	n := 0
	for _, until := range m.frozenUntil {
		if m.clock < until {
			n++
		}
	}
	return n
}

// sidecarGroup returns the access of a planner whose orders go through the sidecars, except
// for hold orders: those it sends to the engine directly.
func (m *model) sidecarGroup(process int, term int64, superseded *atomic.Bool) *Group {
	g := m.group(context.Background(), unlimited)
	g.Order = func(_ context.Context, rank int, o Order) Result {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.maybeFreeze(process)
		if m.clock < m.frozenUntil[rank] && rank != process {
			m.tick()
			if m.r.IntN(2) == 0 {
				m.late = append(m.late, lateOrder{at: m.frozenUntil[rank] + m.r.IntN(m.callsPerStep), rank: rank, order: o, term: term})
			}
			return Unanswered
		}
		if o.Operation != Hold && !m.follows(rank, term) {
			superseded.Store(true)
			return WrongState
		}
		m.tick()
		if m.r.Float64() >= m.lose {
			return m.execute(rank, o)
		}
		if m.r.IntN(2) == 0 {
			m.execute(rank, o)
			return Unanswered
		}
		m.late = append(m.late, lateOrder{at: m.clock + 1 + m.r.IntN(40*m.callsPerStep), rank: rank, order: o})
		return Unanswered
	}
	g.ReadReport = func(_ context.Context, rank int) (Report, error) {
		m.mu.Lock()
		m.maybeFreeze(process)
		lost := m.clock < m.frozenUntil[rank] && rank != process
		if lost {
			m.tick()
		} else if !m.follows(rank, term) {
			superseded.Store(true)
		}
		m.mu.Unlock()
		if lost || superseded.Load() {
			return Report{}, ErrGroupChanged
		}
		return m.readReport(rank), nil
	}
	return g
}

// lostRank reads the reports of all ranks and returns the only rank that does not answer; -1 if
// all answer, -2 if several don't.
func (g *Group) lostRank(ctx context.Context) (reports []Report, lost int) {
	lost = -1
	reports = make([]Report, g.Ranks)
	for rank := range g.Ranks {
		r, err := g.readReport(ctx, rank)
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

// takeLeadership returns the term of a process that takes the leadership. After the store was
// restored from a backup it gives out the same revisions again; if it reports its era the terms
// rise all the same.
func (m *model) takeLeadership() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.r.Float64() < m.restoreChance {
		m.restores++
		m.term = max(m.term-int64(m.r.IntN(4)), 0)
		if m.reportsEra {
			m.era += termsPerEra
		}
	}
	m.term++
	return m.era + m.term
}

// termsPerEra is more than the terms of one era of the model.
const termsPerEra = 1 << 20

// runPlanner runs a process that takes the leadership again and again: it recovers the group if
// that is stuck, without the rank that does not answer if there is one, and switches the map if
// not. It counts the map switches that it rolled back without a rank.
func runPlanner(m *model, process, terms int) (without int) {
	n := process
	for at := range terms {
		term := m.takeLeadership()
		var superseded atomic.Bool
		g := m.sidecarGroup(process, term, &superseded)
		highest, after := int64(0), int64(0)
		for range 6 {
			n++
			reports, lost := g.lostRank(context.Background())
			if superseded.Load() || lost == -2 {
				break
			}
			highest = NextVersion(reports, highest, incarnationOf(process, at))
			known := reports[(max(lost, 0)+1)%len(reports)]
			current := currentMap(m, known.Map)
			switch {
			case lost >= 0 && Unfinished(reports):
				if g.RecoverWithout(context.Background(), lost, highest, current) == nil {
					without++
				}
			case lost >= 0:
				g.Pause(context.Background(), recoverPause)
			case Unfinished(reports):
				highest, _ = g.Recover(context.Background(), process, highest, current)
			default:
				change := storeMap(m, highest, n)
				step, _ := g.Run(context.Background(), MapSwitch{Version: highest, Map: change, Own: process, Ahead: 1, After: after})
				after = max(after, step)
			}
		}
	}
	m.mu.Lock()
	m.running--
	m.mu.Unlock()
	return without
}

// runPlanners runs processes at the same time until each has had its number of terms, and
// returns how many map switches they rolled back without a rank.
func runPlanners(m *model, terms []int) int {
	m.running = len(terms)
	without := make([]int, len(terms))
	var wg sync.WaitGroup
	for process, n := range terms {
		wg.Go(func() { without[process] = runPlanner(m, process, n) })
	}
	wg.Wait()
	sum := 0
	for _, n := range without {
		sum += n
	}
	return sum
}

// The host of the planning process freezes in the middle of a map switch, together with its
// rank. Another process takes the leadership, can't reach that rank, and recovers the group so
// that callers are served; then the first process wakes and goes on where it was. Meanwhile
// orders are lost or arrive late, and a third process plans as well. Callers must never be
// served by ranks with different maps.
func TestFrozenHosts(t *testing.T) {
	freed := 0
	rapid.Check(t, func(t *rapid.T) {
		ranks := rapid.IntRange(3, 6).Draw(t, "ranks")
		lose := rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "lose")
		seed := rapid.Uint64().Draw(t, "seed")
		freeze := rapid.SampledFrom([]float64{0.003, 0.02}).Draw(t, "freeze")
		terms := rapid.SliceOfN(rapid.IntRange(2, 8), 3, 3).Draw(t, "terms")
		for range 4 { // the calls of the processes interleave differently each time
			m := newModel(seed, ranks, lose)
			m.freezeChance = freeze
			freed += runPlanners(m, terms)
			require.Empty(t, m.violations)
		}
	})
	require.Positive(t, freed, "some map switches were rolled back without a rank")
	t.Logf("%d map switches were rolled back without a rank", freed)
}

// Guards against two maps in one step after planners got terms that were given out before, or lower ones.
func TestStoreIsRestoredFromABackupDuringMapSwitches(t *testing.T) {
	for name, reportsEra := range map[string]bool{"it reports its era": true, "it does not report its era": false} {
		t.Run(name, func(t *testing.T) {
			restores, freed := 0, 0
			rapid.Check(t, func(t *rapid.T) {
				ranks := rapid.IntRange(3, 6).Draw(t, "ranks")
				lose := rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "lose")
				seed := rapid.Uint64().Draw(t, "seed")
				terms := rapid.SliceOfN(rapid.IntRange(2, 8), 3, 3).Draw(t, "terms")
				freeze := rapid.SampledFrom([]float64{0, 0.003, 0.02}).Draw(t, "freeze")
				for range 4 {
					m := newModel(seed, ranks, lose)
					m.freezeChance, m.restoreChance, m.reportsEra = freeze, 0.4, reportsEra
					freed += runPlanners(m, terms)
					restores += m.restores
					require.Empty(t, m.violations)
				}
			})
			require.Positive(t, restores)
			require.Positive(t, freed)
			t.Logf("%d restores, %d map switches rolled back without a rank", restores, freed)
		})
	}
}

// freezeAfter freezes the planning process for good after a number of its calls.
func freezeAfter(g *Group, calls int) {
	stopped := func() bool {
		calls--
		return calls < 0
	}
	var mu sync.Mutex
	order, readReport := g.Order, g.ReadReport
	g.Order = func(ctx context.Context, rank int, o Order) Result {
		mu.Lock()
		dead := stopped()
		mu.Unlock()
		if dead {
			return Unanswered
		}
		return order(ctx, rank, o)
	}
	g.ReadReport = func(ctx context.Context, rank int) (Report, error) {
		mu.Lock()
		dead := stopped()
		mu.Unlock()
		if dead {
			return Report{}, ErrGroupChanged
		}
		return readReport(ctx, rank)
	}
}

// The planning process freezes after each of its calls in turn, together with its rank.
// Until the holder rank is armed the group is recovered without the frozen rank; after that
// nobody knows whether the frozen rank is armed, and the group waits for it.
func TestGroupIsRecoveredWithoutThePlannersRank(t *testing.T) {
	freed, mayBeArmed := 0, 0
	for calls := range 60 {
		m := newModel(uint64(calls), 5, 0)
		g := m.group(t.Context(), unlimited)
		freezeAfter(g, calls)
		version := NextVersion(m.reports(), 0, incarnationOf(1, 0))
		_, _ = g.Run(t.Context(), MapSwitch{Version: version, Map: modelMap(5, 1), Own: 1, Ahead: 1})
		reports := m.reports()
		if !Unfinished(reports) {
			continue
		}
		m.frozenUntil[1] = unlimited
		var superseded atomic.Bool
		err := m.sidecarGroup(3, 1, &superseded).RecoverWithout(t.Context(), 1, NextVersion(reports, 0, incarnationOf(3, 0)), modelMap(5, 0))
		if err != nil {
			require.ErrorIs(t, err, ErrMayBeArmed)
			require.NotNil(t, reports[2].Armed, "stopped after %d calls: only once the holder rank is armed", calls)
			mayBeArmed++
			continue
		}
		freed++
		step := m.step
		for range 10 * m.callsPerStep {
			m.readReport(0)
		}
		require.Greater(t, m.step, step, "stopped after %d calls: steps go on", calls)
		require.Empty(t, m.violations)
	}
	require.Positive(t, freed)
	require.Positive(t, mayBeArmed)
	t.Logf("recovered %d times, not recovered %d times", freed, mayBeArmed)
}

// The reports do not agree with a process that is frozen in the middle of its map switch: the
// group waits for the lost rank, as nobody knows what that is armed for.
func TestSwitchIsNotRolledBackIfTheLostRankMayBeArmed(t *testing.T) {
	version := int64(incarnationOf(1, 3))
	other := int64(incarnationOf(0, 3))
	fits := func() []Report {
		return []Report{{Prepared: version}, {}, {Prepared: version, Held: 9}, {Prepared: version, Armed: &Arming{version, 9}}}
	}
	change, found := abandonedSwitch(fits(), 1)
	require.True(t, found)
	require.Equal(t, Arming{version, 9}, change)
	for name, change := range map[string]func(r []Report){
		"the holder rank is armed":            func(r []Report) { r[2].Armed = &Arming{version, 9} },
		"nothing is held":                     func(r []Report) { r[2].Held = 0 },
		"another rank holds too":              func(r []Report) { r[3].Held = 9 },
		"a rank has another version":          func(r []Report) { r[0].Prepared = other },
		"a rank is armed for another step":    func(r []Report) { r[3].Armed = &Arming{version, 8} },
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
			_, found := abandonedSwitch(r, 1)
			require.False(t, found)
		})
	}
}

// The holder rank was read as not armed, and an arm order under way arrives there just before
// the fence. The planning process may have seen that, and armed its own rank since: the group
// waits for that rank. If the step were released, it would begin with two maps.
func TestArmLandsBeforeTheFence(t *testing.T) {
	m := newModel(1, 4, 0)
	version := NextVersion(m.reports(), 0, incarnationOf(1, 0))
	for rank := range m.ranks {
		require.Equal(t, Accepted, m.order(rank, Order{Operation: Prepare, Epoch: 1, Version: version, Map: modelMap(4, 1)}))
	}
	step := m.step + 3
	require.Equal(t, Accepted, m.order(2, Order{Operation: Hold, Epoch: 1, Step: step}))
	g := m.group(t.Context(), unlimited)
	order := g.Order
	g.Order = func(ctx context.Context, rank int, o Order) Result {
		if o.Operation == Prepare && rank == 2 {
			m.order(2, Order{Operation: Arm, Epoch: 1, Version: version, Step: step})
		}
		return order(ctx, rank, o)
	}
	err := g.RecoverWithout(t.Context(), 1, NextVersion(m.reports(), 0, incarnationOf(3, 0)), modelMap(4, 0))
	require.ErrorIs(t, err, ErrMayBeArmed)
	require.Equal(t, step, m.reports()[2].Held, "the step is still held")
}

// A rank stops answering while the others copy experts. If the step were held then, the
// rank could not be armed, and callers of the whole group would wait until it is back.
func TestNothingIsHeldWhileARankIsLost(t *testing.T) {
	m := newModel(1, 4, 0)
	g := m.group(t.Context(), unlimited)
	readReport, prepared := g.ReadReport, false
	g.OnPrepared = func() { prepared = true }
	g.ReadReport = func(ctx context.Context, rank int) (Report, error) {
		if prepared && rank == 3 {
			return Report{}, ErrGroupChanged
		}
		return readReport(ctx, rank)
	}
	_, err := g.Run(t.Context(), MapSwitch{Version: NextVersion(m.reports(), 0, incarnationOf(1, 0)), Map: modelMap(4, 1), Own: 1, Ahead: 1})
	require.Error(t, err)
	require.False(t, Unfinished(m.reports()))
}

// A step is held at the rank after that of the process that switches the map, whose release order
// may still arrive there. It would release another process's hold at that rank, with some
// ranks disarmed already.
func TestGuardIsNotAtTheHolderRank(t *testing.T) {
	armed := func(origin int) *Arming { return &Arming{int64(incarnationOf(origin, 3)), 9} }
	for name, c := range map[string]struct {
		reports []Report
		own     int
		want    int
	}{
		"the own rank":                 {[]Report{{Armed: armed(1)}, {}, {Held: 9}, {}}, 3, 3},
		"the switch is held there":     {[]Report{{Armed: armed(1)}, {}, {Held: 9}, {}}, 2, 0},
		"it was released there":        {[]Report{{Armed: armed(1)}, {}, {}, {}}, 2, 0},
		"the own rank holds another":   {[]Report{{Armed: armed(1)}, {}, {Held: 9}, {Held: 4}}, 3, 0},
		"all ranks hold":               {[]Report{{Armed: armed(1), Held: 9}, {Held: 4}, {Held: 9}, {Held: 4}}, 3, 0},
		"two processes switch the map": {[]Report{{Armed: armed(1)}, {Armed: armed(3)}, {}, {}}, 2, 1},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, guardRank(c.reports, c.own, 9))
		})
	}
}

// frozenRank freezes the host of a rank for good from one of the planner's calls on.
type frozenRank struct {
	mu           sync.Mutex
	rank         int
	from         int // the first call that the rank does not answer
	calls        int // so far
	lastAnswer   int // number of the last call that the rank answered
	lastLostHold int // number of the last call that was a hold order without an answer
}

// call counts a call, and reports whether the rank has stopped.
func (s *frozenRank) call() (n int, stopped bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return s.calls, s.calls >= s.from
}

func (s *frozenRank) wrap(g *Group) {
	order, readReport := g.Order, g.ReadReport
	g.Order = func(ctx context.Context, rank int, o Order) Result {
		n, stopped := s.call()
		if rank == s.rank && stopped {
			return Unanswered
		}
		res := order(ctx, rank, o)
		if o.Operation == Hold && res == Unanswered {
			s.mu.Lock()
			s.lastLostHold = max(s.lastLostHold, n)
			s.mu.Unlock()
		}
		return res
	}
	g.ReadReport = func(ctx context.Context, rank int) (Report, error) {
		n, stopped := s.call()
		if rank == s.rank && stopped {
			return Report{}, ErrGroupChanged
		}
		if rank == s.rank {
			s.mu.Lock()
			s.lastAnswer = max(s.lastAnswer, n)
			s.mu.Unlock()
		}
		return readReport(ctx, rank)
	}
}

// Guards against a group that stays held for a frozen host although the host froze before any rank was sent an arm order.
func TestStepIsReleasedIfAHostStopsBeforeTheArming(t *testing.T) {
	released := 0
	for seed := range uint64(40) {
		for from := range 60 {
			m := newModel(seed, 5, 0.3)
			g := m.group(t.Context(), unlimited)
			s := &frozenRank{rank: 4, from: from}
			s.wrap(g)
			version := NextVersion(m.reports(), 0, incarnationOf(1, 0))
			_, err := g.Run(t.Context(), MapSwitch{Version: version, Map: modelMap(5, 1), Own: 1, Ahead: 1})
			require.Empty(t, m.violations)
			if err == nil || s.lastLostHold <= s.lastAnswer || from <= s.lastAnswer {
				continue // it answered after the hold: nobody knows whether it is armed
			}
			require.False(t, Unfinished(m.reports()), "seed %d, from call %d", seed, from)
			released++
		}
	}
	require.Positive(t, released)
	t.Logf("released %d times", released)
}
