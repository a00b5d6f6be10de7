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
	"wagtailshelf.example/wagtailshelf/internal/traffic/routing"
	"wagtailshelf.example/wagtailshelf/internal/wire/rankport"
)

const (
	// lookInterval between looks at all ranks of a group, and what each rank adds: a
	// look takes the planner's share of a core some 0.6 ms for a rank, a fifth of
	// the time that it has.
	lookInterval = 60 * time.Millisecond
	lookPerRank  = 1200 * time.Microsecond
	// countedRanks is how many ranks tell their counts in one look, in turn: some
	// 2 KB each in a large group, and a planner's link carries 1 MB a second.
	countedRanks = 72
	// demandHalfLife in which older counts lose half of their weight.
	demandHalfLife = 120 * time.Millisecond
	// leastGain is the part of the experts' time that a change must win, so that
	// noise in the counts does not move experts about.
	leastGain = 0.1
	// copyTime is how long the copying for one change may take. Demand moves every few
	// seconds, and several small changes follow it sooner than a large one.
	copyTime = 150 * time.Millisecond
	// refreshEvery is how many looks in a row miss ranks before the list of
	// targets is read again.
	refreshEvery = 5
	// lostLimit is how long ranks may be missing before the planner gives the duty up:
	// another process may reach them. A server that crashed is back sooner most times,
	// and until then entries must be told that the group is closed.
	lostLimit = 12 * time.Second
)

// seat is where a server of the service is found, and what it said last.
type seat struct {
	target  string
	sidecar netip.AddrPort
	engine  netip.AddrPort
	spoke   bool              // it has answered
	last    changeover.Report // what it answered
	mark    uint64
	told    time.Time                 // when its sidecar was told of the entries
	lost    atomic.Bool               // its host does not answer
	heard   atomic.Pointer[time.Time] // when it answered last; nil until then
	asking  atomic.Bool               // a look at it is under way
}

// planner is one term of the duty. Two goroutines do it: one looks at the ranks and
// tells the entries, the other changes the map. A change takes up to a second, and
// what is seen must not get old meanwhile.
type planner struct {
	c      *Companion
	asker  rankport.Asker
	group  roster.GroupName
	own    int // this process's rank
	life   changeover.Life
	engine *routing.Engine
	gapAim time.Duration // shortest of the routes to the service; 0 if none has one
	seats  []*seat       // of all servers of the service
	listed bool          // the seats were read from the list, and not all asked since
	looks  uint64
	limit  places.Limit
	pulse  places.Pulse
	// switching is set while a pass is or is about to be held. The looks wait for that,
	// since each order of the change would wait for them.
	switching atomic.Bool
	asked     sync.WaitGroup // looks that are under way
	looked    chan struct{}  // a look has ended
	ended     chan struct{}  // a change of map has

	mu      sync.Mutex
	view    view
	inForce *expertmap.Map // the map that ranks have, as far as known; nil while it is not

	current  *expertmap.Map    // in force; nil while it is not known
	version  int64             // of current
	base     *base             // of the map that is being prepared; nil tells it whole
	epoch    int64             // of current
	highest  int64             // version that was used
	after    int64             // pass that was used last
	prepared time.Time         // when all ranks had the last change
	pending  changeover.Arming // the last change; its pass may not have begun
	changed  time.Time         // when the last change or recovery ended
}

// view is what the last look at the group showed.
type view struct {
	ranks   []*seat // by rank; nil while not all are known
	reports []changeover.Report
	epoch   int64
	demand  []float64
	skew    float64       // of the experts' work by the map in force
	pass    time.Duration // that a pass took lately; 0 until known
	gapAim  time.Duration // longest pause between events that is on time
	counted time.Time
	began   time.Time // when the look began
	engine  *routing.Engine
	ahead   int64 // passes ahead that a change is made
	lost    []int // ranks that did not answer
	serving bool  // the group is open, and goes on without the ranks that are lost
}

// whole tells whether all ranks answered.
func (v view) whole() bool { return v.serving && len(v.lost) == 0 }

// first returns the report of the first rank that answered.
func (v view) first() changeover.Report {
	for rank, r := range v.reports {
		if !slices.Contains(v.lost, rank) {
			return r
		}
	}
	return changeover.Report{}
}

// plan does the duty until it is lost.
func (c *Companion) plan(ctx context.Context, own changeover.Report, term int64) {
	p := &planner{
		c: c, group: own.Group, own: own.Rank, life: changeover.NewLife(own.Rank),
		asker: rankport.Asker{Term: term, Name: string(c.settings.Name), Rank: own.Rank, Group: own.Group},
	}
	p.looked, p.ended = make(chan struct{}, 1), make(chan struct{}, 1)
	c.log.Info().Str("event", "planning").Str("group", string(own.Group)).Int64("term", term).Msg("")
	ctx, cancel := context.WithCancel(ctx)
	moved := make(chan struct{})
	go func() {
		defer close(moved)
		p.keepMoving(ctx)
	}()
	err := p.keepLooking(ctx)
	cancel()
	<-moved
	p.asked.Wait()
	c.log.Info().Str("event", "planningEnded").Str("group", string(own.Group)).Int64("term", term).Err(err).Msg("")
}
