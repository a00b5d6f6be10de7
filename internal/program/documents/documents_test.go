package documents_test

import (
	"context"
	"io"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/program/documents"
	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
	standin "wagtailshelf.example/wagtailshelf/internal/standin/platform"
	"wagtailshelf.example/wagtailshelf/internal/wire/platform"
)

const bound = 20 * time.Second

// process follows the documents of a stand-in, and keeps what came in force.
type process struct {
	*documents.Documents
	t      *testing.T
	client *platform.Client
	mu     sync.Mutex
	in     []documents.Document
}

// follow starts a process that follows a platform.
func follow(t *testing.T, p *standin.Platform) *process {
	t.Helper()
	server := httptest.NewServer(p)
	client := platform.New(platform.Config{URL: server.URL, Watch: 200 * time.Millisecond})
	f := &process{t: t, client: client}
	f.Documents = documents.New(documents.Config{
		Platform: client, Metrics: metrics.NewSet(), Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
		InForce: func(d documents.Document) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.in = append(f.in, d)
		},
	})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		<-done
		client.Close()
		server.Close()
	})
	return f
}

func (f *process) texts() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, d := range f.in {
		out = append(out, d.Service+" "+string(d.Text))
	}
	return out
}

// requireInForce waits until these came in force, in this order and no others.
func (f *process) requireInForce(want ...string) {
	f.t.Helper()
	require.Eventually(f.t, func() bool { return len(f.texts()) >= len(want) }, bound, time.Millisecond)
	require.Equal(f.t, want, f.texts())
}

func put(p *standin.Platform, service, text string) uint64 {
	return uint64(p.Put(document.Key(service), []byte(text)).Version)
}

func TestFollowsWhatIsApplied(t *testing.T) {
	p := standin.New(standin.Config{})
	put(p, "agenda", "one")
	f := follow(t, p)
	f.requireInForce("agenda one")
	require.Eventually(t, f.Learnt, bound, time.Millisecond)
	number := put(p, "agenda", "two")
	f.requireInForce("agenda one", "agenda two")
	require.Eventually(t, func() bool {
		s := f.States()
		return len(s) == 1 && s[0].Number == number && s[0].Digest == document.DigestOf([]byte("two"))
	}, bound, time.Millisecond)
}

// The platform is out when a process starts. The process is not ready, since it would
// tell callers of a service that has a document that there is none; it is, once the
// platform is back.
func TestIsNotReadyBeforeItHasRead(t *testing.T) {
	p := standin.New(standin.Config{Faults: standin.Faults{Outage: true}})
	put(p, "agenda", "one")
	f := follow(t, p)
	time.Sleep(50 * time.Millisecond) // some calls are refused by then; nothing depends on how many
	require.False(t, f.Learnt())
	p.SetFaults(standin.Faults{})
	f.requireInForce("agenda one")
	require.Eventually(t, f.Learnt, bound, time.Millisecond)
}

// The platform goes out. The process stays ready with what it knows, and its age tells
// operators how long it may have missed a change.
func TestServesOnWhileThePlatformIsOut(t *testing.T) {
	p := standin.New(standin.Config{})
	put(p, "agenda", "one")
	f := follow(t, p)
	f.requireInForce("agenda one")
	p.SetFaults(standin.Faults{Outage: true})
	put(p, "agenda", "two")
	require.Eventually(t, func() bool { return f.Age(time.Now()) > 500*time.Millisecond }, bound, time.Millisecond)
	require.True(t, f.Learnt())
	p.SetFaults(standin.Faults{})
	f.requireInForce("agenda one", "agenda two")
	require.Eventually(t, func() bool { return f.Age(time.Now()) < 500*time.Millisecond }, bound, time.Millisecond)
}

// Reads show an older state than the watch has told of. A process that went back to it
// would let callers in again whose key was withdrawn.
func TestNeverGoesBack(t *testing.T) {
	p := standin.New(standin.Config{})
	put(p, "agenda", "one")
	f := follow(t, p)
	f.requireInForce("agenda one")
	put(p, "agenda", "two")
	f.requireInForce("agenda one", "agenda two")
	p.SetFaults(standin.Faults{ReadLag: time.Minute})
	time.Sleep(time.Second) // several watches and reads
	f.requireInForce("agenda one", "agenda two")
}

// Somebody deletes a document. Its callers are served as before, until the process
// ends: a slip must not take a service away at once.
func TestDeletedDocumentStaysInForce(t *testing.T) {
	p := standin.New(standin.Config{})
	put(p, "agenda", "one")
	f := follow(t, p)
	f.requireInForce("agenda one")
	there, _ := p.Get(document.Key("agenda"))
	gone := f.client.Do(t.Context(), object.Call{Op: object.Delete, Key: there.Key, Version: there.Version, Cause: "test"})
	require.Equal(t, object.Done, gone.Status)
	put(p, "redaction", "other")
	f.requireInForce("agenda one", "redaction other")
	require.Len(t, f.States(), 2)
}
