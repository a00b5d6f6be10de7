package companion

import (
	"context"
	"io"
	"math"
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

// newPlanner returns a planner beside rank 0 that does not run.
func newPlanner() *planner {
	s := deployed.Settings{}
	s.Target.Service = "svc"
	c := New(s, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, metrics.NewSet())
	socket, err := digest.Open(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		panic(err) // there are free ports
	}
	c.socket = socket
	return &planner{
		c: c, group: "g", engine: &routing.Engine{Layers: 1, Experts: 4, Slots: 8},
		looked: make(chan struct{}, 1), ended: make(chan struct{}, 1),
	}
}

// sidecars starts servers that answer looks; those that are silent never do.
func sidecars(t *testing.T, n int, silent ...int) []*seat {
	t.Helper()
	done := make(chan struct{})
	list := make([]*seat, n)
	for i := range list {
		mux := http.NewServeMux()
		mux.HandleFunc("GET /report", func(http.ResponseWriter, *http.Request) { <-done }) // the engine's own
		rankport.Handler{
			Look: func(_ context.Context, l rankport.Look) rankport.Seen {
				for _, s := range silent {
					if s == i {
						<-done
					}
				}
				return rankport.Seen{Term: l.Asker.Term, Report: changeover.Report{
					Group: "g", Rank: i, Ranks: n, Open: true, Epoch: 1, Step: 9,
				}}
			},
			Order: func(context.Context, rankport.Order) rankport.Done { return rankport.Done{} },
		}.Register(mux)
		server := httptest.NewServer(mux)
		t.Cleanup(server.Close)
		at := netip.MustParseAddrPort(server.Listener.Addr().String())
		list[i] = &seat{target: string(rune('a' + i)), sidecar: at, engine: at}
	}
	t.Cleanup(func() { close(done) })
	return list
}

// The host of one rank stands still. The planner goes on without it, finds that the group
// serves, and tells the entries to send nothing there; it does not wait for the host each
// time, or what entries know of all other ranks would be too old.
func TestGroupGoesOnWithoutAHost(t *testing.T) {
	p := newPlanner()
	ranks := sidecars(t, 8, 5)
	require.NoError(t, p.lookAll(t.Context(), ranks))
	v := p.seen()
	require.Equal(t, []int{5}, v.lost)
	require.True(t, v.serving)
	require.False(t, v.whole())
	require.True(t, ranks[5].asking.Load(), "its look is still under way")
	require.Eventually(t, ranks[5].lost.Load, 20*time.Second, time.Millisecond, "no answer in time")
	require.NoError(t, p.lookAll(t.Context(), ranks))
	require.Equal(t, []int{5}, p.seen().lost)
}

// Guards against a pass that is held for a host that stands still, whose look under way counted as an answer.
func TestRankThatIsBeingAskedIsNotPassedOver(t *testing.T) {
	p := newPlanner()
	ranks := sidecars(t, 8, 5)
	v := view{ranks: ranks, serving: true}
	p.view = v
	ranks[5].asking.Store(true)
	require.ErrorIs(t, p.reachable(t.Context(), v), seating.ErrIncomplete)
}

// Guards against a large group that is held for a host which stopped after the last look at it.
func TestLargeGroupIsAskedBeforeItsPassIsHeld(t *testing.T) {
	p := newPlanner()
	v := view{ranks: sidecars(t, 40, 5), serving: true}
	p.view = v
	require.ErrorIs(t, p.reachable(t.Context(), v), seating.ErrIncomplete)
}

// Guards against a planner that uses its share of a core up with a look at each rank before each change.
func TestSidecarsThatRunAreNotLookedAt(t *testing.T) {
	p := newPlanner()
	go func() { _ = p.c.socket.Serve(t.Context(), nil, nil) }()
	ranks := make([]*seat, 3)
	for rank := range ranks {
		s, err := digest.Open(netip.MustParseAddrPort("127.0.0.1:0"))
		require.NoError(t, err)
		go func() { _ = s.Serve(t.Context(), nil, nil) }()
		ranks[rank] = &seat{target: string(rune('a' + rank)), sidecar: s.Addr()}
	}
	v := view{ranks: ranks, serving: true}
	p.view = v
	require.NoError(t, p.reachable(t.Context(), v))
	for _, s := range ranks {
		require.Nil(t, s.heard.Load(), "its report was not read")
	}
}

// Guards against changes that are given up as a rank's answer to another look comes first.
func TestRankThatAnswersAnotherLookIsReachable(t *testing.T) {
	p := newPlanner()
	ranks := sidecars(t, 2)
	v := view{ranks: ranks, serving: true}
	p.view = v
	ranks[1].asking.Store(true)
	go func() {
		time.Sleep(time.Millisecond)
		p.note(ranks[1], nil)
	}()
	require.NoError(t, p.reachable(t.Context(), v))
}

func TestTooManyLostRanks(t *testing.T) {
	p := newPlanner()
	require.ErrorIs(t, p.lookAll(t.Context(), sidecars(t, 8, 1, 2, 3)), seating.ErrIncomplete)
}

// The server of a rank is gone: its host refuses the connection. The group breaks within
// a second or two, and callers sent there meanwhile would be refused.
func TestDeadRankIsNotPassedOver(t *testing.T) {
	p := newPlanner()
	ranks := sidecars(t, 8)
	closed := httptest.NewServer(http.NotFoundHandler())
	at := netip.MustParseAddrPort(closed.Listener.Addr().String())
	closed.Close()
	ranks[2] = &seat{target: "x", sidecar: at, engine: at}
	require.Error(t, p.lookAll(t.Context(), ranks))
}

func TestIsSilent(t *testing.T) {
	require.True(t, isSilent(errNoAnswer))
	require.True(t, isSilent(merry.Wrap(context.DeadlineExceeded)))
	require.False(t, isSilent(merry.New("connection refused")))
}

// A planner dies. Each sidecar of its group has its own turn to take its place, and those
// that come first are not all beside it, as hosts beside each other fail together.
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

// A planner dies. The one that follows tells the entries of the ranks at once, since it
// was told of them; otherwise they would go by their own requests for a second or two.
func TestSuccessorKnowsTheEntries(t *testing.T) {
	p := newPlanner()
	now := time.Now()
	entry := netip.MustParseAddrPort("10.0.0.1:7401")
	p.c.heardEntry(entry, digest.Hello{Demand: 3, Fresh: true})
	s := &seat{}
	told := p.entriesToTell(now, s)
	require.Equal(t, []rankport.Entry{{Address: entry, Demand: 3, Fresh: true}}, told)
	require.Empty(t, p.entriesToTell(now.Add(tellEntries/2), s), "not each time")
	successor := newPlanner().c
	successor.learnEntries(now, told)
	require.Len(t, successor.entriesHeard(now), 1)
}

// Demand has moved, and one change is not enough: a rank copies one expert at a time. The
// next change is planned as soon as the last has ended and its effect is seen, and not
// when a clock strikes, or callers wait for slow passes in between.
func TestChangesFollowEachOther(t *testing.T) {
	p := newPlanner()
	p.view.ranks = make([]*seat, 1<<20) // the next look is due in minutes
	signal(p.ended)
	signal(p.ended) // nobody waits for it twice
	require.True(t, p.awaitLook(t.Context()))
	require.NoError(t, p.lookAll(t.Context(), sidecars(t, 2)))
	require.True(t, p.awaitView(t.Context()))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.False(t, p.awaitView(ctx), "nothing new was seen")
}

// As a group has formed, neither its map nor the demand is known. It is not even.
func TestSkewOfANewGroup(t *testing.T) {
	m, err := expertmap.Even(expertmap.Shape{Layers: 1, Experts: 4, Ranks: 2, Slots: 3})
	require.NoError(t, err)
	v := view{ranks: make([]*seat, 2), reports: make([]changeover.Report, 2), demand: make([]float64, 4)}
	require.InDelta(t, assumedSkew, skewOf(nil, v), 0)
	require.InDelta(t, assumedSkew, skewOf(m, v), 0, "nothing was counted yet")
	v.demand = []float64{1, 1, 1, 1}
	require.InDelta(t, 1, skewOf(m, v), 0)
	v.demand = []float64{1, 1, 1}
	require.InDelta(t, assumedSkew, skewOf(m, v), 0, "the rules tell of fewer experts now")
	v.demand = nil
	require.InDelta(t, assumedSkew, skewOf(m, v), 0)
	p := newPlanner()
	p.know(m, 3)
	require.ErrorIs(t, p.move(t.Context(), v), seating.ErrIncomplete)
	require.Nil(t, p.current, "it is read again")
}

// One rank is slow, and the group's passes are longer than pauses on time. Entries are
// told both, with no place at the slow rank and those of the other; while the group is
// closed they are told which targets it has.
func TestTellsOfSlowRanks(t *testing.T) {
	p := newPlanner()
	p.gapAim = 100 * time.Millisecond
	p.limit = places.Limit{Value: 4, Pass: 2 * p.gapAim}
	told := make(chan digest.Digest, 1)
	listener, err := digest.Open(netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(t, err)
	go func() {
		_ = listener.Serve(t.Context(), func(netip.AddrPort, digest.Hello) {}, func(_ netip.AddrPort, d digest.Digest) { told <- d })
	}()
	p.c.socket, err = digest.Open(netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(t, err)
	p.c.heardEntry(listener.Addr(), digest.Hello{Demand: 1})
	next := func() digest.Digest {
		p.tell()
		select {
		case d := <-told:
			return d
		case <-time.After(20 * time.Second):
			require.Fail(t, "nothing was told")
			return digest.Digest{}
		}
	}
	ranks := []*seat{{target: "a"}, {target: "b"}}
	p.view = view{
		ranks: ranks, serving: true, engine: &routing.Engine{Slots: 8}, skew: 1,
		reports: []changeover.Report{{Pace: 12, Running: 1}, {Pace: 1}},
	}
	d := next()
	require.Equal(t, roster.GroupName("g"), d.Group)
	require.True(t, d.Slow)
	require.Equal(t, []digest.Rank{{Target: "a", Load: 1, Slow: true}, {Target: "b", Grant: 4}}, d.Ranks)
	p.view = view{}
	p.seats = []*seat{{target: "a", spoke: true, last: changeover.Report{Group: "g"}}, {target: "x", spoke: true}}
	d = next()
	require.False(t, d.Open)
	require.Equal(t, []digest.Rank{{Target: "a"}}, d.Ranks)
	p.seats[0].lost.Store(true)
	d = next()
	require.Equal(t, []digest.Rank{{Target: "a", Lost: true}}, d.Ranks)
}

// One entry hears a target name a rate, another hears of it from the planner, with its place
// among the entries: both divide the rate without a word to each other. Words of a rate go out
// once a second, not with each look.
func TestTellsOfRates(t *testing.T) {
	p := newPlanner()
	var err error
	p.c.socket, err = digest.Open(netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(t, err)
	told := make(chan digest.Digest, 8)
	var addresses []netip.AddrPort
	for range 2 {
		l, err := digest.Open(netip.MustParseAddrPort("127.0.0.1:0"))
		require.NoError(t, err)
		addresses = append(addresses, l.Addr())
		go func() {
			_ = l.Serve(t.Context(), func(netip.AddrPort, digest.Hello) {}, func(_ netip.AddrPort, d digest.Digest) { told <- d })
		}()
	}
	rate := digest.Rate{Target: "x", Named: true, Rate: 1.5, Age: time.Second}
	p.c.heardEntry(addresses[0], digest.Hello{Rules: 12, Rates: []digest.Rate{rate}})
	p.c.heardEntry(addresses[1], digest.Hello{Rates: []digest.Rate{{Target: "y", Named: true, Rate: math.NaN()}}, Rules: 10})
	for _, want := range []int{1, 0} { // the second look comes too soon to tell them again
		p.tell()
		var places []int
		for range addresses {
			d := <-told
			require.Equal(t, 2, d.Entries)
			require.Equal(t, int64(12), d.Rules, "the newest that one of them has")
			places = append(places, d.Place)
			require.Len(t, d.Rates, want)
			if want == 1 {
				require.Equal(t, "x", d.Rates[0].Target)
				require.InDelta(t, 1.5, d.Rates[0].Rate, 0)
				require.GreaterOrEqual(t, d.Rates[0].Age, time.Second)
			}
		}
		require.ElementsMatch(t, []int{1, 2}, places)
	}
}

// Guards against callers that wait at a lost host, of which entries are not told once the list was read again.
func TestLostRankIsToldAfterTheListWasReadAgain(t *testing.T) {
	p := newPlanner()
	targets := []roster.Target{
		{ID: "a", Service: "svc", Address: netip.MustParseAddrPort("10.0.0.1:80")},
		{ID: "b", Service: "svc", Address: netip.MustParseAddrPort("10.0.0.2:80")},
	}
	p.takeList(targets)
	for _, s := range p.seats {
		s.spoke, s.last = true, changeover.Report{Group: "g"}
	}
	ranks := p.seats
	p.takeList(targets)
	p.note(ranks[1], errNoAnswer)
	require.Equal(t, []digest.Rank{{Target: "a"}, {Target: "b", Lost: true}}, p.members(view{}))
}

// Guards against orders for a server that go to the address of its earlier life.
func TestServerAtAnotherAddressIsReachedThere(t *testing.T) {
	p := newPlanner()
	p.takeList([]roster.Target{{ID: "a", Service: "svc", Address: netip.MustParseAddrPort("10.0.0.1:80")}})
	p.seats[0].spoke, p.seats[0].last = true, changeover.Report{Group: "g"}
	moved := netip.MustParseAddrPort("10.0.0.2:80")
	p.takeList([]roster.Target{{ID: "a", Service: "svc", Address: moved}})
	require.Len(t, p.seats, 1)
	require.Equal(t, moved, p.seats[0].engine)
	require.Equal(t, roster.GroupName("g"), p.seats[0].last.Group)
}

// Guards against callers that wait at a lost host, of which the next planner tells only once the group goes on.
func TestLostRankThatNeverAnsweredIsToldWhileItsGroupIsHeld(t *testing.T) {
	p := newPlanner()
	lost := &seat{target: "b"}
	lost.lost.Store(true)
	p.seats = []*seat{{target: "a", spoke: true, last: changeover.Report{Group: "g"}}, lost, {target: "x"}}
	require.Equal(t, []digest.Rank{{Target: "a"}, {Target: "b", Lost: true}}, p.members(view{ranks: p.seats[:2]}))
}
