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

// process follows the documents of a stand-in, and records which became active.
type process struct {
	*documents.Documents
	t         *testing.T
	client    *platform.Client
	mu        sync.Mutex
	activated []documents.Document
}

// follow starts a process that follows a platform.
func follow(t *testing.T, p *standin.Platform) *process {
	t.Helper()
	server := httptest.NewServer(p)
	client := platform.New(platform.Config{URL: server.URL, Watch: 200 * time.Millisecond})
	f := &process{t: t, client: client}
	f.Documents = documents.New(documents.Config{
		Platform: client, Metrics: metrics.NewSet(), Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
		OnActive: func(d documents.Document) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.activated = append(f.activated, d)
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
	for _, d := range f.activated {
		out = append(out, d.Service+" "+string(d.Text))
	}
	return out
}

// requireActivated waits until these documents became active, in this order and no others.
func (f *process) requireActivated(want ...string) {
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
	f.requireActivated("agenda one")
	require.Eventually(t, f.Loaded, bound, time.Millisecond)
	number := put(p, "agenda", "two")
	f.requireActivated("agenda one", "agenda two")
	require.Eventually(t, func() bool {
		s := f.States()
		return len(s) == 1 && s[0].Number == number && s[0].Digest == document.DigestOf([]byte("two"))
	}, bound, time.Millisecond)
}

// The platform is out when a process starts. The process is not ready, since it would
// respond to callers that a service is unknown although it has a document. It becomes
// ready once the platform is back.
func TestIsNotReadyBeforeItHasRead(t *testing.T) {
	p := standin.New(standin.Config{Faults: standin.Faults{Outage: true}})
	put(p, "agenda", "one")
	f := follow(t, p)
	time.Sleep(50 * time.Millisecond) // enough for some refused calls; nothing depends on how many
	require.False(t, f.Loaded())
	p.SetFaults(standin.Faults{})
	f.requireActivated("agenda one")
	require.Eventually(t, f.Loaded, bound, time.Millisecond)
}

// The platform goes out. The process stays ready with the documents that it has, and Age
// shows operators for how long it may have missed a change.
func TestServesOnWhileThePlatformIsOut(t *testing.T) {
	p := standin.New(standin.Config{})
	put(p, "agenda", "one")
	f := follow(t, p)
	f.requireActivated("agenda one")
	p.SetFaults(standin.Faults{Outage: true})
	put(p, "agenda", "two")
	require.Eventually(t, func() bool { return f.Age(time.Now()) > 500*time.Millisecond }, bound, time.Millisecond)
	require.True(t, f.Loaded())
	p.SetFaults(standin.Faults{})
	f.requireActivated("agenda one", "agenda two")
	require.Eventually(t, func() bool { return f.Age(time.Now()) < 500*time.Millisecond }, bound, time.Millisecond)
}

// Reads return an older state than the watch has already reported. A process that went
// back to the older state would accept callers again whose key was revoked.
func TestNeverGoesBack(t *testing.T) {
	p := standin.New(standin.Config{})
	put(p, "agenda", "one")
	f := follow(t, p)
	f.requireActivated("agenda one")
	put(p, "agenda", "two")
	f.requireActivated("agenda one", "agenda two")
	p.SetFaults(standin.Faults{ReadLag: time.Minute})
	time.Sleep(time.Second) // several watches and reads
	f.requireActivated("agenda one", "agenda two")
}

// A document is deleted. Its callers are served as before until the process ends, because
// a deletion by mistake must not make a service unavailable at once.
func TestDeletedDocumentStaysInForce(t *testing.T) {
	p := standin.New(standin.Config{})
	put(p, "agenda", "one")
	f := follow(t, p)
	f.requireActivated("agenda one")
	there, _ := p.Get(document.Key("agenda"))
	gone := f.client.Do(t.Context(), object.Call{Op: object.Delete, Key: there.Key, Version: there.Version, Cause: "test"})
	require.Equal(t, object.Done, gone.Status)
	put(p, "redaction", "other")
	f.requireActivated("agenda one", "redaction other")
	require.Len(t, f.States(), 2)
}
