// Package documents keeps the active documents in a process of either role: those
// that the platform's store has under documents/.
//
// A document is accepted once the store has written it, so processes have nothing to
// agree on. Each follows the store independently, with bounded watches and a read
// after each; package internal/record/watch explains why an older version never
// follows a newer one.
package documents

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
	"wagtailshelf.example/wagtailshelf/internal/record/watch"
	"wagtailshelf.example/wagtailshelf/internal/wire/platform"
)

const (
	prefix object.Key   = document.ObjectKind + "/"
	cause  object.Cause = "documents"

	// maxDocuments bounds the services that are followed. It is two hundred times the
	// 39 models that an installation is expected to have in two years.
	maxDocuments = 8192
)

// Document is the text of a document that became active.
type Document struct {
	Service string
	Number  uint64 // the version of the platform's object
	Text    []byte
}

// Config sets up [Documents].
type Config struct {
	Platform *platform.Client
	Log      *log.Logger
	Metrics  *metrics.Set

	// OnActive is called with each document that becomes active, one at a time and
	// with increasing numbers for each service. It must not block for long.
	OnActive func(Document)
}

// State is the state of one document in a dump.
type State struct {
	Service string          `json:"service"`
	Number  uint64          `json:"number"`
	Digest  document.Digest `json:"digest"`
}

// Documents follows the documents in the platform's store.
type Documents struct {
	cfg         Config
	activations *metrics.Counter
	start       time.Time
	readAt      atomic.Int64 // time of the last successful read in nanoseconds after start; 0 before the first

	mu     sync.Mutex
	active map[string]State
}

// New returns a Documents that knows no document before [Documents.Run] runs.
func New(cfg Config) *Documents {
	d := &Documents{cfg: cfg, start: time.Now(), active: make(map[string]State)}
	d.activations = cfg.Metrics.NewCounter("wagtailshelf_documents_in_force_total")
	cfg.Metrics.NewGauge("wagtailshelf_documents_age_seconds", func() float64 {
		return d.Age(time.Now()).Seconds()
	})
	return d
}

// Loaded reports whether all documents that were applied before the process started are
// known. Before that, a service without a known document may still have one.
func (d *Documents) Loaded() bool { return d.readAt.Load() > 0 }

// Age returns the time since the documents were last read from the platform, or since
// the process started if they were never read. While the platform is out, a process
// continues to serve with the documents that it has, and Age shows how old they are.
func (d *Documents) Age(now time.Time) time.Duration {
	return now.Sub(d.start.Add(time.Duration(d.readAt.Load())))
}

// Run follows the documents until ctx ends.
func (d *Documents) Run(ctx context.Context) error {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	follower := watch.New(watch.Config{Prefix: prefix, Cause: cause, Limit: maxDocuments}, rng)
	d.cfg.Platform.Follow(ctx, follower, prefix, d.changed, d.markUpToDate)
	return context.Cause(ctx)
}

// markUpToDate records that the known documents are the current ones of the store.
func (d *Documents) markUpToDate() {
	first := !d.Loaded()
	d.readAt.Store(max(1, int64(time.Since(d.start))))
	if first {
		d.cfg.Log.Info().Int("documents", len(d.States())).Msg("read all documents")
	}
}

// changed activates the documents that were written.
func (d *Documents) changed(objects []object.Object) {
	for _, o := range objects {
		if o.Value == nil {
			// A document deleted by mistake would make its service unavailable to its
			// callers at once, so it stays active until the process ends.
			d.cfg.Log.Warn().Str("service", o.Key.Name()).Uint64("number", uint64(o.Version)).
				Msg("document deleted; the one before stays in force")
			continue
		}
		d.activate(Document{
			Service: o.Key.Name(), Number: uint64(o.Version),
			Text: []byte(document.DecodeSubmission(o.Value).Text),
		})
	}
}

func (d *Documents) activate(doc Document) {
	digest := document.DigestOf(doc.Text)
	d.cfg.OnActive(doc)
	d.mu.Lock()
	d.active[doc.Service] = State{Service: doc.Service, Number: doc.Number, Digest: digest}
	d.mu.Unlock()
	d.activations.Inc()
	d.cfg.Log.Info().Str("service", doc.Service).Uint64("number", doc.Number).Str("digest", digest.String()).
		Msg("document in force")
}

// States returns the known documents, ordered by service.
func (d *Documents) States() []State {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]State, 0, len(d.active))
	for _, s := range d.active {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b State) int { return cmp.Compare(a.Service, b.Service) })
	return out
}
