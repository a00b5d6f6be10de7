package soak

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/standin/program"
	"wagtailshelf.example/wagtailshelf/platform/standin"
)

var (
	seedCount = flag.Int("soak.seeds", 2, "how many seeds to run, alternately with one and two groups")
	firstSeed = flag.Uint64("soak.first", 20261202, "the first seed")
	faultTime = flag.Duration("soak.time", 6*time.Second, "how long faults are injected for each seed")

	entryCount = flag.Int("soak.entries", 2, "how many entries")
	rankCount  = flag.Int("soak.ranks", 4, "how many model servers a group has, each with its sidecar")
)

func TestSoak(t *testing.T) {
	binary, err := program.Build(t.TempDir(), "-race")
	require.NoError(t, err)
	for _, k := range knownSeeds(t) {
		t.Run(fmt.Sprint(k.seed), func(t *testing.T) { soak(t, binary, k.seed, k.groups, k.backups) })
	}
	for i := range *seedCount {
		seed, groups := *firstSeed+uint64(i), 1+i%maxGroups
		t.Run(fmt.Sprintf("%d with %d groups", seed, groups), func(t *testing.T) { soak(t, binary, seed, groups, true) })
	}
}

// knownSeed is a seed that once failed, with the number of groups of that run, and whether the store was
// restored from backups.
type knownSeed struct {
	seed    uint64
	groups  int
	backups bool
}

// knownSeeds reads testdata/seeds.txt.
func knownSeeds(t *testing.T) []knownSeed {
	f, err := os.Open("testdata/seeds.txt")
	require.NoError(t, err)
	defer f.Close()
	var list []knownSeed
	for s := bufio.NewScanner(f); s.Scan(); {
		text, _, found := strings.Cut(s.Text(), ":")
		number, options, _ := strings.Cut(strings.TrimSpace(text), " ")
		if seed, err := strconv.ParseUint(number, 10, 64); found && err == nil {
			known := knownSeed{seed: seed, groups: 1, backups: strings.HasPrefix(options, "with copies")}
			if strings.HasSuffix(options, "2 groups") {
				known.groups = 2
			}
			list = append(list, known)
		}
	}
	return list
}

// settleLimit is how long the deployment may take to serve again after the last fault.
// It takes a second or two; the limit is long so that a busy machine doesn't change the result.
const settleLimit = 60 * time.Second

// soak runs one seed. With backups the store is restored from one now and then, in addition to
// the faults that the seed draws anyway.
func soak(t *testing.T, binary string, seed uint64, groups int, backups bool) {
	w := newWorld(t, binary, seed, groups)
	if backups {
		w.backupDraws = rand.New(rand.NewPCG(seed, 13))
		w.store.SetEra(int64(w.backupDraws.IntN(2)))
	}
	t.Cleanup(func() {
		if t.Failed() {
			w.checkProcesses()
			t.Log(w.problems)
			t.Log(w.logTails())
		}
	})
	for i := range w.entries {
		require.Eventually(t, func() bool { return w.ready(i) }, settleLimit, 50*time.Millisecond, "entry %d becomes ready", i)
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var running sync.WaitGroup
	c := &calls{w: w}
	for n := range 12 {
		r := rand.New(rand.NewPCG(seed, uint64(100+n)))
		running.Go(func() { c.callUntilDone(ctx, r) })
	}
	for n, s := range w.notifiers {
		running.Go(func() { s.run(ctx, rand.New(rand.NewPCG(seed, uint64(200+n)))) })
	}
	running.Go(func() { w.misuseUntilDone(ctx, rand.New(rand.NewPCG(seed, 300))) })
	w.injectFaults(time.Now().Add(*faultTime))
	for i := range w.entries {
		require.Eventually(t, func() bool { return w.ready(i) }, settleLimit, 50*time.Millisecond, "entry %d is ready again", i)
	}
	w.faulty.Calm()
	before, piecesBefore := c.streams.Load(), c.pieceStreams.Load()
	require.Eventually(t, func() bool { return c.streams.Load() > before+50 }, settleLimit, 50*time.Millisecond, "streams are served after the last fault")
	require.Eventually(t, func() bool { return c.pieceStreams.Load() > piecesBefore+20 }, settleLimit, 50*time.Millisecond, "streams of servers that had faults are served")
	for _, g := range w.groups {
		require.Eventually(t, func() bool { _, v := g.Step(); return v[0] > 0 }, settleLimit, 50*time.Millisecond, "the map of %s follows demand", g.Name)
	}
	stop()
	running.Wait()
	c.check()
	for _, n := range w.notifiers {
		n.set(0, false)
		n.check()
	}
	c.checkBrittle()
	for _, g := range w.groups {
		require.Empty(t, g.MixedSteps(), "all ranks of %s have one map in each step", g.Name)
	}
	w.checkProcesses()
	require.Empty(t, w.problems)
	t.Logf("%d more streams complete, %d of them after the caller went on by itself; runs at the servers: %s", c.pieceStreams.Load(), c.resumedStreams.Load(), w.faulty.Forms())
	t.Logf("%d streams and %d other requests complete, %d refused, %d unknown or truncated; %d restores of the store, seen %d times by processes",
		c.streams.Load(), c.plain.Load(), c.refused.Load(), c.unknown.Load(), w.restores, strings.Count(w.logs(`"event":"storeEra"`), "\n"))
}

// calls records the requests of the callers and their results.
type calls struct {
	w                                *world
	number                           atomic.Int64
	streams, plain, refused, unknown atomic.Int64
	pieceStreams, resumedStreams     atomic.Int64 // complete ones of the servers with faults; those that callers went on with
	mu                               sync.Mutex
	notRun, runOnce                  []string
}

// callUntilDone is one caller, which calls until the context ends. It keeps its connection as
// long as that can be used, then opens one to a randomly chosen entry. If that entry is not
// ready, it waits a little before the next call.
func (c *calls) callUntilDone(ctx context.Context, r *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	entry := r.IntN(*entryCount)
	for ctx.Err() == nil {
		if !c.call(ctx, client, entry, r) {
			client.CloseIdleConnections()
			entry = r.IntN(*entryCount)
			if !c.w.ready(entry) {
				time.Sleep(20 * time.Millisecond)
			}
		}
	}
}

// call makes one request and reports whether its connection may be used again.
func (c *calls) call(ctx context.Context, client *http.Client, entry int, r *rand.Rand) bool {
	id := newID(entry, c.number.Add(1))
	path, method, key := "stream", http.MethodPost, "k-stayer"
	switch u := r.Float64(); {
	case u < 0.25:
		path = "once"
	case u < 0.5:
		path, method = "safe", http.MethodGet
	case u < 0.55:
		return c.callBrittle(ctx, client, entry, "calm "+id, calmParts)
	case u < 0.56:
		return c.callFatal(ctx, client, entry, r.IntN(fatalKinds))
	case u < 0.7:
		return c.callStream(ctx, client, entry, r)
	}
	if r.Float64() < 0.2 {
		key = "k-leaver"
	}
	q := standin.NewCall(method, "http://"+c.w.callers[entry].String()+"/"+path+"/x", id, key, 4000, nil).WithContext(ctx)
	q.Host = host
	a, err := client.Do(q)
	if err != nil {
		c.unknown.Add(1)
		c.noteAtMostOnce(path, id)
		return false
	}
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	c.noteAtMostOnce(path, id)
	switch {
	case a.StatusCode == http.StatusOK && err == nil:
		c.checkComplete(path, id, string(body), a.Header)
	case a.StatusCode == http.StatusServiceUnavailable || a.StatusCode == http.StatusTooManyRequests:
		c.refused.Add(1)
		c.mu.Lock()
		c.notRun = append(c.notRun, id)
		c.mu.Unlock()
		time.Sleep(30 * time.Millisecond)
	case a.StatusCode == http.StatusUnauthorized && key == "k-leaver":
	case a.StatusCode == http.StatusOK:
		c.unknown.Add(1)
		c.checkBegun(path, id, string(body))
	case a.StatusCode == http.StatusBadGateway || a.StatusCode == http.StatusGatewayTimeout:
		c.unknown.Add(1)
	default:
		c.w.problem("%s %s: status %d", path, id, a.StatusCode)
	}
	return err == nil && !a.Close
}

// fatalKinds is the number of kinds of requests that crash the servers that run them. Callers send
// the first two again and again. Of the third kind no two are alike, but for a part of their prompts.
const fatalKinds = 3

// The parts of the prompts of requests to the brittle servers.
const (
	calmParts  = "5c1e:40,91bd:600"
	fatalParts = "5c1e:40,bad:100,91bd:600"
)

// callFatal makes a request that crashes the server that runs it.
func (c *calls) callFatal(ctx context.Context, client *http.Client, entry, kind int) bool {
	if kind == fatalKinds-1 {
		return c.callBrittle(ctx, client, entry, fmt.Sprint("fatal part ", c.number.Add(1)), fatalParts)
	}
	return c.callBrittle(ctx, client, entry, fmt.Sprint("fatal ", kind+1), calmParts)
}

// callBrittle makes a request to the brittle servers, which some requests crash, and reports
// whether its connection may be used again.
func (c *calls) callBrittle(ctx context.Context, client *http.Client, entry int, body, parts string) bool {
	id := fmt.Sprintf("brittle-%d", c.number.Add(1))
	q := standin.NewCall(http.MethodPost, "http://"+c.w.callers[entry].String()+"/brittle/x", id, "k-stayer", 4000, strings.NewReader(body)).WithContext(ctx)
	q.Host = host
	q.Header.Set("Wagtailshelf-Prompt-Prefix", parts)
	a, err := client.Do(q)
	if err != nil {
		c.unknown.Add(1)
		return false
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	if a.StatusCode == http.StatusOK && err == nil && string(text) != "answer to "+body {
		c.w.problem("%s: wrong answer to %q: %q", id, body, text)
	}
	return err == nil && !a.Close
}

// checkBrittle sends the requests that crash servers once more, now that nothing else fails.
// Each may crash two servers through an entry that has no record of its crashes yet, and then
// none; other requests are served.
func (c *calls) checkBrittle() {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	reachedBefore := 0
	for round := range 8 {
		if round == 4 {
			reachedBefore = len(c.w.brittle.FatalBodies())
		}
		for kind := range fatalKinds {
			for entry := range *entryCount {
				require.Eventually(c.w.t, c.w.brittle.AllUp, settleLimit, 10*time.Millisecond)
				c.callFatal(c.w.t.Context(), client, entry, kind)
			}
		}
	}
	if reached := len(c.w.brittle.FatalBodies()); reached != reachedBefore {
		c.w.problem("requests that crash servers still reached them: %d times in all, %d before the last rounds", reached, reachedBefore)
	}
	require.Eventually(c.w.t, func() bool {
		q := standin.NewCall(http.MethodPost, "http://"+c.w.callers[0].String()+"/brittle/x", "calm", "k-stayer", 4000, strings.NewReader("calm"))
		q.Host = host
		q.Header.Set("Wagtailshelf-Prompt-Prefix", calmParts)
		a, err := client.Do(q)
		if err != nil {
			return false
		}
		defer a.Body.Close()
		return a.StatusCode == http.StatusOK
	}, settleLimit, 50*time.Millisecond, "other requests to the brittle servers are served")
	if c.w.usedTarget("foreign-") {
		c.w.problem("a server listed by another writer was used")
	}
}

// noteAtMostOnce records a request that may run at most once.
func (c *calls) noteAtMostOnce(path, id string) {
	if path != "once" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runOnce = append(c.runOnce, id)
}

// checkComplete checks that a response without an error is the server's complete answer.
func (c *calls) checkComplete(path, id, body string, h http.Header) {
	if path == "stream" {
		c.streams.Add(1)
	} else {
		c.plain.Add(1)
	}
	if body != completeBody(path, id) || !standin.Stamped(h) {
		c.w.problem("%s %s: not the server's complete answer: %q\n%s", path, id, body, c.w.logs(id))
	}
}

// checkBegun checks that a response that broke off is the beginning of the server's complete answer.
func (c *calls) checkBegun(path, id, body string) {
	if !strings.HasPrefix(completeBody(path, id), body) {
		c.w.problem("%s %s: not the beginning of the server's answer: %q\n%s", path, id, body, c.w.logs(id))
	}
}

// completeBody returns the body of the server's complete answer.
func completeBody(path, id string) string {
	if path != "stream" {
		return "body of " + id
	}
	var body strings.Builder
	for n := 1; n <= standin.StreamEvents; n++ {
		body.WriteString(standin.StreamEvent(id, n))
	}
	return body.String()
}

// check compares the runs on the servers with the outcomes that the callers got.
func (c *calls) check() {
	time.Sleep(200 * time.Millisecond) // for requests in flight when the callers stopped
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range c.notRun {
		if n := c.w.ledger.Runs(id); n > 0 && !c.w.streaming(id) {
			c.w.problem("%s was reported as not run, but ran %d times\n%s", id, n, c.w.logs(id))
		}
	}
	for _, id := range c.runOnce {
		if n := c.w.ledger.Runs(id); n > 1 {
			c.w.problem("%s may run once, but ran %d times\n%s", id, n, c.w.logs(id))
		}
	}
	if !c.w.revokedAt.IsZero() {
		if late := c.w.ledger.LastRun("leaver").Sub(c.w.revokedAt); late > revoke+time.Second {
			c.w.problem("a revoked key was still accepted %s later", late)
		}
	}
}

// streaming reports whether a request is of the kind that may run more than once. A refusal of
// such a request means only that its last attempt did not run.
func (w *world) streaming(id string) bool {
	return strings.Contains(w.logs(`"id":"`+id+`"`), `"kind":"streaming"`)
}

// injectFaults causes random faults until the end, some at the same time, and then undoes them.
func (w *world) injectFaults(end time.Time) {
	var pending sync.WaitGroup
	undoAfter := func(d time.Duration, undo func()) {
		pending.Go(func() {
			time.Sleep(d)
			undo()
		})
	}
	revokeAt := time.Now().Add(time.Until(end) / 2)
	for time.Now().Before(end) {
		if d, restored := w.backUpOrRestore(); restored {
			undoAfter(d, w.rewrite)
		}
		if w.revokedAt.IsZero() && time.Now().After(revokeAt) {
			w.putConfig(false)
			w.revokedAt = time.Now()
		}
		all := append(append([]*process(nil), w.entries...), w.sidecars...)
		p := all[w.r.IntN(len(all))]
		sidecar := w.r.IntN(len(w.sidecars))
		group := w.groups[sidecar / *rankCount]
		proxy := w.proxies[w.r.IntN(len(w.proxies))]
		d := time.Duration(300+w.r.IntN(1700)) * time.Millisecond
		w.noteDisturbance(p)
		switch w.r.IntN(13) {
		case 0:
			p.signal(syscall.SIGKILL)
			p.await(settleLimit)
			w.noteDisturbance(p)
			p.start(w)
		case 1:
			p.signal(syscall.SIGSTOP)
			undoAfter(d, func() {
				w.noteDisturbance(p)
				p.signal(syscall.SIGCONT)
			})
		case 2:
			p.signal(syscall.SIGCONT)
			p.signal(syscall.SIGTERM)
			if !p.await(grace + settleLimit) {
				w.problem("%s does not end", p.name)
				p.signal(syscall.SIGKILL)
				p.await(settleLimit)
			}
			w.noteDisturbance(p)
			p.start(w)
		case 3:
			p.signal(syscall.SIGHUP)
		case 4:
			proxy.Set(standin.Faults{Silent: w.r.IntN(2) == 0, OneWay: true})
			undoAfter(d, func() { proxy.Set(standin.Faults{}) })
		case 5:
			proxy.Set(standin.Faults{Delay: 100 * time.Millisecond})
			undoAfter(d, func() { proxy.Set(standin.Faults{}) })
		case 6:
			proxy.Reset()
		case 7:
			fault := []standin.Fault{standin.Refused, standin.LostAfter, standin.TooMany, standin.Garbled}[w.r.IntN(4)]
			w.store.SetFault(func(string, string) standin.Fault { return fault })
			undoAfter(d, func() { w.store.SetFault(func(string, string) standin.Fault { return standin.None }) })
		case 8:
			w.store.DropHistory()
			drops := rand.New(rand.NewPCG(w.r.Uint64(), 3))
			group.LoseResponses(func() bool { return drops.Float64() < 0.2 })
			undoAfter(d, func() { group.LoseResponses(func() bool { return false }) })
		case 9: // a whole host freezes: the engine and its sidecar
			unfreeze := group.Freeze(sidecar % *rankCount)
			w.sidecars[sidecar].signal(syscall.SIGSTOP)
			undoAfter(d, func() {
				unfreeze()
				w.sidecars[sidecar].signal(syscall.SIGCONT)
			})
		case 10:
			breaks := rand.New(rand.NewPCG(w.r.Uint64(), 4))
			group.BreakStreams(func() bool { return breaks.Float64() < 0.03 })
			undoAfter(d, func() { group.BreakStreams(func() bool { return false }) })
		case 12: // another writer corrupts the list of servers
			undoAfter(d, w.putForeign())
		case 11: // changes of the configuration in quick succession
			for range 3 + w.r.IntN(8) {
				w.putConfig(w.revokedAt.IsZero())
				time.Sleep(20 * time.Millisecond)
			}
		}
		time.Sleep(time.Duration(100+w.r.IntN(500)) * time.Millisecond)
	}
	pending.Wait()
	for _, proxy := range w.proxies {
		proxy.Set(standin.Faults{})
	}
}
