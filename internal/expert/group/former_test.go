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

// platform is a stand-in that holds a record and a lease. It can be down, and lose
// answers.
type platform struct {
	record object.Object
	fence  lease.Fence
	down   bool
	lose   bool // the answer of the next call is lost; the call takes effect
	calls  int
}

func (p *platform) call(c object.Call) object.Reply {
	p.calls++
	r := object.Reply{ID: c.ID, Op: c.Op, Status: object.Done}
	switch {
	case p.down:
		return object.Reply{ID: c.ID, Op: c.Op, Status: object.Unknown}
	case c.Key == formerKeys.Lease:
		r.Object.Value = lease.Record{Fence: p.fence}.Encode()
		return r
	case c.Op == object.Put && c.Version != p.record.Version:
		r.Status = object.Conflict
	case c.Op == object.Put:
		p.record = object.Object{Key: c.Key, Version: p.record.Version + 1, Value: c.Value}
	case p.record.Version == 0:
		r.Status = object.NotFound
	}
	r.Object = p.record
	if p.lose {
		p.lose = false
		return object.Reply{ID: c.ID, Op: c.Op, Status: object.Unknown}
	}
	return r
}

var formerKeys = group.EpochFormerConfig{Record: "groups/s/redaction", Lease: "leases/plan/s/redaction"}

// keeper is a former with its platform. Its calls end at once.
type keeper struct {
	*group.EpochFormer
	platform  *platform
	elapsed   time.Duration
	announced []*group.Record // the records sent to rank a
	queue     []object.Reply  // of calls, not handled yet
}

func desired(t require.TestingT, document uint64, names ...host.Name) *group.Record {
	m, err := expertmap.Even(expertmap.Shape{Layers: 1, Experts: 4, Ranks: len(names), Slots: 4})
	require.NoError(t, err)
	return &group.Record{Name: "redaction", Document: document, Ranks: names, Map: m}
}

func newKeeper(t require.TestingT, p *platform) *keeper {
	k := &keeper{EpochFormer: group.NewFormer(formerKeys), platform: p}
	k.handle(t, group.EpochFormerEvent{Kind: group.EpochFormerDesired, Record: desired(t, 1, "a", "b")})
	return k
}

func (k *keeper) handle(t require.TestingT, ev group.EpochFormerEvent) {
	k.apply(t, k.Handle(start.Add(k.elapsed), ev))
	for len(k.queue) > 0 {
		r := k.queue[0]
		k.queue = k.queue[1:]
		k.apply(t, k.Handle(start.Add(k.elapsed), group.EpochFormerEvent{Kind: group.EpochFormerReply, Reply: r}))
	}
}

func (k *keeper) apply(t require.TestingT, actions []group.EpochFormerAction) {
	for _, a := range actions {
		switch a.Kind {
		case group.EpochFormerCall:
			k.queue = append(k.queue, k.platform.call(a.Call))
		case group.EpochFormerSend:
			require.NoError(t, a.Message.Check())
			if a.To == "a" {
				k.announced = append(k.announced, a.Message.Record)
			}
		case group.EpochFormerViolate:
			require.Fail(t, a.Text)
		}
	}
}

func (k *keeper) alive(t require.TestingT, from host.Name, incarnation host.Incarnation, epoch uint64) {
	k.send(t, group.Heartbeat, from, incarnation, epoch)
}

func (k *keeper) send(t require.TestingT, kind group.MessageKind, from host.Name, incarnation host.Incarnation, epoch uint64) {
	m := group.Message{Kind: kind, Group: "redaction", Epoch: epoch, Incarnation: incarnation}
	k.handle(t, group.EpochFormerEvent{Kind: group.EpochFormerReceived, From: from, Message: m})
}

// run advances the time while both ranks send heartbeats.
func (k *keeper) run(t require.TestingT, d time.Duration) {
	for end := k.elapsed + d; k.elapsed < end; k.elapsed += 100 * time.Millisecond {
		if k.elapsed%(5*time.Second) == 0 {
			k.alive(t, "a", 1, k.epoch())
			k.alive(t, "b", 1, k.epoch())
		}
		if due(start.Add(k.elapsed), k.Deadline()) {
			k.handle(t, group.EpochFormerEvent{Kind: group.EpochFormerTick})
		}
	}
}

func (k *keeper) epoch() uint64 {
	if k.Record() == nil {
		return 0
	}
	return k.Record().Epoch
}

func TestFormsOnceSidecarsAreKnown(t *testing.T) {
	k := newKeeper(t, &platform{fence: 3})
	k.alive(t, "a", 1, 0)
	assert.Empty(t, k.announced, "rank b has no sidecar")
	k.alive(t, "b", 1, 0)
	require.Len(t, k.announced, 1)
	r := k.announced[0]
	assert.Equal(t, uint64(1), r.Epoch)
	assert.Equal(t, lease.Fence(3), r.Fence)
	assert.Equal(t, []host.Incarnation{1, 1}, r.Incarnations)

	// The sidecar of b restarts and asks for a new epoch, which names its new
	// incarnation.
	k.send(t, group.EpochRequest, "b", 2, 1)
	require.Len(t, k.announced, 2)
	assert.Equal(t, uint64(2), k.announced[1].Epoch)
	assert.Equal(t, []host.Incarnation{1, 2}, k.announced[1].Incarnations)

	// A request to replace an epoch that has been replaced is answered with the
	// record.
	k.send(t, group.EpochRequest, "a", 1, 1)
	require.Len(t, k.announced, 3)
	assert.Equal(t, uint64(2), k.announced[2].Epoch)
}

func TestDocumentChangesRanks(t *testing.T) {
	// A newer document replaces host b by host c. An older document, which another
	// process may still have, must not bring the old host back.
	k := newKeeper(t, &platform{})
	k.run(t, time.Second)
	k.handle(t, group.EpochFormerEvent{Kind: group.EpochFormerDesired, Record: desired(t, 2, "a", "c")})
	k.alive(t, "c", 7, 0)
	last := k.announced[len(k.announced)-1]
	assert.Equal(t, uint64(2), last.Epoch)
	assert.Equal(t, []host.Name{"a", "c"}, last.Ranks)
	k.handle(t, group.EpochFormerEvent{Kind: group.EpochFormerDesired, Record: desired(t, 1, "a", "b")})
	k.run(t, time.Minute)
	assert.Equal(t, uint64(2), k.Record().Epoch)
}

func TestPlatformOutForAnHour(t *testing.T) {
	// The platform is down for an hour, and a rank asks for a new epoch meanwhile.
	// The group gets the epoch once the platform is back. Until then the former
	// makes few calls, and a rank that has lost the record still gets it. (A switch
	// needs no platform call, so it can end during the outage.)
	p := &platform{}
	k := newKeeper(t, p)
	k.run(t, time.Second)
	require.Len(t, k.announced, 1)
	p.down, p.calls = true, 0
	k.run(t, 30*time.Minute)
	k.send(t, group.EpochRequest, "b", 1, 1)
	k.run(t, 30*time.Minute)
	assert.Less(t, p.calls, 400)
	assert.Equal(t, uint64(1), k.Record().Epoch)
	k.alive(t, "a", 1, 0)
	assert.Equal(t, uint64(1), k.announced[len(k.announced)-1].Epoch)

	p.down = false
	k.run(t, time.Minute)
	assert.Equal(t, uint64(2), k.announced[len(k.announced)-1].Epoch)
}

func TestFormersAgree(t *testing.T) {
	// Two hosts form a group at the same time, while answers get lost and the
	// platform goes down. All records that they announce for an epoch have to be
	// the same, the one that the platform held.
	rapid.Check(t, func(t *rapid.T) {
		p := &platform{}
		keepers := []*keeper{newKeeper(t, p), newKeeper(t, p)}
		incarnation := host.Incarnation(1)
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			k := keepers[rapid.IntRange(0, 1).Draw(t, "keeper")]
			switch rapid.SampledFrom([]string{"fence", "restart", "ask", "lose", "down", "up", "wait"}).Draw(t, "event") {
			case "fence":
				p.fence++
			case "restart":
				incarnation++
				k.alive(t, "b", incarnation, k.epoch())
			case "ask":
				k.send(t, group.EpochRequest, "a", 1, k.epoch())
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
			require.Equal(t, first.Fence, r.Fence, "epoch %d", r.Epoch)
			require.Equal(t, first.Incarnations, r.Incarnations, "epoch %d", r.Epoch)
			continue
		}
		byEpoch[r.Epoch] = r
	}
}

func FuzzDecodeRecord(f *testing.F) {
	r := desired(f, 1, "a", "b")
	r.Incarnations = []host.Incarnation{1, 1}
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
