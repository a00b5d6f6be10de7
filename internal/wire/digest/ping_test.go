package digest

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

func open(t *testing.T) *Socket {
	t.Helper()
	s, err := Open(netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(t, err)
	return s
}

func openServing(t *testing.T) *Socket {
	t.Helper()
	s := open(t)
	go func() { _ = s.Serve(t.Context(), nil, nil) }()
	return s
}

func TestSilentProcesses(t *testing.T) {
	pinger, running, stopped := openServing(t), openServing(t), open(t)
	require.Empty(t, pinger.Unresponsive(t.Context(), nil))
	require.Empty(t, pinger.Unresponsive(t.Context(), []netip.AddrPort{running.Addr()}))
	require.Equal(t, []netip.AddrPort{stopped.Addr()}, pinger.Unresponsive(t.Context(), []netip.AddrPort{running.Addr(), stopped.Addr()}))
}

// Guards against a process that counts as running because of its answer to an earlier round of
// pings.
func TestAnswerToAnEarlierPing(t *testing.T) {
	pinger, late := open(t), open(t)
	list := []netip.AddrPort{late.Addr()}
	first, _ := pinger.pings.begin(list)
	second, done := pinger.pings.begin(list)
	pinger.pings.answered(late.Addr(), first)
	require.Equal(t, list, pinger.pings.silent(list))
	pinger.pings.answered(late.Addr(), second)
	require.Empty(t, pinger.pings.silent(list))
	<-done
}
