package group_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/expert/group"
	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/fleet/lease"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

// platform is one object, with an outage and lost answers.
type platform struct {
	object object.Object
	down   bool
	lose   bool // the answer of the next call, which takes effect
	calls  int
}

func (p *platform) call(c object.Call) object.Reply {
	p.calls++
	r := object.Reply{ID: c.ID, Op: c.Op, Status: object.Done}
	switch {
	case p.down:
		return object.Reply{ID: c.ID, Op: c.Op, Status: object.Unknown}
	case c.Op == object.Put && c.Version != p.object.Version:
		r.Status = object.Conflict
	case c.Op == object.Put:
		p.object = object.Object{Key: c.Key, Version: p.object.Version + 1, Value: c.Value}
	case p.object.Version == 0:
		r.Status = object.NotFound
	}
	r.Object = p.object
	if p.lose {
		p.lose = false
		return object.Reply{ID: c.ID, Op: c.Op, Status: object.Unknown}
	}
	return r
}

// keeper is a former with its platform.
type keeper struct {
	*group.Former
	platform  *platform
	at        time.Duration
	announced []*group.Record
}

func firstRecord(t require.TestingT) *group.Record {
	m, err := expertmap.Even(expertmap.Shape{Layers: 1, Experts: 4, Ranks: 2, Slots: 3})
	require.NoError(t, err)
	return &group.Record{Name: "redaction", Ranks: []host.Name{"a", "b"}, Number: 1, Map: m, Lives: make([]host.Incarnation, 2)}
}

func newKeeper(t require.TestingT, p *platform, fence lease.Fence) *keeper {
	k := &keeper{Former: group.NewFormer(firstRecord(t)), platform: p}
	k.handle(t, group.FormerEvent{Kind: group.FormerMembers, Lives: map[host.Name]host.Incarnation{"a": 1, "b": 1}})
	k.handle(t, group.FormerEvent{Kind: group.FormerHeld, Fence: fence})
	return k
}

func (k *keeper) handle(t require.TestingT, ev group.FormerEvent) {
	for _, a := range k.Handle(start.Add(k.at), ev) {
		switch a.Kind {
		case group.FormerCall:
			k.handle(t, group.FormerEvent{Kind: group.FormerReply, Reply: k.platform.call(a.Call)})
		case group.FormerAnnounce:
			k.announced = append(k.announced, a.Record)
		case group.FormerViolate:
			require.Fail(t, a.Text)
		}
	}
}

func (k *keeper) run(t require.TestingT, d time.Duration) {
	for end := k.at + d; k.at < end; k.at += 100 * time.Millisecond {
		if passed(start.Add(k.at), k.Deadline()) {
			k.handle(t, group.FormerEvent{Kind: group.FormerTick})
		}
	}
}

func TestFormsOnceLivesAreKnown(t *testing.T) {
	p := &platform{}
	k := newKeeper(t, p, 3)
	require.Len(t, k.announced, 1)
	r := k.announced[0]
	assert.Equal(t, uint64(1), r.Epoch)
	assert.Equal(t, lease.Fence(3), r.Fence)
	assert.Equal(t, []host.Incarnation{1, 1}, r.Lives)

	// One host has no sidecar: there is no group to form until it is back.
	k.handle(t, group.FormerEvent{Kind: group.FormerMembers, Lives: map[host.Name]host.Incarnation{"a": 1}})
	k.handle(t, group.FormerEvent{Kind: group.FormerAsked, Epoch: 1})
	require.Len(t, k.announced, 1)
	k.handle(t, group.FormerEvent{Kind: group.FormerMembers, Lives: map[host.Name]host.Incarnation{"a": 1, "b": 2}})
	require.Len(t, k.announced, 2)
	assert.Equal(t, uint64(2), k.announced[1].Epoch)
}

func TestPlatformOutForAnHour(t *testing.T) {
	// The platform goes out in the middle of a switch and stays out for an hour.
	// The switch needs no call, so it ends, and the steps go on. A rank dies
	// meanwhile: the group has to wait for a new epoch, and gets it, with the new
	// map, once the platform is back. Until then calls are few.
	p := &platform{}
	k := newKeeper(t, p, 3)
	next := k.Record().Map.Clone()
	next.Set(0, 0, 2, 1)
	p.down, p.calls = true, 0
	k.handle(t, group.FormerEvent{Kind: group.FormerSwitched, Epoch: 1, Number: 9, Map: next})
	k.run(t, 30*time.Minute)
	k.handle(t, group.FormerEvent{Kind: group.FormerAsked, Epoch: 1})
	k.run(t, 30*time.Minute)
	assert.Less(t, p.calls, 400)
	assert.Len(t, k.announced, 1)

	p.down = false
	k.run(t, time.Minute)
	require.Len(t, k.announced, 2)
	assert.Equal(t, uint64(2), k.announced[1].Epoch)
	assert.True(t, next.Equal(k.announced[1].Map))
}

func TestFormersAgree(t *testing.T) {
	// Two processes hold the lease in turn; answers get lost and the platform goes
	// out. Whatever they announce for an epoch is one record, and the one that the
	// platform held.
	rapid.Check(t, func(t *rapid.T) {
		p := &platform{}
		keepers := []*keeper{newKeeper(t, p, 1), newKeeper(t, p, 1)}
		fence := lease.Fence(1)
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			i := rapid.IntRange(0, 1).Draw(t, "keeper")
			k := keepers[i]
			switch rapid.SampledFrom([]string{"take", "ask", "switch", "lose", "down", "up", "wait"}).Draw(t, "event") {
			case "take":
				fence++
				k.handle(t, group.FormerEvent{Kind: group.FormerHeld, Fence: fence})
			case "ask":
				k.handle(t, group.FormerEvent{Kind: group.FormerAsked, Epoch: k.Record().Epoch})
			case "switch":
				n := k.Record().Number + 1
				k.handle(t, group.FormerEvent{Kind: group.FormerSwitched, Epoch: k.Record().Epoch, Number: n, Map: k.Record().Map})
			case "lose":
				p.lose = true
			case "down":
				p.down = true
			case "up":
				p.down = false
			case "wait":
				k.run(t, 3*time.Second)
			}
		}
		p.down = false
		for _, k := range keepers {
			k.run(t, time.Minute)
		}
		assertOneRecordAnEpoch(t, append(keepers[0].announced, keepers[1].announced...))
	})
}

func assertOneRecordAnEpoch(t *rapid.T, announced []*group.Record) {
	byEpoch := map[uint64]*group.Record{}
	for _, r := range announced {
		if first, ok := byEpoch[r.Epoch]; ok {
			assert.Equal(t, first.Fence, r.Fence, "epoch %d", r.Epoch)
			assert.Equal(t, first.Lives, r.Lives, "epoch %d", r.Epoch)
			continue
		}
		byEpoch[r.Epoch] = r
	}
}

func FuzzDecodeRecord(f *testing.F) {
	r := firstRecord(f)
	b, err := r.Encode()
	require.NoError(f, err)
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		got, err := group.DecodeRecord(b)
		if err != nil {
			return
		}
		again, err := got.Encode()
		require.NoError(t, err)
		_, err = group.DecodeRecord(again)
		require.NoError(t, err)
	})
}
