package companion

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"wagtailshelf.example/wagtailshelf/internal/expert/changeover"
	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/expert/places"
	"wagtailshelf.example/wagtailshelf/internal/expert/plan"
	"wagtailshelf.example/wagtailshelf/internal/expert/seating"
	"wagtailshelf.example/wagtailshelf/internal/program/task"
	"wagtailshelf.example/wagtailshelf/internal/wire/rankport"
)

// keepPolling polls the ranks until the leadership is lost.
func (p *planner) keepPolling(ctx context.Context) error {
	failedPolls := 0
	partialPolls := 0          // polls in a row in which ranks did not answer
	var failingSince time.Time // when the first of the failed polls ended
	for {
		err := p.pollRound(ctx)
		p.sendUpdate()
		partialPolls = p.refreshIfPartial(ctx, partialPolls)
		switch {
		case errors.Is(err, rankport.ErrSuperseded):
			return err
		case err != nil:
			failedPolls++
			if failedPolls == 1 {
				failingSince = time.Now()
				p.c.log.Warn().Str("event", "planningHeldUp").Err(err).Msg("")
			}
			if time.Since(failingSince) > maxFailingTime {
				return err
			}
			if failedPolls%refreshAfterFailedPolls == 0 {
				p.refresh(ctx)
			}
		default:
			failedPolls = 0
		}
		if !p.awaitPoll(ctx) || !p.awaitSwitch(ctx) {
			return nil
		}
	}
}

// awaitPoll waits until the next poll is due, or a map switch has ended: the next switch is
// planned from a poll that follows it. It returns false if the context has ended.
func (p *planner) awaitPoll(ctx context.Context) bool {
	due := time.NewTimer(pollInterval + time.Duration(len(p.lastView().ranks))*pollTimePerRank)
	defer due.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-due.C:
	case <-p.switched:
	}
	return true
}

// signal wakes the receiver of a channel that holds one signal.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default: // a signal is pending already
	}
}

const (
	// maxSwitchWait is the longest time that a poll waits for a map switch. Entries use a
	// planner update for 700 ms.
	maxSwitchWait = 120 * time.Millisecond
	// switchPollInterval is the time between checks whether the wait is over.
	switchPollInterval = 4 * time.Millisecond
)

// awaitSwitch waits while a step is held. It returns false if the context has ended.
func (p *planner) awaitSwitch(ctx context.Context) bool {
	for waited := time.Duration(0); waited < maxSwitchWait && p.switching.Load(); waited += switchPollInterval {
		if !sleep(ctx, switchPollInterval) {
			return false
		}
	}
	return true
}

// pollRound polls all ranks once, after a rank assignment if there is none.
func (p *planner) pollRound(ctx context.Context) error {
	ranks := p.lastView().ranks
	if ranks == nil {
		var err error
		ranks, err = p.assignRanks(ctx)
		if err != nil {
			return err
		}
		if p.ownRank(ranks) == noRank {
			return merry.Wrap(seating.ErrIncomplete, merry.AppendMessage("the engine of this host is no rank of the group"))
		}
	}
	err := p.pollAll(ctx, ranks)
	if err != nil {
		p.forgetRanks()
	}
	return err
}

// forgetRanks makes the next poll begin with a new rank assignment.
func (p *planner) forgetRanks() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.serving = false
	p.view.ranks = nil
}

// refreshIfPartial reads the list of targets again after each refreshAfterPartialPolls polls in
// which ranks did not answer: their servers may have been replaced. It returns the number of such
// polls in a row.
func (p *planner) refreshIfPartial(ctx context.Context, partialPolls int) int {
	v := p.lastView()
	if v.ranks == nil || len(v.lost) == 0 {
		return 0
	}
	partialPolls++
	if partialPolls%refreshAfterPartialPolls != 0 {
		return partialPolls
	}
	p.refresh(ctx)
	for _, s := range p.servers {
		isRank := func(r *modelServer) bool { return r.target == s.target }
		if !p.inOtherGroup(s) && !slices.ContainsFunc(v.ranks, isRank) {
			p.forgetRanks() // it may have replaced the server of a lost rank
		}
	}
	return partialPolls
}

// lastView returns the result of the last poll.
func (p *planner) lastView() view {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view
}

// pollRank polls a rank through its sidecar, or reads the engine's report directly if the
// sidecar does not answer.
func (p *planner) pollRank(ctx context.Context, s *modelServer, l rankport.Poll) (state rankport.State, err error) {
	defer task.Catch(&err)
	l.Asker = p.asker
	state, err = p.c.peers.Poll(ctx, s.sidecarAddr, l)
	if err == nil || errors.Is(err, rankport.ErrSuperseded) {
		return state, err
	}
	report, err := p.c.engines.Report(ctx, s.engineAddr)
	if err != nil {
		return rankport.State{}, err
	}
	state = rankport.State{Report: report}
	if l.WantLists {
		state.Lists, err = p.c.engines.ExpertLists(ctx, s.engineAddr)
	}
	return state, err
}

// pollAll reads the reports of all ranks and the counts since the last poll, and updates the
// view. Ranks whose hosts don't answer are left out: a group continues while one of its hosts
// is frozen.
func (p *planner) pollAll(ctx context.Context, ranks []*modelServer) error {
	begin := time.Now()
	own := p.ownRank(ranks)
	states, errs := p.pollServers(ctx, ranks, func(rank int) rankport.Poll {
		l := rankport.Poll{WantCounts: p.wantsCounts(rank, len(ranks)), Since: ranks[rank].countsMark}
		if turnOf(rank, own, len(ranks)) < successorCount {
			l.Entries = p.entriesDue(begin, ranks[rank])
		}
		return l
	})
	v := view{ranks: ranks, beganAt: begin, reports: make([]changeover.Report, len(ranks))}
	for rank, err := range errs {
		switch {
		case err == nil:
			v.reports[rank] = states[rank].Report
		case !isSilent(err):
			return merry.Wrap(err, merry.AppendMessagef("rank %d", rank))
		default:
			v.lost = append(v.lost, rank)
		}
	}
	return p.acceptView(time.Now(), v, states)
}

// pollResult is the outcome of the poll of one server.
type pollResult struct {
	index int
	state rankport.State
	err   error
}

// pollServers polls servers in parallel. It does not wait for the last few of them: a frozen host
// would delay the updates to all entries. A later answer of a server only shows that it is
// alive, and the server is not polled again until then.
func (p *planner) pollServers(ctx context.Context, servers []*modelServer, request func(index int) rankport.Poll) ([]rankport.State, []error) {
	states, errs := make([]rankport.State, len(servers)), make([]error, len(servers))
	answers := make(chan pollResult, len(servers))
	started := 0
	for index, s := range servers {
		errs[index] = errNoAnswer
		if s.target == "" || s.polling.Swap(true) {
			continue
		}
		started++
		l := request(index)
		p.inFlight.Go(func() {
			v, err := p.pollRank(ctx, s, l)
			p.recordAnswer(s, err)
			s.polling.Store(false)
			answers <- pollResult{index, v, err}
		})
	}
	var late <-chan time.Time
	for n := range started {
		if n == len(servers)-seating.MaxLost(len(servers)) {
			late = time.After(pollGrace + time.Duration(len(servers))*pollTimePerRank)
		}
		select {
		case a := <-answers:
			states[a.index], errs[a.index] = a.state, a.err
		case <-late:
			return states, errs
		}
	}
	return states, errs
}

// recordAnswer records whether a server's host answers, and logs when that changes.
func (p *planner) recordAnswer(s *modelServer, err error) {
	if now := time.Now(); err == nil {
		s.lastAnswer.Store(&now)
	}
	switch {
	case err == nil && s.lost.Swap(false):
		p.c.log.Info().Str("event", "rankFound").Str("target", s.target).Msg("")
	case err != nil && isSilent(err) && !s.lost.Swap(true):
		p.c.log.Warn().Str("event", "rankLost").Str("target", s.target).Err(err).Msg("")
	}
}

// errNoAnswer reports a rank that has not answered yet.
var errNoAnswer = merry.New("no answer yet")

// pollGrace is how long a poll waits for the last ranks once most have answered, in addition
// to the time that the ranks take of the planner's share of a core. They answer within 5 ms of
// each other, and within 60 ms if the planner's processor is busy.
const pollGrace = 80 * time.Millisecond

// wantsCounts reports whether it is a rank's turn to send its counts.
func (p *planner) wantsCounts(rank, ranks int) bool {
	turns := (ranks + countsPerPoll - 1) / countsPerPoll
	return rank%turns == int(p.polls%uint64(turns))
}

// acceptView makes the result of a poll the newest view if the ranks that answered belong to
// one open group, in one epoch.
func (p *planner) acceptView(now time.Time, v view, states []rankport.State) error {
	if len(v.lost) > seating.MaxLost(len(v.ranks)) {
		return merry.Wrap(seating.ErrIncomplete, merry.AppendMessagef("%d ranks don't answer", len(v.lost)))
	}
	first := v.firstReport()
	for rank, r := range v.reports {
		if slices.Contains(v.lost, rank) {
			continue
		}
		if r.Group != p.group || r.Rank != rank || !r.Open || r.Epoch != first.Epoch {
			return merry.Wrap(seating.ErrIncomplete, merry.AppendMessagef("rank %d: group %s, epoch %d, open %t", rank, r.Group, r.Epoch, r.Open))
		}
	}
	v.epoch, v.countedAt, v.engineConfig = first.Epoch, now, p.engineConfig
	v.serving = p.progress.Advancing(now, v.reports) || len(v.lost) == 0
	p.limit.Observe(now, first.Step, p.engineConfig.MaxRequests, p.gapGoal)
	v.stepsAhead = p.limit.StepsAhead(len(v.ranks))
	v.stepTime, v.gapGoal = p.limit.StepTime, p.gapGoal
	p.mu.Lock()
	defer p.mu.Unlock()
	v.demand = p.decayedDemand(now, v, states)
	v.skew = skewOf(p.sharedMap, v)
	p.view = v
	signal(p.polled)
	return nil
}

// assumedSkew is used while the map or the demand is not known. A group that has just
// formed has its experts spread over the ranks in turn, and its skew was 3.1 to 3.4.
const assumedSkew = 3

// skewOf returns the skew of the experts' work with the active map, or assumedSkew if the map is
// nil, does not match the view, or there is no demand.
func skewOf(m *expertmap.Map, v view) float64 {
	if m == nil || !v.matches(m) || slices.Max(v.demand) == 0 {
		return assumedSkew
	}
	return plan.Skew(m, v.demand, places.Slowdowns(v.reports))
}

// matches reports whether a map has the shape of the view. The configuration may name other
// numbers of layers and experts from one poll to the next, while the map still has the earlier
// ones.
func (v view) matches(m *expertmap.Map) bool {
	s := m.Shape()
	return s.Ranks == len(v.ranks) && s.Layers*s.Experts == len(v.demand) && len(v.demand) > 0
}

// decayedDemand returns the demand of the last view, decayed, plus the new counts. The caller
// holds p.mu.
func (p *planner) decayedDemand(now time.Time, v view, states []rankport.State) []float64 {
	before := p.view
	n := p.engineConfig.LayerSets * p.engineConfig.Experts
	demand := make([]float64, n)
	if before.epoch == v.epoch && len(before.demand) == n {
		keep := decay(now.Sub(before.countedAt))
		for i, d := range before.demand {
			demand[i] = d * keep
		}
	}
	for rank, s := range states {
		if s.Mark != 0 {
			v.ranks[rank].countsMark = s.Mark
		}
		if len(s.Counts.Scaled) == n {
			s.Counts.AddTo(demand)
		}
	}
	return demand
}

// refreshAfterPartialPolls is the number of polls in a row with unanswered ranks after which the
// list of targets is read again: the polls of two seconds. Reading it takes two calls of the store.
const refreshAfterPartialPolls = 20
