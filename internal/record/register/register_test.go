package register_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/fleet/member"
	"wagtailshelf.example/wagtailshelf/internal/record/acceptance"
	"wagtailshelf.example/wagtailshelf/internal/record/finding"
	"wagtailshelf.example/wagtailshelf/internal/record/history"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
	"wagtailshelf.example/wagtailshelf/internal/record/register"
	"wagtailshelf.example/wagtailshelf/internal/record/status"
)

var epoch = time.Date(2026, 3, 2, 14, 0, 0, 0, time.UTC)

// shelf is a platform without faults; those are tested in history and status.
type shelf struct {
	objects map[object.Key]object.Object
	version object.Version
}

func newShelf() *shelf { return &shelf{objects: make(map[object.Key]object.Object)} }

func (s *shelf) do(c object.Call) object.Reply {
	r := object.Reply{ID: c.ID, Op: c.Op, Status: object.Done, Object: s.objects[c.Key]}
	switch {
	case c.Op == object.List:
		for k, o := range s.objects {
			if strings.HasPrefix(string(k), string(c.Key)) {
				r.Objects = append(r.Objects, o)
			}
		}
	case c.Op == object.Get && r.Object.Version == 0:
		r.Status = object.NotFound
	case c.Op == object.Put && r.Object.Version != c.Version:
		r.Status = object.Conflict
	case c.Op == object.Put:
		s.version++
		r.Object = object.Object{Key: c.Key, Version: s.version, Value: c.Value}
		s.objects[c.Key] = r.Object
	}
	return r
}

// run hands events to a register, and the replies to its calls, and lets a
// minute pass.
func (s *shelf) run(r *register.Register, now time.Time, events ...register.Event) time.Time {
	end := now.Add(time.Minute)
	for {
		for len(events) > 0 {
			actions := r.Handle(now, events[0])
			events = events[1:]
			for _, a := range actions {
				if a.Kind == register.Call {
					events = append(events, register.Event{Kind: register.Answered, Reply: s.do(a.Call)})
				}
			}
		}
		at := r.Deadline()
		if at.IsZero() || at.After(end) {
			return end
		}
		now = at
		events = append(events, register.Event{Kind: register.Tick})
	}
}

func (s *shelf) status(t *testing.T) status.Status {
	t.Helper()
	got, err := status.Decode(s.objects[status.Key("agenda")].Value)
	require.NoError(t, err)
	return got
}

func (s *shelf) history(t *testing.T) []history.Entry {
	t.Helper()
	var segments []object.Object
	for k, o := range s.objects {
		if k.Kind() == history.ObjectKind {
			segments = append(segments, o)
		}
	}
	entries, err := history.Read(segments)
	require.NoError(t, err)
	return entries
}

func acted(a acceptance.Action) register.Event {
	return register.Event{Kind: register.Acted, Action: a}
}

func inForce(number acceptance.Number, text string) register.Event {
	return acted(acceptance.Action{Kind: acceptance.InForce, Document: acceptance.Document{
		Service: "agenda", Number: number, Digest: acceptance.DigestOf([]byte(text)), Text: []byte(text),
	}})
}

func accepted(number acceptance.Number, text string) register.Event {
	return acted(acceptance.Action{Kind: acceptance.Accepted, Service: "agenda", Entry: acceptance.Entry{
		Number: number, Digest: acceptance.DigestOf([]byte(text)), Author: "marie", AcceptedAt: epoch,
		DocumentVersion: object.Version(10 * number), Holder: "a", Fence: 2,
	}})
}

// learned is what an entry tells the fleet of its requests.
func learned(name host.Name, answered uint64) register.Event {
	counts := map[string]status.Outcomes{"agenda": {Answered: answered}, "other": {NotRun: 1}}
	facts := register.OutcomeFacts(epoch, name, 3, counts)
	return acted(acceptance.Action{Kind: acceptance.Learned, Fact: facts[0]})
}

func gained() register.Event { return acted(acceptance.Action{Kind: acceptance.Gained, Fence: 2}) }

func joined(name host.Name, state member.State) register.Event {
	return acted(acceptance.Action{Kind: acceptance.Changed, Record: member.Record{
		Identity: host.Identity{Name: name}, State: state,
	}})
}

func newRegister(self host.Name) *register.Register {
	return register.New(self, rand.New(rand.NewPCG(1, 1)))
}

func TestHolderRecordsWhatItAccepts(t *testing.T) {
	s, r := newShelf(), newRegister("a")
	now := s.run(r, epoch, joined("b", member.Alive), joined("c", member.Suspect), gained())
	now = s.run(r, now, register.Event{Kind: register.Moved, Changes: []acceptance.ChangeDump{
		{Service: "agenda", Phase: "spreading", Desired: 10, Holding: 2},
	}}, acted(acceptance.Action{Kind: acceptance.Waiting, Service: "agenda", Names: []host.Name{"c"}}),
		register.Event{Kind: register.Moved, Changes: []acceptance.ChangeDump{
			{Service: "agenda", Phase: "spreading", Desired: 10, Holding: 2},
		}})
	got := s.status(t)
	require.NotNil(t, got.Waiting)
	assert.Equal(t, []host.Name{"c"}, got.Waiting.For)
	assert.Equal(t, 3, got.Waiting.Of)

	now = s.run(r, now, inForce(1, "one\n"), accepted(1, "one\n"),
		register.Event{Kind: register.Holding, Service: "agenda", Host: "b", Number: 1},
		learned("b", 5), learned("c", 2))
	got = s.status(t)
	assert.Nil(t, got.Waiting)
	assert.Equal(t, "marie", got.Accepted.By)
	assert.Equal(t, []status.Lag{{Host: "c", Silent: true}}, got.Lagging)
	assert.Equal(t, uint64(7), got.Outcomes.Answered)

	s.run(r, now, joined("c", member.Left))
	got = s.status(t)
	assert.True(t, got.Settled())
	assert.Equal(t, 2, got.Of)
	entries := s.history(t)
	require.Len(t, entries, 1)
	assert.Equal(t, "one\n", string(entries[0].Text))
	assert.Equal(t, "marie", entries[0].By)
}

// Host c does not answer while number 2 is accepted, and is named as silent once
// it surely takes no new work. It answers again; by the bound it has learnt the number, or takes no new work, so
// it is counted from then on and not before.
func TestAMemberIsCountedOnlyAfterTheBound(t *testing.T) {
	s, r := newShelf(), newRegister("a")
	now := s.run(r, epoch, gained(), joined("b", member.Alive), joined("c", member.Alive), inForce(1, "one\n"), accepted(1, "one\n"))
	require.Empty(t, s.status(t).Lagging)
	for _, ev := range []register.Event{joined("c", member.Suspect), {Kind: register.Tick}} {
		r.Handle(now, ev)
	}
	got, _ := r.Status(now, "agenda")
	assert.Zero(t, got.Silent, "it may still take work")
	now = s.run(r, now, inForce(2, "two\n"), accepted(2, "two\n"))
	assert.Equal(t, []status.Lag{{Host: "c", Number: 1, Silent: true}}, s.status(t).Lagging)

	r.Handle(now, joined("c", member.Alive))
	bound := member.Config{Timeout: member.DefaultTimeout}.Bound()
	r.Handle(now.Add(bound-time.Millisecond), register.Event{Kind: register.Tick})
	got, _ = r.Status(now, "agenda")
	assert.Equal(t, 2, got.InForce)
	assert.False(t, got.Settled())
	r.Handle(now.Add(bound), register.Event{Kind: register.Tick})
	got, _ = r.Status(now, "agenda")
	assert.Equal(t, 3, got.InForce)
}

func TestTheTextIsKeptWhicheverComesFirst(t *testing.T) {
	s, r := newShelf(), newRegister("a")
	now := s.run(r, epoch, gained(), accepted(1, "one\n"), inForce(1, "one\n"))
	s.run(r, now, inForce(2, "two\n"), accepted(2, "two\n"))
	entries := s.history(t)
	require.Len(t, entries, 2)
	for i, text := range []string{"one\n", "two\n"} {
		assert.Equal(t, text, string(entries[i].Text))
		assert.Equal(t, "marie", entries[i].By)
	}
}

// The holder accepts number 2 and dies before the history has it. The next
// holder has the text in force and adds it; who applied it stands in the record
// of the acceptance, and both together answer the auditor.
func TestTheNextHolderCompletesTheHistory(t *testing.T) {
	s, first, next := newShelf(), newRegister("a"), newRegister("b")
	s.run(first, epoch, gained(), inForce(1, "one\n"), accepted(1, "one\n"))
	for _, ev := range []register.Event{inForce(1, "one\n"), inForce(2, "two\n")} {
		s.run(next, epoch, ev)
	}
	assert.Len(t, s.history(t), 1, "a process without the lease writes nothing")
	s.run(next, epoch, acted(acceptance.Action{Kind: acceptance.Gained, Fence: 3}))
	archived := s.history(t)
	require.Len(t, archived, 2)
	record := register.EntryOf(accepted(2, "two\n").Action.Entry)
	merged, err := history.Merge(archived, []history.Entry{record})
	require.NoError(t, err)
	assert.Equal(t, "marie", merged[1].By)
	assert.Equal(t, "two\n", string(merged[1].Text))
}

// The holder loses the lease while it waits for a member, and gains it again
// after another one has accepted the document. Its own part still lists what it
// had begun. The status must not show a wait that nobody is in.
func TestALostLeaseEndsTheWait(t *testing.T) {
	s, r := newShelf(), newRegister("a")
	begun := register.Event{Kind: register.Moved, Changes: []acceptance.ChangeDump{
		{Service: "agenda", Phase: "accepting", Desired: 10, Holding: 1},
	}}
	now := s.run(r, epoch, gained(), begun)
	require.NotNil(t, s.status(t).Waiting)
	lost := acted(acceptance.Action{Kind: acceptance.Lost})
	regained := acted(acceptance.Action{Kind: acceptance.Gained, Fence: 4})
	now = s.run(r, now, lost)
	now = s.run(r, now, regained)
	assert.Nil(t, s.status(t).Waiting, "nothing has begun again")
	now = s.run(r, now, begun, lost, inForce(1, "one\n"), begun)
	s.run(r, now, regained)
	assert.Nil(t, s.status(t).Waiting, "another holder has accepted it")
}

func TestRefusalsAreInTheStatus(t *testing.T) {
	s, r := newShelf(), newRegister("a")
	now := s.run(r, epoch, gained(), acted(acceptance.Action{
		Kind: acceptance.Rejected, Service: "agenda", Version: 30, Findings: finding.List{{Message: "no route"}},
	}))
	assert.Equal(t, "no route", s.status(t).Refused.Findings[0].Message)
	s.run(r, now, acted(acceptance.Action{
		Kind: acceptance.Rejected, Service: "agenda", Version: 31, Names: []host.Name{"c"}, Reason: "unknown key",
	}))
	assert.Equal(t, "c: unknown key", s.status(t).Refused.Findings[0].Message)
}

// A member that has an older document in force for a moment must not refuse a
// change against it; the holder compares.
func TestOnlyTheHolderComparesWithTheDocumentInForce(t *testing.T) {
	example, err := os.ReadFile("../../../examples/agenda.yaml")
	require.NoError(t, err)
	text := string(example)
	dangerous := []byte(strings.Replace(text, "idempotent: false", "idempotent: true", 1))
	s, r := newShelf(), newRegister("a")
	s.run(r, epoch, inForce(1, text))
	assert.Empty(t, r.Check("agenda", dangerous))
	assert.NotEmpty(t, r.Check("redaction", dangerous), "a document under another service's key")
	s.run(r, epoch, gained())
	list := r.Check("agenda", dangerous)
	require.Len(t, list, 1)
	assert.Equal(t, finding.Unsafe, list[0].Category)
	taken := []byte(strings.Replace(text, "service: agenda", "service: other", 1))
	list = r.Check("other", taken)
	require.Len(t, list, 1)
	assert.Equal(t, finding.Duplicate, list[0].Category)
	s.run(r, epoch, acted(acceptance.Action{Kind: acceptance.Lost}))
	assert.Empty(t, r.Check("agenda", dangerous))
}

func TestOutcomeFactsFitTheirBoundsAndOddOnesAreLeftOut(t *testing.T) {
	counts := make(map[string]status.Outcomes)
	for i := range 39 {
		name := fmt.Sprintf("service-%055d", i)
		counts[name] = status.Outcomes{Answered: 1 << 63, NotRun: 1 << 63, Unknown: 1 << 63}
	}
	facts := register.OutcomeFacts(epoch, host.Name(strings.Repeat("h", 63)), 340, counts)
	assert.Len(t, facts, 5)
	for _, f := range facts {
		require.NoError(t, f.Check())
	}
	r := newRegister("a")
	for _, f := range []member.Fact{
		{Key: "outcomes/"}, {Key: "outcomes//0"}, {Key: "outcomes/b/0", Value: []byte{0xff}},
		{Key: "outcomes/b/0", Value: []byte("\x81\x84\x63../\x01\x01\x01")}, {Key: "another/b/0"},
	} {
		r.Handle(epoch, acted(acceptance.Action{Kind: acceptance.Learned, Fact: f}))
	}
	_, known := r.Status(epoch, "../")
	assert.False(t, known)
}

func TestTwoDigestsUnderOneNumberAreAViolation(t *testing.T) {
	s, r := newShelf(), newRegister("a")
	s.run(r, epoch, gained(), inForce(1, "one\n"), accepted(1, "one\n"))
	other := newRegister("b")
	s.run(other, epoch, inForce(1, "another\n"))
	var violations []error
	events := []register.Event{acted(acceptance.Action{Kind: acceptance.Gained, Fence: 3})}
	for len(events) > 0 {
		actions := other.Handle(epoch, events[0])
		events = events[1:]
		for _, a := range actions {
			switch a.Kind {
			case register.Violate:
				violations = append(violations, a.Err)
			case register.Call:
				events = append(events, register.Event{Kind: register.Answered, Reply: s.do(a.Call)})
			}
		}
	}
	require.Len(t, violations, 1)
	require.ErrorIs(t, violations[0], history.ErrTwoDigests)
	assert.Len(t, s.history(t), 1)
}
