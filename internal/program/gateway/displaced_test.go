package gateway

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
	"wagtailshelf.example/wagtailshelf/internal/program/deployed"
	"wagtailshelf.example/wagtailshelf/internal/record/feed"
	"wagtailshelf.example/wagtailshelf/internal/record/position"
)

// atAddressOfA returns an entry under another id with the address of the target "a", listed later.
func atAddressOfA(service string) feed.Change[roster.Target] {
	c := listed("b", noon.Add(time.Minute), 1, 9)
	c.Object.Service, c.Object.ListedAt = service, position.Position{Revision: 9}
	return c
}

// Guards against a live server that gets no requests for good, because another writer once named its
// address.
func TestDisplacedTargetIsUsedAgain(t *testing.T) {
	t.Run("a service that nobody names displaces nobody", func(t *testing.T) {
		g := newGatewayWith(t)
		g.applyTarget(atAddressOfA("inventory"))
		requireServing(t, g, "a")
	})
	t.Run("nor after its entry has gone", func(t *testing.T) {
		g := newGatewayWith(t)
		g.applyTarget(atAddressOfA("inventory"))
		g.applyTarget(gone("b"))
		requireServing(t, g, "a")
	})
	t.Run("nor if it was listed before the configuration", func(t *testing.T) {
		g := newGateway()
		g.applyTarget(listed("a", noon, 70, 5))
		g.applyTarget(atAddressOfA("inventory"))
		g.installConfig(deployed.Elapsed(), naming(7, "svc"))
		requireServing(t, g, "a")
	})
	t.Run("a service that is named later does", func(t *testing.T) {
		g := newGatewayWith(t)
		g.applyTarget(atAddressOfA("inventory"))
		g.installConfig(deployed.Elapsed(), naming(8, "svc", "inventory"))
		requireServing(t, g)
		require.Len(t, g.serving("inventory"), 1)
	})
	for _, service := range []string{"svc", "other"} {
		for name, end := range map[string]func(*Gateway){
			"its entry expires":            func(g *Gateway) { g.applyTarget(gone("b")) },
			"another server answers (421)": func(g *Gateway) { misdirect(g, "b", "") },
		} {
			t.Run(name+", "+service, func(t *testing.T) {
				g := newGatewayWith(t)
				logged := logOf(g)
				g.applyTarget(atAddressOfA(service))
				require.NotContains(t, servingIDs(g), "a")
				end(g)
				requireServing(t, g, "a")
				require.Len(t, logged.of("targetRegained"), 1)
			})
		}
	}
}

// Guards against believing again an entry whose address another server was found at, as it is listed
// once more.
func TestReplacedTargetStaysReplaced(t *testing.T) {
	g := newGatewayWith(t)
	g.applyTarget(atAddressOfA("svc"))
	misdirect(g, "b", "")
	again := atAddressOfA("svc")
	again.Object.Heartbeats, again.Object.ChangedAt = 2, position.Position{Revision: 12}
	g.applyTarget(again)
	requireServing(t, g, "a")
}

// servingIDs returns the targets of the service svc that get requests.
func servingIDs(g *Gateway) []string {
	var ids []string
	for _, t := range g.serving("svc") {
		ids = append(ids, t.ID)
	}
	return ids
}

// logOf returns what the entry logs from now on.
func logOf(g *Gateway) *logLines {
	logged := new(logLines)
	g.log = &log.Logger{Writer: logged}
	return logged
}

// Guards against losing a target because it refused a request on account of another server.
func TestMisdirectedAnswerThatNamesAServer(t *testing.T) {
	beside := listed("b", noon, 70, 6)
	beside.Object.Address = netip.MustParseAddrPort("10.0.0.2:80")
	replacing := atAddressOfA("other")
	replacing.Object.ListedAt = position.Position{} // listed at the same time, so that it doesn't displace the target
	for name, c := range map[string]struct {
		named   string
		knows   feed.Change[roster.Target]
		serving bool
	}{
		"names nobody":                       {"", beside, false},
		"names a server at another address":  {"b", beside, true},
		"names a server at the same address": {"b", replacing, false},
		"names an unknown server":            {"i-9", beside, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGatewayWith(t)
			g.applyTarget(c.knows)
			misdirect(g, "a", c.named)
			require.Equal(t, c.serving, slices.Contains(servingIDs(g), "a"))
		})
	}
}

// misdirect passes on a 421 to a request for a target, as the entry knows it now.
func misdirect(g *Gateway, id, named string) {
	t, _ := g.roster.Get(id)
	g.targetReplaced(t, named)
}

// Guards against losing a server that has started again, because another one had its address before and
// refuses a request that was under way.
func TestLateMisdirectedAnswerToAnEarlierIncarnation(t *testing.T) {
	elsewhere := listed("a", noon.Add(time.Minute), 1, 9)
	elsewhere.Object.Address = netip.MustParseAddrPort("10.0.0.2:80")
	for name, c := range map[string]struct {
		earlier, current feed.Change[roster.Target]
		serving          bool
	}{
		"the same incarnation":    {listed("a", noon, 70, 5), listed("a", noon, 71, 6), false},
		"distinguished by birth":  {listed("a", noon, 70, 5), listed("a", noon.Add(time.Minute), 1, 9), true},
		"distinguished by beats":  {listed("a", time.Time{}, 70, 5), listed("a", time.Time{}, 1, 9), true},
		"started again elsewhere": {listed("a", noon, 70, 5), elsewhere, true},
		"its clock was set back":  {listed("a", noon, 70, 5), listed("a", noon.Add(-time.Hour), 1, 9), true},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGateway()
			g.applyTarget(c.earlier)
			sentTo, _ := g.roster.Get("a")
			g.applyTarget(c.current)
			g.targetReplaced(sentTo, "")
			require.Equal(t, c.serving, slices.Contains(servingIDs(g), "a"))
		})
	}
}
