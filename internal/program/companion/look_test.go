package companion

import (
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"
	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/expert/changeover"
	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/expert/places"
	"wagtailshelf.example/wagtailshelf/internal/expert/seating"
	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/program/deployed"
	"wagtailshelf.example/wagtailshelf/internal/traffic/routing"
	"wagtailshelf.example/wagtailshelf/internal/wire/digest"
	"wagtailshelf.example/wagtailshelf/internal/wire/rankport"
)

var start = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)

// newPlanner returns a planner at rank 0 that is not running.
func newPlanner() *planner {
	s := deployed.Settings{}
	s.Target.Service = "svc"
	c := New(s, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, metrics.NewSet())
	socket, err := digest.Open(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		panic(err) // a free port is always available
	}
	c.socket = socket
	return &planner{
		c: c, group: "g", engineConfig: &routing.Engine{LayerSets: 1, Experts: 4, MaxRequests: 8},
		polled: make(chan struct{}, 1), switched: make(chan struct{}, 1),
	}
}

// startSidecars starts sidecars that answer polls, except the silent ones, and whose engines never
// answer.
func startSidecars(t *testing.T, n int, silent ...int) []*modelServer {
	t.Helper()
	done := make(chan struct{})
	list := make([]*modelServer, n)
	for i := range list {
		mux := http.NewServeMux()
		mux.HandleFunc("GET /report", func(http.ResponseWriter, *http.Request) { <-done }) // the engine never answers
		rankport.Handler{
			Poll: func(_ context.Context, l rankport.Poll) rankport.State {
				for _, s := range silent {
					if s == i {
						<-done
					}
				}
				return rankport.State{Term: l.Asker.Term, Report: changeover.Report{
					Group: "g", Rank: i, Ranks: n, Open: true, Epoch: 1, Step: 9,
				}}
			},
			Order: func(context.Context, rankport.Order) rankport.OrderResult { return rankport.OrderResult{} },
		}.Register(mux)
		server := httptest.NewServer(mux)
		t.Cleanup(server.Close)
		at := netip.MustParseAddrPort(server.Listener.Addr().String())
		list[i] = &modelServer{target: string(rune('a' + i)), sidecarAddr: at, engineAddr: at}
	}
	t.Cleanup(func() { close(done) })
	return list
}

// The host of one rank is frozen. The planner continues without it, finds that the group
// serves, and marks the rank as lost; it does not wait for the host at each poll, or the
// entries' view of all other ranks would be outdated.
func TestGroupGoesOnWithoutAHost(t *testing.T) {
	p := newPlanner()
	ranks := startSidecars(t, 8, 5)
	require.NoError(t, p.pollAll(t.Context(), ranks))
	v := p.lastView()
	require.Equal(t, []int{5}, v.lost)
	require.True(t, v.serving)
	require.False(t, v.complete())
	require.True(t, ranks[5].polling.Load(), "its poll is still under way")
	require.Eventually(t, ranks[5].lost.Load, 20*time.Second, time.Millisecond, "no answer in time")
	require.NoError(t, p.pollAll(t.Context(), ranks))
	require.Equal(t, []int{5}, p.lastView().lost)
}

// Guards against a step that is held for a frozen host because a poll under way counted as an answer.
func TestRankWithAPollUnderWayIsNotTakenAsReachable(t *testing.T) {
	p := newPlanner()
	ranks := startSidecars(t, 8, 5)
	v := view{ranks: ranks, serving: true}
	p.view = v
	ranks[5].polling.Store(true)
	require.ErrorIs(t, p.checkReachable(t.Context(), v), seating.ErrIncomplete)
}

// Guards against a large group that is held for a host which froze after the last poll.
func TestLargeGroupIsPolledBeforeItsStepIsHeld(t *testing.T) {
	p := newPlanner()
	v := view{ranks: startSidecars(t, 40, 5), serving: true}
	p.view = v
	require.ErrorIs(t, p.checkReachable(t.Context(), v), seating.ErrIncomplete)
}

// Guards against a planner that uses up its share of a core by polling each rank before each map switch.
func TestSidecarsThatAnswerAPingAreNotPolled(t *testing.T) {
	p := newPlanner()
	go func() { _ = p.c.socket.Serve(t.Context(), nil, nil) }()
	ranks := make([]*modelServer, 3)
	for rank := range ranks {
		s, err := digest.Open(netip.MustParseAddrPort("127.0.0.1:0"))
		require.NoError(t, err)
		go func() { _ = s.Serve(t.Context(), nil, nil) }()
		ranks[rank] = &modelServer{target: string(rune('a' + rank)), sidecarAddr: s.Addr()}
	}
	v := view{ranks: ranks, serving: true}
	p.view = v
	require.NoError(t, p.checkReachable(t.Context(), v))
	for _, s := range ranks {
		require.Nil(t, s.lastAnswer.Load(), "its report was not read")
	}
}

// Guards against map switches that are aborted because a rank answers an earlier poll first.
func TestRankThatAnswersAnotherLookIsReachable(t *testing.T) {
	p := newPlanner()
	ranks := startSidecars(t, 2)
	v := view{ranks: ranks, serving: true}
	p.view = v
	ranks[1].polling.Store(true)
	sidecar, err := net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer sidecar.Close()
	ranks[1].sidecarAddr = netip.MustParseAddrPort(sidecar.LocalAddr().String())
	go func() {
		if _, _, err := sidecar.ReadFrom(make([]byte, 64)); err == nil { // the ping that the check begins with
			p.recordAnswer(ranks[1], nil)
		}
	}()
	require.NoError(t, p.checkReachable(t.Context(), v))
}

func TestTooManyLostRanks(t *testing.T) {
	p := newPlanner()
	require.ErrorIs(t, p.pollAll(t.Context(), startSidecars(t, 8, 1, 2, 3)), seating.ErrIncomplete)
}

// The server of a rank is gone: its host refuses the connection. The group breaks within
// a second or two, and requests sent to it meanwhile would be refused.
func TestDeadRankFailsThePoll(t *testing.T) {
	p := newPlanner()
	ranks := startSidecars(t, 8)
	closed := httptest.NewServer(http.NotFoundHandler())
	at := netip.MustParseAddrPort(closed.Listener.Addr().String())
	closed.Close()
	ranks[2] = &modelServer{target: "x", sidecarAddr: at, engineAddr: at}
	require.Error(t, p.pollAll(t.Context(), ranks))
}

func TestIsSilent(t *testing.T) {
	require.True(t, isSilent(errNoAnswer))
	require.True(t, isSilent(merry.Wrap(context.DeadlineExceeded)))
	require.False(t, isSilent(merry.New("connection refused")))
}

// A planner fails. Each sidecar of its group has its own turn to replace it, and the first turns
// do not all go to neighbouring hosts, because neighbouring hosts fail together.
func TestTurnsAfterAPlanner(t *testing.T) {
	for _, ranks := range []int{2, 3, 16, 72, 256} {
		for _, planner := range []int{0, 1, ranks - 1} {
			order := make([]int, ranks)
			for rank := range ranks {
				order[turnOf(rank, planner, ranks)] = rank
			}
			seen := make(map[int]bool)
			for _, rank := range order {
				seen[rank] = true
			}
			require.Len(t, seen, ranks, "each has a turn")
			require.Equal(t, planner, order[ranks-1], "the planner itself comes last")
		}
	}
	require.Equal(t, 0, turnOf(9, 0, 16))
	require.Equal(t, 1, turnOf(2, 0, 16))
}

// A planner fails. Its successor sends planner updates to the entries at once, because it received
// the list of entries before; otherwise each entry would know only its own requests for a second
// or two.
func TestSuccessorKnowsTheEntries(t *testing.T) {
	p := newPlanner()
	now := time.Now()
	entry := netip.MustParseAddrPort("10.0.0.1:7401")
	p.c.receiveHeartbeat(entry, digest.Heartbeat{Demand: 3, Fresh: true})
	s := &modelServer{}
	sent := p.entriesDue(now, s)
	require.Equal(t, []rankport.Entry{{Address: entry, Demand: 3, Fresh: true}}, sent)
	require.Empty(t, p.entriesDue(now.Add(entriesInterval/2), s), "it was sent recently")
	successor := newPlanner().c
	successor.addEntries(now, sent)
	require.Len(t, successor.liveEntries(now), 1)
}

// Demand has shifted, and one map switch is not enough: a rank copies one expert at a time. The
// next switch is planned as soon as the last one has ended and a poll shows its effect, and not
// at fixed intervals, because callers would wait for slow steps in between.
func TestChangesFollowEachOther(t *testing.T) {
	p := newPlanner()
	p.view.ranks = make([]*modelServer, 1<<20) // the next poll is due in minutes
	signal(p.switched)
	signal(p.switched) // a second signal does not block
	require.True(t, p.awaitPoll(t.Context()))
	require.NoError(t, p.pollAll(t.Context(), startSidecars(t, 2)))
	require.True(t, p.awaitView(t.Context()))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.False(t, p.awaitView(ctx), "there is no newer view")
}

// When a group has just formed, neither its map nor the demand is known, and the load is not
// assumed to be even.
func TestSkewOfANewGroup(t *testing.T) {
	m, err := expertmap.Even(expertmap.Shape{Layers: 1, Experts: 4, Ranks: 2, Slots: 3})
	require.NoError(t, err)
	v := view{ranks: make([]*modelServer, 2), reports: make([]changeover.Report, 2), demand: make([]float64, 4)}
	require.InDelta(t, assumedSkew, skewOf(nil, v), 0)
	require.InDelta(t, assumedSkew, skewOf(m, v), 0, "there are no counts yet")
	v.demand = []float64{1, 1, 1, 1}
	require.InDelta(t, 1, skewOf(m, v), 0)
	v.demand = []float64{1, 1, 1}
	require.InDelta(t, assumedSkew, skewOf(m, v), 0, "the configuration now names fewer experts")
	v.demand = nil
	require.InDelta(t, assumedSkew, skewOf(m, v), 0)
	p := newPlanner()
	p.setActiveMap(m, 3)
	require.ErrorIs(t, p.rebalance(t.Context(), v), seating.ErrIncomplete)
	require.Nil(t, p.activeMap, "so that it is read again")
}

// One rank is slow, and the group's steps take longer than the pauses that are on time. The
// planner update reports both, with no request slots at the slow rank and some at the other one.
// While the group is closed, the update lists its targets.
func TestUpdateNamesSlowRanks(t *testing.T) {
	p := newPlanner()
	p.gapGoal = 100 * time.Millisecond
	p.limit = places.Limit{Value: 4, StepTime: 2 * p.gapGoal}
	updates := make(chan digest.Update, 1)
	listener, err := digest.Open(netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(t, err)
	go func() {
		_ = listener.Serve(t.Context(), func(netip.AddrPort, digest.Heartbeat) {}, func(_ netip.AddrPort, d digest.Update) { updates <- d })
	}()
	p.c.socket, err = digest.Open(netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(t, err)
	p.c.receiveHeartbeat(listener.Addr(), digest.Heartbeat{Demand: 1})
	next := func() digest.Update {
		p.sendUpdate()
		select {
		case d := <-updates:
			return d
		case <-time.After(20 * time.Second):
			require.Fail(t, "no planner update was received")
			return digest.Update{}
		}
	}
	ranks := []*modelServer{{target: "a"}, {target: "b"}}
	p.view = view{
		ranks: ranks, serving: true, engineConfig: &routing.Engine{MaxRequests: 8}, skew: 1,
		reports: []changeover.Report{{Slowdown: 12, Running: 1}, {Slowdown: 1}},
	}
	d := next()
	require.Equal(t, roster.GroupName("g"), d.Group)
	require.True(t, d.Slow)
	require.Equal(t, []digest.Rank{{Target: "a", Load: 1, Slow: true}, {Target: "b", Grant: 4}}, d.Ranks)
	p.view = view{}
	p.servers = []*modelServer{{target: "a", answered: true, lastReport: changeover.Report{Group: "g"}}, {target: "x", answered: true}}
	d = next()
	require.False(t, d.Open)
	require.Equal(t, []digest.Rank{{Target: "a"}}, d.Ranks)
	p.servers[0].lost.Store(true)
	d = next()
	require.Equal(t, []digest.Rank{{Target: "a", Lost: true}}, d.Ranks)
}

// One entry receives a rate from a target, and another entry receives it from the planner, with its
// own index among the entries: both can divide the rate without contacting each other. Rates are
// sent once a second, not after each poll.
func TestUpdateCarriesRatesOfTargets(t *testing.T) {
	p := newPlanner()
	var err error
	p.c.socket, err = digest.Open(netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(t, err)
	updates := make(chan digest.Update, 8)
	var addresses []netip.AddrPort
	for range 2 {
		l, err := digest.Open(netip.MustParseAddrPort("127.0.0.1:0"))
		require.NoError(t, err)
		addresses = append(addresses, l.Addr())
		go func() {
			_ = l.Serve(t.Context(), func(netip.AddrPort, digest.Heartbeat) {}, func(_ netip.AddrPort, d digest.Update) { updates <- d })
		}()
	}
	rate := digest.Rate{Target: "x", Named: true, Rate: 1.5, Age: time.Second}
	p.c.receiveHeartbeat(addresses[0], digest.Heartbeat{ConfigVersion: 12, Rates: []digest.Rate{rate}})
	p.c.receiveHeartbeat(addresses[1], digest.Heartbeat{Rates: []digest.Rate{{Target: "y", Named: true, Rate: math.NaN()}}, ConfigVersion: 10})
	for _, want := range []int{1, 0} { // the second update comes too soon to send the rates again
		p.sendUpdate()
		var indexes []int
		for range addresses {
			d := <-updates
			require.Equal(t, 2, d.Entries)
			require.Equal(t, int64(12), d.ConfigVersion, "the newest version among the entries")
			indexes = append(indexes, d.Index)
			require.Len(t, d.Rates, want)
			if want == 1 {
				require.Equal(t, "x", d.Rates[0].Target)
				require.InDelta(t, 1.5, d.Rates[0].Rate, 0)
				require.GreaterOrEqual(t, d.Rates[0].Age, time.Second)
			}
		}
		require.ElementsMatch(t, []int{1, 2}, indexes)
	}
}

// Guards against callers that wait for a lost host because updates omit it after the list of targets
// was read again.
func TestLostRankIsSentAfterTheListWasReadAgain(t *testing.T) {
	p := newPlanner()
	targets := []roster.Target{
		{ID: "a", Service: "svc", Address: netip.MustParseAddrPort("10.0.0.1:80")},
		{ID: "b", Service: "svc", Address: netip.MustParseAddrPort("10.0.0.2:80")},
	}
	p.updateServers(targets)
	for _, s := range p.servers {
		s.answered, s.lastReport = true, changeover.Report{Group: "g"}
	}
	ranks := p.servers
	p.updateServers(targets)
	p.recordAnswer(ranks[1], errNoAnswer)
	require.Equal(t, []digest.Rank{{Target: "a"}, {Target: "b", Lost: true}}, p.members(view{}))
}

// Guards against orders for a server that go to the address of its earlier incarnation.
func TestServerAtAnotherAddressIsReachedThere(t *testing.T) {
	p := newPlanner()
	p.updateServers([]roster.Target{{ID: "a", Service: "svc", Address: netip.MustParseAddrPort("10.0.0.1:80")}})
	p.servers[0].answered, p.servers[0].lastReport = true, changeover.Report{Group: "g"}
	moved := netip.MustParseAddrPort("10.0.0.2:80")
	p.updateServers([]roster.Target{{ID: "a", Service: "svc", Address: moved}})
	require.Len(t, p.servers, 1)
	require.Equal(t, moved, p.servers[0].engineAddr)
	require.Equal(t, roster.GroupName("g"), p.servers[0].lastReport.Group)
}

// Guards against callers that wait for a lost host because the next planner's updates name it only
// once the group continues.
func TestLostRankThatNeverAnsweredIsSentWhileItsGroupIsClosed(t *testing.T) {
	p := newPlanner()
	lost := &modelServer{target: "b"}
	lost.lost.Store(true)
	p.servers = []*modelServer{{target: "a", answered: true, lastReport: changeover.Report{Group: "g"}}, lost, {target: "x"}}
	require.Equal(t, []digest.Rank{{Target: "a"}, {Target: "b", Lost: true}}, p.members(view{ranks: p.servers[:2]}))
}
