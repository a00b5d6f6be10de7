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

func serving(t *testing.T) *Socket {
	t.Helper()
	s := open(t)
	go func() { _ = s.Serve(t.Context(), nil, nil) }()
	return s
}

func TestSilentProcesses(t *testing.T) {
	asker, runs, stopped := serving(t), serving(t), open(t)
	require.Empty(t, asker.Silent(t.Context(), nil))
	require.Empty(t, asker.Silent(t.Context(), []netip.AddrPort{runs.Addr()}))
	require.Equal(t, []netip.AddrPort{stopped.Addr()}, asker.Silent(t.Context(), []netip.AddrPort{runs.Addr(), stopped.Addr()}))
}

// Guards against a process that passes for one that runs by its answer to an earlier question.
func TestAnswerToAnEarlierQuestion(t *testing.T) {
	asker, late := open(t), open(t)
	list := []netip.AddrPort{late.Addr()}
	first, _ := asker.pings.begin(list)
	second, done := asker.pings.begin(list)
	asker.pings.answered(late.Addr(), first)
	require.Equal(t, list, asker.pings.silent(list))
	asker.pings.answered(late.Addr(), second)
	require.Empty(t, asker.pings.silent(list))
	<-done
}
