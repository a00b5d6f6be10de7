package gateway

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/platform/standin"
)

// removalSetting is an entry with two targets, of which one is going to leave.
type removalSetting struct {
	store    *standin.Store
	entry    *running
	leaving  *standin.Server
	lateness atomic.Int64 // of the latest request at the leaving target after its removal, in nanoseconds
	removed  atomic.Int64 // when it was removed, in Unix nanoseconds; 0 before
}

func newRemovalSetting(t *testing.T) *removalSetting {
	s := &removalSetting{store: standin.NewStore(t)}
	require.NoError(t, s.store.PutConfig(standin.Config{
		Version: 1, Host: callsHost, Plain: "app", Workspaces: map[string][]string{"acme": {"k1"}},
		Routes: []standin.Route{{Name: "safe", Kind: "safe", Service: "app"}},
	}))
	s.leaving = standin.NewServer(t, func(w standin.Reply, _ standin.Request) {
		if removed := s.removed.Load(); removed != 0 {
			s.lateness.Store(max(time.Now().UnixNano()-removed, s.lateness.Load()))
		}
		w.Complete(http.StatusOK, "hello")
	})
	s.store.PutServer("stays", "app", newHeartbeat(t).Address)
	s.store.PutServer("leaves", "app", s.leaving.Address)
	s.entry = start(t, "entry-1", s.store.Address)
	awaitServing(t, s.entry, "leaves", "stays")
	return s
}

// remove ends the target's entry in the store and sends requests for longer than the drain time.
func (s *removalSetting) remove(t *testing.T) {
	t.Helper()
	s.store.Remove("servers", "leaves")
	s.removed.Store(time.Now().UnixNano())
	statuses := sendLoad(t, []*running{s.entry}, 10*time.Millisecond, 2*drainTime)
	require.Len(t, statuses, 1)
	require.Contains(t, statuses, http.StatusOK, "the other target serves")
}

// requireNothingLate checks that no request reached the target later than its drain time.
func (s *removalSetting) requireNothingLate(t *testing.T) {
	t.Helper()
	require.Less(t, time.Duration(s.lateness.Load()), drainTime, "the latest request after the removal")
}

// failServerCalls injects a fault into all calls for the list of targets; None ends that.
func (s *removalSetting) failServerCalls(f standin.Fault) {
	s.store.SetFault(func(_, path string) standin.Fault {
		if isServerCall(path) {
			return f
		}
		return standin.None
	})
}

func isServerCall(path string) bool { return strings.HasSuffix(path, "/servers") }

// Guards against requests to a target that left after a failure of the store was over.
func TestTargetRemovedAfterAStoreFailureIsNotKept(t *testing.T) {
	t.Parallel()
	s := newRemovalSetting(t)
	s.failServerCalls(standin.Refused)
	require.Eventually(t, func() bool { return len(s.entry.logged.of("storeLost")) > 0 }, 10*time.Second, time.Millisecond)
	s.failServerCalls(standin.None)
	time.Sleep(time.Second)
	s.remove(t)
	s.requireNothingLate(t)
}

// Guards against requests to a target that left while the history of the store was dropped.
func TestTargetRemovedWithTheHistoryIsNotKept(t *testing.T) {
	t.Parallel()
	s := newRemovalSetting(t)
	s.failServerCalls(standin.Silent)
	s.store.PutServer("wakes", "app", newHeartbeat(t).Address)
	time.Sleep(targetSettleTime + 100*time.Millisecond)
	s.store.Remove("servers", "leaves")
	s.store.DropHistory()
	s.failServerCalls(standin.None)
	s.remove(t)
	s.requireNothingLate(t)
}

// Guards against requests to a target that left while a watch hung that the store never answers.
func TestTargetRemovedDuringAHungWatchGetsNothingLate(t *testing.T) {
	t.Parallel()
	s := newRemovalSetting(t)
	hung := make(chan struct{}, 1)
	s.store.SetFault(func(_, path string) standin.Fault {
		if !isServerCall(path) {
			return standin.None
		}
		select {
		case hung <- struct{}{}:
			return standin.Silent
		default: // only the first one hangs
			return standin.None
		}
	})
	require.Eventually(t, func() bool { return len(hung) == 1 }, 10*time.Second, time.Millisecond)
	s.remove(t)
	s.requireNothingLate(t)
}

// Guards against an entry that serves on after SIGTERM, and sends requests to targets that have left
// since.
func TestDrainingEntryLearnsThatATargetLeaves(t *testing.T) {
	t.Parallel()
	s := newRemovalSetting(t)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		s.entry.stop()
	}()
	require.Eventually(t, s.entry.gateway.drain.Begun, 10*time.Second, time.Millisecond)
	s.store.Remove("servers", "leaves")
	listsOne := func() bool { return len(s.entry.gateway.roster.Serving("app")) == 1 }
	require.Eventually(t, listsOne, drainTime, time.Millisecond)
	require.False(t, s.entry.gateway.ready())
	<-stopped
}
