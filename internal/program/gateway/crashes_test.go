package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/program/deployed"
	"wagtailshelf.example/wagtailshelf/internal/traffic/forward"
	"wagtailshelf.example/wagtailshelf/internal/traffic/quarantine"
	"wagtailshelf.example/wagtailshelf/internal/wire/presence"
	"wagtailshelf.example/wagtailshelf/platform/standin"
)

// running is an entry that serves on loopback.
type running struct {
	callers netip.AddrPort
	gateway *Gateway
	heard   *lines
	stop    func()
}

// hosts counts the hosts that were given out.
var hosts atomic.Uint32

// newHost returns an address for one entry alone. A port that was found free at the address
// that all tests share was taken by another one's connection in the meantime.
func newHost() netip.Addr {
	n := hosts.Add(1)
	return netip.AddrFrom4([4]byte{127, byte(64 + os.Getpid()%128), byte(n >> 8), byte(n)})
}

// start starts an entry and waits until it is ready.
func start(t *testing.T, name host.Name, store netip.AddrPort) *running {
	ip := newHost()
	s := deployed.Settings{
		Role: host.Entry, Name: name, Address: ip, DataCentre: "z", Store: store, Memory: 200,
		Listen: deployed.Listen{
			Callers: netip.AddrPortFrom(ip, 7400), Readiness: netip.AddrPortFrom(ip, 7401),
			Metrics: netip.AddrPortFrom(ip, 7402), Peers: netip.AddrPortFrom(ip, 7403),
		},
		Bounds: deployed.Bounds{
			Apply: 2 * time.Second, Revoke: 5 * time.Second, Drain: 2 * time.Second, Grace: 8 * time.Second,
			Stall: 1500 * time.Millisecond, RepeatRatio: 0.2, RepeatSlack: 90, RepeatWindow: 10 * time.Second,
		},
	}
	file := filepath.Join(t.TempDir(), "settings.yaml")
	require.NoError(t, os.WriteFile(file, nil, 0o600))
	heard := new(lines)
	l := &log.Logger{Writer: heard}
	g := New(s, l, metrics.NewSet())
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- g.Run(ctx, &deployed.Reloader{File: file, Log: l}) }()
	end := sync.OnceFunc(func() {
		stop()
		require.NoError(t, <-ended)
	})
	t.Cleanup(end)
	require.Eventually(t, g.ready, time.Minute, time.Millisecond)
	return &running{callers: s.Listen.Callers, gateway: g, heard: heard, stop: end}
}

// call sends a request and returns the status, the body and when to come back.
func (e *running) call(t *testing.T, id, path, body string) (status int, text, after string) {
	r := standin.Call(http.MethodPost, "http://"+e.callers.String()+path, id, "k1", 4000, strings.NewReader(body))
	r.Host = callsHost
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	w, err := c.Do(r)
	require.NoError(t, err)
	defer w.Body.Close()
	answer, err := io.ReadAll(w.Body)
	if err != nil {
		return 0, "", "" // the answer broke off
	}
	return w.StatusCode, string(answer), w.Header.Get("Retry-After")
}

const callsHost = "calls.example"

// newCrashWorld starts two entries before servers that a request crashes.
func newCrashWorld(t *testing.T, crashing func(testing.TB, *standin.Store, string, string, int, time.Duration) *standin.Crashing) (*standin.Crashing, []*running) {
	store := standin.NewStore(t)
	require.NoError(t, store.PutConfig(standin.Config{
		Version: 1, Host: callsHost, Plain: "app", Workspaces: map[string][]string{"acme": {"k1"}},
		Routes: []standin.Route{{Name: "safe", Kind: "safe", Service: "app"}},
	}))
	servers := crashing(t, store, "app", "fatal", 4, 60*time.Millisecond)
	return servers, []*running{start(t, "entry-1", store.Address), start(t, "entry-2", store.Address)}
}

// awaitServers waits until all servers run and both entries would send to just these lives. An
// entry that has not heard of a restart asks the earlier life, and its caller is refused.
func awaitServers(t *testing.T, servers *standin.Crashing, entries []*running) {
	t.Helper()
	require.Eventually(t, func() bool {
		if !servers.Up() {
			return false
		}
		for _, e := range entries {
			var ids []string
			for _, target := range e.gateway.roster.Serving("app") {
				ids = append(ids, target.ID)
			}
			if !slices.Equal(ids, servers.IDs()) {
				return false
			}
		}
		return true
	}, time.Minute, time.Millisecond)
}

// A caller's request crashes each server that begins to run it. The caller gets 502 and sends
// it again, to another entry, each time under a new id. No entry remembered a request once its
// attempt was over, so each attempt crashed up to two more servers, and other callers found
// none: records had 10 crashes in 17 s, "answerCut" at ever new targets, and of 871 other
// generations asked for in those 20 s one was on time.
func TestRequestThatCrashesServersIsStopped(t *testing.T) {
	t.Parallel()
	requireStopped(t, standin.NewCrashing)
}

// The same, where servers start again under the ids that they had: their lives are told apart
// by when they were born.
func TestRequestThatCrashesServersUnderTheirIDs(t *testing.T) {
	t.Parallel()
	requireStopped(t, standin.NewCrashingUnderIDs)
}

func requireStopped(t *testing.T, crashing func(testing.TB, *standin.Store, string, string, int, time.Duration) *standin.Crashing) {
	t.Helper()
	servers, entries := newCrashWorld(t, crashing)
	const attempts = 24
	before := 0 // attempts that reached a server, when the last ten began
	for n := range attempts {
		awaitServers(t, servers, entries)
		if n == attempts-10 {
			before = len(servers.Reached())
		}
		status, _, after := entries[n%2].call(t, fmt.Sprint("fatal-", n), "/safe/x", "fatal")
		require.Contains(t, []int{http.StatusBadGateway, http.StatusServiceUnavailable}, status)
		if status == http.StatusServiceUnavailable {
			require.NotEmpty(t, after)
		}
	}
	require.Len(t, servers.Reached(), before, "once it is known no attempt reaches a server")
	t.Logf("%d crashes, %d attempts reached a server", servers.Crashes(), len(servers.Reached()))
	require.LessOrEqual(t, servers.Crashes(), 6, "three crashes, and three repeats that were under way")
	awaitServers(t, servers, entries)
	for n, e := range entries {
		status, text, _ := e.call(t, fmt.Sprint("other-", n), "/safe/x", "harmless")
		require.Equal(t, http.StatusOK, status, "other requests of the caller are served: %v", e.heard.of("request"))
		require.Equal(t, "answer to harmless", text)
	}
}

// crashUnder has a target of an entry's list crash under a request, as its probe would tell.
func (e *running) crashUnder(target string, request quarantine.Fingerprint) {
	now := time.Now()
	e.gateway.roster.Put(roster.Target{ID: target, Service: "other"})
	e.gateway.judgeBreak(&brokenTarget{
		target: roster.Target{ID: target}, presence: presence.Absent,
		requests: []forward.Break{{Run: quarantine.Run{Request: request, Sent: now, Broke: now}, Target: roster.Target{ID: target}}},
	})
}

func requireCrashes(t *testing.T, e *running, request quarantine.Fingerprint, n int) {
	t.Helper()
	require.Eventually(t, func() bool {
		return e.gateway.crashes.Quarantine.Look(time.Now(), request).Crashes == n
	}, time.Minute, time.Millisecond)
}

// The store turns all away while servers crash. Each entry goes by what it saw itself; once
// the store is back all of them know, also an entry that starts after that.
func TestCrashesAreToldOnceTheStoreIsBack(t *testing.T) {
	t.Parallel()
	store := standin.NewStore(t)
	require.NoError(t, store.PutConfig(standin.Config{Version: 1, Host: callsHost, Plain: "app"}))
	one, two := start(t, "entry-1", store.Address), start(t, "entry-2", store.Address)
	store.Fail(func(string, string) standin.Fault { return standin.Refused })
	fatal := quarantine.Fingerprint{7}
	one.crashUnder("i-1", fatal)
	two.crashUnder("i-2", fatal)
	requireCrashes(t, one, fatal, 1)
	require.Eventually(t, func() bool { return len(one.heard.of("crashesNotTold")) > 1 }, time.Minute, time.Millisecond)
	store.Fail(func(string, string) standin.Fault { return standin.None })
	requireCrashes(t, one, fatal, 2)
	requireCrashes(t, two, fatal, 2)
	requireCrashes(t, start(t, "entry-3", store.Address), fatal, 2)
	require.Len(t, two.heard.of("requestHeld"), 1)
}

// An entry starts anew after a crash, and sees a second one under the same request. It holds
// the request back by what its earlier life told, and goes on telling that.
func TestCrashesOfAnEarlierLife(t *testing.T) {
	t.Parallel()
	store := standin.NewStore(t)
	require.NoError(t, store.PutConfig(standin.Config{Version: 1, Host: callsHost, Plain: "app"}))
	fatal := quarantine.Fingerprint{7}
	one, other := start(t, "entry-1", store.Address), start(t, "entry-2", store.Address)
	one.crashUnder("i-1", fatal)
	requireCrashes(t, other, fatal, 1)
	one.stop()
	again := start(t, "entry-1", store.Address)
	requireCrashes(t, again, fatal, 1)
	again.crashUnder("i-2", fatal)
	requireCrashes(t, again, fatal, 2)
	requireCrashes(t, other, fatal, 2)
}

// An answer of the store is lost after the record was written. The entry finds it at another
// revision and writes it once more; it must neither give up nor wipe it.
func TestAnswerToTheRecordIsLost(t *testing.T) {
	t.Parallel()
	store := standin.NewStore(t)
	require.NoError(t, store.PutConfig(standin.Config{Version: 1, Host: callsHost, Plain: "app"}))
	one, two := start(t, "entry-1", store.Address), start(t, "entry-2", store.Address)
	var lost atomic.Int32
	store.Fail(func(method, _ string) standin.Fault {
		if method != http.MethodGet && lost.Add(1) <= 3 {
			return standin.LostAfter
		}
		return standin.None
	})
	for n := range 3 {
		one.crashUnder(fmt.Sprint("i-", n), quarantine.Fingerprint{7})
		requireCrashes(t, two, quarantine.Fingerprint{7}, n+1)
	}
	require.Eventually(t, func() bool { return lost.Load() > 3 }, time.Minute, time.Millisecond)
	requireCrashes(t, two, quarantine.Fingerprint{7}, 3)
}

// An operator frees a request by removing the records. No entry brings it back.
func TestRemovedRecordsFreeARequest(t *testing.T) {
	t.Parallel()
	store := standin.NewStore(t)
	require.NoError(t, store.PutConfig(standin.Config{Version: 1, Host: callsHost, Plain: "app"}))
	one, two := start(t, "entry-1", store.Address), start(t, "entry-2", store.Address)
	fatal := quarantine.Fingerprint{7}
	one.crashUnder("i-1", fatal)
	requireCrashes(t, two, fatal, 1)
	store.Remove("wagtailshelf-crashes", "entry-1")
	requireCrashes(t, one, fatal, 0)
	requireCrashes(t, two, fatal, 0)
	one.crashUnder("i-2", fatal)
	requireCrashes(t, two, fatal, 1)
}

// A server that has said that it leaves, or is not listed any more, ends as planned; what still
// runs there is cut as its time is over. Three such ends in a release are no crash of a
// request that was there.
func TestPlannedEndsAreNoCrashes(t *testing.T) {
	g := newGateway()
	g.roster.Put(roster.Target{ID: "leaves", Service: "svc", Leaving: true})
	g.roster.Put(roster.Target{ID: "crashes", Service: "svc"})
	for id, crashes := range map[string]int{"leaves": 0, "notListed": 0, "crashes": 1} {
		for presence, counts := range map[presence.Presence]int{presence.Silent: 0, presence.Listening: 0, presence.Absent: crashes} {
			f := quarantine.Request{URI: id + presence.String()}.Fingerprint()
			g.judgeBreak(&brokenTarget{
				target: roster.Target{ID: id}, presence: presence, requests: []forward.Break{{Run: quarantine.Run{Request: f}}},
			})
			require.Equal(t, counts, g.crashes.Quarantine.Look(time.Now(), f).Crashes, "%s %s", id, presence)
		}
	}
}

// A host is gone for good, and its entry's record stays in the store. Another entry removes
// it once it can hold nothing back any more, and not before.
func TestRecordsOfEntriesThatAreGone(t *testing.T) {
	t.Parallel()
	store := standin.NewStore(t)
	require.NoError(t, store.PutConfig(standin.Config{Version: 1, Host: callsHost, Plain: "app"}))
	put := func(name string, age time.Duration) {
		store.Put("wagtailshelf-crashes", name, fmt.Sprintf(`{"told":%d,"crashes":[]}`, time.Now().Add(-age).UnixMilli()))
	}
	put("old", 30*time.Hour)
	put("young", time.Hour)
	start(t, "entry-1", store.Address)
	require.Eventually(t, func() bool {
		return slices.Contains(store.Calls(), "DELETE /objects/wagtailshelf-crashes/old")
	}, time.Minute, time.Millisecond)
	require.NotContains(t, store.Calls(), "DELETE /objects/wagtailshelf-crashes/young")
}
