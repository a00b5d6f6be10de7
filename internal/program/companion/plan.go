package companion

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/changeover"
	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/expert/places"
	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/program/task"
	"wagtailshelf.example/wagtailshelf/internal/traffic/routing"
	"wagtailshelf.example/wagtailshelf/internal/wire/rankport"
)

const (
	// pollInterval is the time between polls of all ranks of a group, and pollTimePerRank
	// is added for each rank: a poll takes some 0.6 ms for each rank on the planner's share
	// of a core, a fifth of the time that the planner has.
	pollInterval    = 60 * time.Millisecond
	pollTimePerRank = 1200 * time.Microsecond
	// countsPerPoll is how many ranks send their counts in one poll, in turn: some 2 KB
	// each in a large group, and a planner's link carries 1 MB a second.
	countsPerPoll = 72
	// demandHalfLife is the time in which older counts lose half of their weight.
	demandHalfLife = 120 * time.Millisecond
	// minGain is the fraction of the experts' time that a new map must save, so that noise
	// in the counts does not move experts.
	minGain = 0.1
	// maxCopyTime is how long the copying for one map switch may take. Demand shifts every
	// few seconds, and several small switches follow it sooner than a large one.
	maxCopyTime = 150 * time.Millisecond
	// refreshAfterFailedPolls is the number of failed polls in a row after which the list of
	// targets is read again.
	refreshAfterFailedPolls = 5
	// maxFailingTime is how long polls may fail before the planner gives up the leadership:
	// another process may reach the missing ranks. A server that crashed is usually back
	// sooner, and until then the planner must report to entries that the group is closed.
	maxFailingTime = 12 * time.Second
)

// modelServer is a server of the service: its addresses and what it last answered.
type modelServer struct {
	target        string
	sidecarAddr   netip.AddrPort
	engineAddr    netip.AddrPort
	answered      bool              // it has answered once
	lastReport    changeover.Report // its last answer
	countsMark    uint64
	entriesSentAt time.Time                 // when its sidecar last received the list of entries
	lost          atomic.Bool               // its host does not answer
	lastAnswer    atomic.Pointer[time.Time] // when it last answered; nil until then
	polling       atomic.Bool               // a poll of it is under way
}

// planner is one term of the leadership. It has two goroutines: one polls the ranks and
// sends planner updates to the entries, the other switches the map. A map switch takes up to
// a second, and the view must not become outdated meanwhile.
type planner struct {
	c            *Companion
	asker        rankport.Planner
	group        roster.GroupName
	incarnation  changeover.Incarnation
	engineConfig *routing.Engine
	gapGoal      time.Duration  // longest pause between events that is on time: the shortest goal of the service's routes; 0 if none has one
	servers      []*modelServer // all servers of the service
	listUnpolled bool           // servers was read from the list of targets and has not been polled in full since
	polls        uint64
	limit        places.Limit
	progress     places.Progress
	// switching is set while a step is held or about to be held. Polls wait until it is
	// reset: otherwise each order of the map switch would wait for a poll.
	switching atomic.Bool
	inFlight  sync.WaitGroup // polls of servers that are under way
	polled    chan struct{}  // signals that a poll has ended
	switched  chan struct{}  // signals that a map switch has ended

	mu        sync.Mutex
	view      view
	sharedMap *expertmap.Map // activeMap, for the polling goroutine

	activeMap      *expertmap.Map    // nil while it is not known
	version        int64             // of activeMap
	delta          *mapDelta         // changes that lead to the map being prepared; nil if the map is sent complete
	epoch          int64             // epoch of the group in the last view that was processed
	highestVersion int64             // highest map version that was used
	lastStep       int64             // last step that was used for a map switch
	preparedAt     time.Time         // when all ranks had prepared the last map
	pending        changeover.Arming // the last map switch; its step may not have begun
	changedAt      time.Time         // when the last map switch or recovery ended
}

// view is the result of one poll of the group.
type view struct {
	ranks        []*modelServer // by rank; nil while not all are known
	reports      []changeover.Report
	epoch        int64
	demand       []float64
	skew         float64       // skew of the experts' work with the active map
	stepTime     time.Duration // recent duration of a step; 0 until known
	gapGoal      time.Duration // gapGoal of the planner at the time of the poll
	countedAt    time.Time
	beganAt      time.Time // when the poll began
	engineConfig *routing.Engine
	stepsAhead   int64 // how many steps ahead a map switch is scheduled
	lost         []int // ranks that did not answer
	serving      bool  // the group is open and continues without the lost ranks
}

// ownRank returns the rank of the engine on this process's host; noRank if it is none of these. A group that opens in a
// new epoch may have given its servers other ranks: an order for another rank must not go to the own engine.
func (p *planner) ownRank(ranks []*modelServer) int {
	return slices.IndexFunc(ranks, func(s *modelServer) bool { return s.engineAddr == p.c.settings.Target.Address })
}

// complete reports whether all ranks answered.
func (v view) complete() bool { return v.serving && len(v.lost) == 0 }

// firstReport returns the report of the first rank that answered.
func (v view) firstReport() changeover.Report {
	for rank, r := range v.reports {
		if !slices.Contains(v.lost, rank) {
			return r
		}
	}
	return changeover.Report{}
}

// plan runs one term of the leadership until it is lost.
func (c *Companion) plan(ctx context.Context, own changeover.Report, term int64) {
	p := &planner{
		c: c, group: own.Group, incarnation: changeover.NewIncarnation(own.Rank),
		asker: rankport.Planner{Term: term, Name: string(c.settings.Name), Rank: own.Rank, Group: own.Group},
	}
	p.polled, p.switched = make(chan struct{}, 1), make(chan struct{}, 1)
	c.log.Info().Str("event", "planning").Str("group", string(own.Group)).Int64("term", term).Msg("")
	ctx, cancel := context.WithCancel(ctx)
	rebalancingEnded := make(chan struct{})
	go func() {
		defer close(rebalancingEnded)
		defer cancel() // a term without rebalancing is of no use; the next begins with what the ranks report
		err := task.Guard(func() error {
			p.keepRebalancing(ctx)
			return nil
		})
		if err != nil {
			task.Report(c.log, "rebalancing", err)
		}
	}()
	err := p.keepPolling(ctx)
	cancel()
	<-rebalancingEnded
	p.inFlight.Wait()
	c.log.Info().Str("event", "planningEnded").Str("group", string(own.Group)).Int64("term", term).Err(err).Msg("")
}
