package platform

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

// DefaultMaxWatch bounds how long a watch waits.
const DefaultMaxWatch = 30 * time.Second

// watchPoll is the interval at which a waiting watch polls the store: a lagging change
// becomes visible without a notification.
const watchPoll = 20 * time.Millisecond

// hostsPrefix is the key prefix of the host list.
const hostsPrefix = "hosts/"

// Config sets up a [Platform]. The zero value is usable.
type Config struct {
	Now      func() time.Time // time.Now if nil
	MaxWatch time.Duration    // DefaultMaxWatch if zero
	Seed     uint64           // seed of the random losses
	Faults   Faults           // faults at the start
}

// Platform is the stand-in service. It is an [http.Handler], safe for
// concurrent use.
type Platform struct {
	cfg Config
	mux *http.ServeMux

	mu           sync.Mutex
	store        store
	faults       Faults
	pendingHosts []hostChange
	rand         *rand.Rand
	changed      chan struct{} // closed at the next change
	counts       callCounts
	writes       rateWindow
	reads        rateWindow
}

// New returns an empty platform.
func New(cfg Config) *Platform {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.MaxWatch == 0 {
		cfg.MaxWatch = DefaultMaxWatch
	}
	p := &Platform{
		cfg:     cfg,
		store:   newStore(),
		faults:  cfg.Faults,
		rand:    rand.New(rand.NewPCG(cfg.Seed, 0)),
		changed: make(chan struct{}),
		counts:  newCallCounts(),
	}
	p.mux = p.routes()
	return p
}

// Get returns an object's current state, regardless of the faults of calls.
func (p *Platform) Get(key object.Key) (object.Object, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyHostChanges(p.cfg.Now())
	return p.store.current(key)
}

// Put writes an object whatever its version, regardless of the faults of calls.
func (p *Platform) Put(key object.Key, value []byte) object.Object {
	p.mu.Lock()
	defer p.mu.Unlock()
	cur, _ := p.store.current(key)
	obj, _ := p.store.write(p.cfg.Now(), key, cur.Version, value)
	p.notify()
	return obj
}

// List returns the current objects with a key prefix, regardless of the faults of calls.
func (p *Platform) List(prefix object.Key) []object.Object {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Now()
	p.applyHostChanges(now)
	return p.store.list(prefix, now)
}

// notify wakes the waiting watches. The caller holds the lock.
func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func hostKey(name string) object.Key {
	return object.Key(hostsPrefix + name)
}

// watch waits, at most for the given time, until an object with the prefix has a
// version above since.
func (p *Platform) watch(ctx context.Context, prefix object.Key, since object.Version, wait time.Duration) ([]object.Object, object.Version) {
	ctx, cancel := context.WithTimeout(ctx, min(wait, p.cfg.MaxWatch))
	defer cancel()
	for {
		objs, next, changed := p.poll(prefix, since)
		if len(objs) > 0 {
			return objs, next
		}
		timer := time.NewTimer(watchPoll)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil, next
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// poll returns the changes that a watch sees now, the version to watch from next, and a
// channel that is closed at the next change.
func (p *Platform) poll(prefix object.Key, since object.Version) ([]object.Object, object.Version, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Now()
	p.applyHostChanges(now)
	if p.faults.MissEvents {
		return nil, since, p.changed
	}
	objs := p.store.changedSince(prefix, since, now.Add(-p.faults.ReadLag))
	next := since
	for _, obj := range objs {
		next = max(next, obj.Version)
	}
	return objs, next, p.changed
}
