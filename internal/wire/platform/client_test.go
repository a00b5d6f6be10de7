package platform_test

import (
	"context"
	"math/rand/v2"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/record/budget"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
	"wagtailshelf.example/wagtailshelf/internal/record/watch"
	standin "wagtailshelf.example/wagtailshelf/internal/standin/platform"
	"wagtailshelf.example/wagtailshelf/internal/wire/platform"
)

// largeBudget is a budget that no test exhausts by accident.
var largeBudget = budget.Config{Rate: 100000, Burst: 100000}

func start(t *testing.T, sc standin.Config, cc platform.Config) (*standin.Platform, *platform.Client) {
	t.Helper()
	p := standin.New(sc)
	srv := httptest.NewServer(p)
	t.Cleanup(srv.Close)
	cc.URL = srv.URL
	if cc.Budget.Rate == 0 {
		cc.Budget = largeBudget
	}
	c := platform.New(cc)
	t.Cleanup(c.Close)
	return p, c
}

func TestObjects(t *testing.T) {

	p, c := start(t, standin.Config{}, platform.Config{})
	put := func(key object.Key, v object.Version, value string) object.Reply {
		return c.Do(ctx, object.Call{ID: 7, Op: object.Put, Key: key, Version: v, Value: []byte(value), Cause: "test"})
	}
	first := put("documents/agenda", 0, "one")
	require.Equal(t, object.Done, first.Status, "%v", first.Err)
	assert.Equal(t, uint64(7), first.ID)

	again := put("documents/agenda", 0, "two")
	assert.Equal(t, object.Conflict, again.Status)
	assert.Equal(t, "one", string(again.Object.Value))

	second := put("documents/agenda", first.Object.Version, "two")
	require.Equal(t, object.Done, second.Status)
	assert.Greater(t, second.Object.Version, first.Object.Version)

	got := c.Do(ctx, object.Call{Op: object.Get, Key: "documents/agenda"})
	assert.Equal(t, second.Object, got.Object)
	assert.Equal(t, object.NotFound, c.Do(ctx, object.Call{Op: object.Get, Key: "documents/none"}).Status)

	put("leases/x", 0, "")
	list := c.Do(ctx, object.Call{Op: object.List, Key: "documents/"})
	assert.Equal(t, []object.Object{got.Object}, list.Objects)

	gone := c.Do(ctx, object.Call{Op: object.Delete, Key: "documents/agenda", Version: second.Object.Version})
	assert.Equal(t, object.Done, gone.Status)
	_, ok := p.Get("documents/agenda")
	assert.False(t, ok)
	assert.Contains(t, p.Calls(), standin.Calls{Cause: "test", Op: "put", Count: 4})
}

func TestWatch(t *testing.T) {

	p, c := start(t, standin.Config{}, platform.Config{Watch: 50 * time.Millisecond})
	old := p.Put("documents/a", []byte("old"))

	objs, next, err := c.Watch(ctx, "documents/", 0)
	require.NoError(t, err)
	assert.Equal(t, []object.Object{old}, objs)
	assert.Equal(t, old.Version, next)

	objs, next, err = c.Watch(ctx, "documents/", next)
	require.NoError(t, err)
	assert.Empty(t, objs)
	assert.Equal(t, old.Version, next)
}

// The follower loads the objects that the platform has, and reports a later change
// without another explicit read.
func TestFollow(t *testing.T) {
	p, c := start(t, standin.Config{}, platform.Config{Watch: time.Second})
	first := p.Put("documents/a", []byte("one"))
	f := watch.New(watch.Config{Prefix: "documents/", Cause: "documents"}, rand.New(rand.NewPCG(1, 0)))
	followCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	changes := make(chan object.Object, 10)
	current := make(chan struct{}, 100)
	go c.Follow(followCtx, f, "documents/", func(objs []object.Object) {
		for _, o := range objs {
			changes <- o
		}
	}, func() { current <- struct{}{} })
	assert.Equal(t, first, <-changes)
	<-current
	second := p.Put("documents/a", []byte("two"))
	assert.Equal(t, second, <-changes)
}

func BenchmarkGet(b *testing.B) {
	p := standin.New(standin.Config{})
	p.Put("documents/a", make([]byte, 8<<10))
	srv := httptest.NewServer(p)
	defer srv.Close()
	c := platform.New(platform.Config{URL: srv.URL, Budget: budget.Config{Rate: 1e9, Burst: 1e9}})
	defer c.Close()
	b.ReportAllocs()
	for b.Loop() {
		if reply := c.Do(ctx, object.Call{Op: object.Get, Key: "documents/a"}); reply.Status != object.Done {
			b.Fatal(reply.Err)
		}
	}
}
