package status_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/record/finding"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
	"wagtailshelf.example/wagtailshelf/internal/record/status"
)

var epoch = time.Date(2026, 3, 2, 14, 0, 0, 0, time.UTC)

func accepted(number uint64) status.Accepted {
	return status.Accepted{
		Number: number, Digest: document.DigestOf([]byte{byte(number)}),
		By: "marie", At: epoch, Version: object.Version(10 * number),
	}
}

// shelf is a platform with one object.
type shelf struct {
	object object.Object
	fail   func(c object.Call) bool // no answer, and nothing takes effect
	calls  []object.Call
}

func (s *shelf) do(c object.Call) object.Reply {
	s.calls = append(s.calls, c)
	r := object.Reply{ID: c.ID, Op: c.Op, Status: object.Done, Object: s.object}
	switch {
	case s.fail != nil && s.fail(c):
		return object.Reply{ID: c.ID, Op: c.Op, Status: object.Unknown}
	case c.Op == object.Get && s.object.Version == 0:
		r.Status = object.NotFound
	case c.Op == object.Get:
	case c.Version != s.object.Version:
		r.Status = object.Conflict
	default:
		s.object = object.Object{Key: c.Key, Version: s.object.Version + 1, Value: c.Value}
		r.Object = s.object
	}
	return r
}

func (s *shelf) run(b *status.Board, now time.Time, ev status.Event) {
	queue := []status.Event{ev}
	for steps := 0; len(queue) > 0; steps++ {
		if steps > 1000 {
			panic("the board asks for ever")
		}
		actions := b.Handle(now, queue[0])
		queue = queue[1:]
		for _, a := range actions {
			queue = append(queue, status.Event{Kind: status.Answered, Reply: s.do(a.Call)})
		}
	}
}

func (s *shelf) read(t require.TestingT) status.Status {
	got, err := status.Decode(s.object.Value)
	require.NoError(t, err)
	return got
}

func newBoard(names ...host.Name) *status.Board {
	b := status.NewBoard("mtl-a-entry-1", rand.New(rand.NewPCG(1, 1)))
	for _, name := range names {
		b.Handle(epoch, status.Event{Kind: status.Joined, Host: name})
	}
	return b
}

func TestBoardTellsOnHowManyItIsInForceAndWhoLags(t *testing.T) {
	s := &shelf{}
	b := newBoard("a", "b", "c")
	s.run(b, epoch, status.Event{Kind: status.Gained, Fence: 4})
	s.run(b, epoch, status.Event{Kind: status.Accept, Service: "agenda", Accepted: accepted(7)})
	for name, number := range map[host.Name]uint64{"a": 7, "b": 6} {
		s.run(b, epoch, status.Event{Kind: status.Holding, Service: "agenda", Host: name, Number: number})
	}
	require.False(t, b.Deadline().IsZero())
	s.run(b, b.Deadline(), status.Event{Kind: status.Tick})
	got := s.read(t)
	assert.Equal(t, uint64(7), got.Accepted.Number)
	assert.Equal(t, 1, got.InForce)
	assert.Equal(t, 3, got.Of)
	assert.Equal(t, []status.Lag{{Host: "c", Number: 0}, {Host: "b", Number: 6}}, got.Lagging)
	assert.False(t, got.Settled())

	s.run(b, epoch, status.Event{Kind: status.Joined, Host: "c", Silent: true})
	s.run(b, epoch, status.Event{Kind: status.Holding, Service: "agenda", Host: "b", Number: 7})
	s.run(b, b.Deadline(), status.Event{Kind: status.Tick})
	without := s.read(t)
	assert.Equal(t, []status.Lag{{Host: "c", Silent: true}}, without.Lagging)
	assert.True(t, without.Settled(), "a silent process takes no new work")
	s.run(b, epoch, status.Event{Kind: status.Joined, Host: "c"})
	s.run(b, b.Deadline(), status.Event{Kind: status.Tick})
	again := s.read(t)
	assert.False(t, again.Settled())

	late := status.Event{Kind: status.Holding, Service: "agenda", Host: "a", Number: 5}
	s.run(b, epoch, late) // a report that was overtaken
	s.run(b, epoch, status.Event{Kind: status.Gone, Host: "c"})
	s.run(b, b.Deadline(), status.Event{Kind: status.Tick})
	done := s.read(t)
	assert.True(t, done.Settled())
}

func TestBoardWritesAtMostOnceASecondAndRefreshes(t *testing.T) {
	s := &shelf{}
	b := newBoard("a")
	s.run(b, epoch, status.Event{Kind: status.Gained, Fence: 1})
	for i := range 1000 {
		now := epoch.Add(time.Duration(i) * 5 * time.Millisecond)
		s.run(b, now, status.Event{Kind: status.Accept, Service: "agenda", Accepted: accepted(uint64(i))})
	}
	assert.LessOrEqual(t, len(s.calls), 6, "five seconds, and the read before the first write")
	before := len(s.calls)
	for i := range 60 {
		s.run(b, epoch.Add(time.Minute+time.Duration(i)*time.Second), status.Event{Kind: status.Requested, Service: "agenda", Host: "a", Outcomes: status.Outcomes{Answered: uint64(i)}})
	}
	assert.Len(t, s.calls, before+2, "counts of requests wait for the refresh")
}

// The holder is paused, another one takes the lease and writes the status under
// its fence. The first wakes and writes: its version is old, it reads, sees the
// higher fence and writes nothing more.
func TestBoardGivesWayToALaterHolder(t *testing.T) {
	s := &shelf{}
	old, next := newBoard("a"), newBoard("a")
	s.run(old, epoch, status.Event{Kind: status.Gained, Fence: 1})
	s.run(old, epoch, status.Event{Kind: status.Accept, Service: "agenda", Accepted: accepted(1)})
	s.run(next, epoch, status.Event{Kind: status.Gained, Fence: 2})
	s.run(next, epoch, status.Event{Kind: status.Accept, Service: "agenda", Accepted: accepted(2)})
	for now := epoch; now.Before(epoch.Add(5 * time.Minute)); now = now.Add(time.Second) {
		s.run(old, now, status.Event{Kind: status.Tick})
	}
	assert.Equal(t, uint64(2), s.read(t).Fence)
	assert.Equal(t, uint64(2), s.read(t).Accepted.Number)
	assert.True(t, old.Deadline().IsZero())
}

func TestBoardBacksOffInAnOutage(t *testing.T) {
	s := &shelf{fail: func(object.Call) bool { return true }}
	b := newBoard("a")
	s.run(b, epoch, status.Event{Kind: status.Gained, Fence: 1})
	s.run(b, epoch, status.Event{Kind: status.Accept, Service: "agenda", Accepted: accepted(1)})
	for now := epoch; now.Before(epoch.Add(time.Hour)); now = now.Add(time.Second) {
		s.run(b, now, status.Event{Kind: status.Tick})
	}
	assert.Less(t, len(s.calls), 260, "in an hour")
	s.fail = nil
	s.run(b, b.Deadline(), status.Event{Kind: status.Tick})
	assert.Equal(t, uint64(1), s.read(t).Accepted.Number)
}

func TestRefusalStandsUntilALaterDocumentIsAccepted(t *testing.T) {
	b := newBoard("a")
	refusal := status.Refusal{Version: 25, At: epoch, Count: 1, Findings: finding.List{{Message: "no target"}}}
	b.Handle(epoch, status.Event{Kind: status.Refused, Service: "agenda", Refusal: refusal})
	b.Handle(epoch, status.Event{Kind: status.Accept, Service: "agenda", Accepted: accepted(2)})
	got, _ := b.Status(epoch, "agenda")
	assert.NotNil(t, got.Refused)
	b.Handle(epoch, status.Event{Kind: status.Accept, Service: "agenda", Accepted: accepted(3)})
	got, _ = b.Status(epoch, "agenda")
	assert.Nil(t, got.Refused)
}

func TestStatusIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		long := rapid.SampledFrom([]string{"x", "\x00", "é", "\"", "\u2028"}).Draw(t, "rune")
		n := rapid.IntRange(0, 2000).Draw(t, "entries")
		s := status.Status{Service: "agenda", Refused: &status.Refusal{Count: n}, Waiting: &status.Wait{Of: n}}
		for i := range n {
			s.Lagging = append(s.Lagging, status.Lag{Host: host.Name(fmt.Sprintf("host-%060d", i))})
			s.Waiting.For = append(s.Waiting.For, host.Name(fmt.Sprintf("host-%060d", i)))
			s.Refused.Findings = append(s.Refused.Findings, finding.Finding{Message: strings.Repeat(long, 1000), Path: strings.Repeat(long, 1000)})
		}
		value := s.Encode()
		require.LessOrEqual(t, len(value), status.MaxBytes)
		_, err := status.Decode(value)
		require.NoError(t, err)
	})
}

func ExampleStatus_Text() {
	a := accepted(7)
	s := status.Status{
		Service: "agenda", At: epoch.Add(time.Minute), Holder: "mtl-a-entry-1", Accepted: &a, InForce: 4, Of: 5,
		Lagging:  []status.Lag{{Host: "mtl-c-agenda-2", Number: 6}},
		Waiting:  &status.Wait{Version: 95, Since: epoch.Add(time.Minute), Holding: 4, Of: 5, For: []host.Name{"mtl-c-agenda-2"}},
		Refused:  &status.Refusal{Version: 93, Count: 1, Findings: finding.List{{Position: finding.Position{File: "agenda.yaml", Line: 4, Column: 3}, Category: finding.Missing, Message: "targets[0].dataCentre is missing"}}},
		Outcomes: status.Outcomes{Answered: 1200, NotRun: 3},
	}
	fmt.Print(s.Text(epoch.Add(63 * time.Second)))
	// Output:
	// agenda
	//   accepted:  number 7, digest ca358758f6d2, by marie at 2026-03-02T14:00:00Z
	//   in force:  on 4 of 5
	//     lags:    mtl-c-agenda-2 has number 6
	//   waiting:   version 95, for 3s: 4 of 5 hold it
	//     for:     mtl-c-agenda-2
	//   refused:   version 93, with 1 findings
	//     agenda.yaml:4:3: targets[0].dataCentre is missing (missing)
	//   requests:  1200 answered, 3 not run, 0 unknown
	//   as of:     2026-03-02T14:01:00Z, 3s ago, by mtl-a-entry-1
}

// One change of one service in the largest fleet: each member says that it has
// it in force, and the status is written as often as is due.
func BenchmarkChange(b *testing.B) {
	const members, services = 1640, 39
	board := newBoard()
	for i := range members {
		board.Handle(epoch, status.Event{Kind: status.Joined, Host: host.Name(fmt.Sprintf("host-%d", i))})
	}
	s := &shelf{}
	s.run(board, epoch, status.Event{Kind: status.Gained, Fence: 1})
	for i := range services - 1 {
		board.Handle(epoch, status.Event{Kind: status.Accept, Service: fmt.Sprintf("other-%d", i), Accepted: accepted(1)})
	}
	now, number := epoch, uint64(0)
	for b.Loop() {
		number++
		s.run(board, now, status.Event{Kind: status.Accept, Service: "agenda", Accepted: accepted(number)})
		for i := range members {
			now = now.Add(time.Millisecond)
			name := host.Name(fmt.Sprintf("host-%d", i))
			s.run(board, now, status.Event{Kind: status.Holding, Service: "agenda", Host: name, Number: number})
		}
	}
}
