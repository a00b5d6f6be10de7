// Package documents keeps, in a process of either role, the documents in force:
// those that the platform's store has under documents/.
//
// The store's answer to whoever applies a document is its acceptance, so there is
// nothing to agree on between processes. Each follows the store by itself, with
// watches that are bounded and reads after each; see package internal/record/watch
// for why no older version follows a newer one.
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

	// maxDocuments bounds the services that are followed: two hundred times as many
	// as the 39 models that an installation is to have in two years.
	maxDocuments = 8192
)

// Document is a text that came in force.
type Document struct {
	Service string
	Number  uint64 // the platform's version of it
	Text    []byte
}

// Config sets up [Documents].
type Config struct {
	Platform *platform.Client
	Log      *log.Logger
	Metrics  *metrics.Set

	// InForce is called with each document that comes in force, one at a time and
	// with rising numbers of a service. It must not block for long.
	InForce func(Document)
}

// State is what a dump shows of one document.
type State struct {
	Service string          `json:"service"`
	Number  uint64          `json:"number"`
	Digest  document.Digest `json:"digest"`
}

// Documents follows the documents.
type Documents struct {
	cfg    Config
	taken  *metrics.Counter
	start  time.Time
	readAt atomic.Int64 // nanoseconds after start, of the last read that succeeded; 0 before

	mu    sync.Mutex
	known map[string]State
}

// New returns documents of which none is known before [Documents.Run].
func New(cfg Config) *Documents {
	d := &Documents{cfg: cfg, start: time.Now(), known: make(map[string]State)}
	d.taken = cfg.Metrics.NewCounter("wagtailshelf_documents_in_force_total")
	cfg.Metrics.NewGauge("wagtailshelf_documents_age_seconds", func() float64 {
		return d.Age(time.Now()).Seconds()
	})
	return d
}

// Learnt tells whether all documents that were applied when the process started are
// known. Before, a service that is not known may well have a document.
func (d *Documents) Learnt() bool { return d.readAt.Load() > 0 }

// Age is the time since the documents were last read from the platform, or since the
// process started. While the platform is out a process serves on with what it knows,
// and this is what tells how old that is.
func (d *Documents) Age(now time.Time) time.Duration {
	return now.Sub(d.start.Add(time.Duration(d.readAt.Load())))
}

// Run follows the documents until ctx ends.
func (d *Documents) Run(ctx context.Context) error {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	follower := watch.New(watch.Config{Prefix: prefix, Cause: cause, Limit: maxDocuments}, rng)
	d.cfg.Platform.Follow(ctx, follower, prefix, d.changed, d.current)
	return context.Cause(ctx)
}

// current notes that what is known is the state of now.
func (d *Documents) current() {
	first := !d.Learnt()
	d.readAt.Store(max(1, int64(time.Since(d.start))))
	if first {
		d.cfg.Log.Info().Int("documents", len(d.States())).Msg("documents learnt")
	}
}

func (d *Documents) changed(objects []object.Object) {
	for _, o := range objects {
		if o.Value == nil {
			// Whoever deletes a document by a slip would take the service from its
			// callers at once. It stays in force until the process ends.
			d.cfg.Log.Warn().Str("service", o.Key.Name()).Uint64("number", uint64(o.Version)).
				Msg("document deleted; the one before stays in force")
			continue
		}
		d.take(Document{
			Service: o.Key.Name(), Number: uint64(o.Version),
			Text: []byte(document.DecodeSubmission(o.Value).Text),
		})
	}
}

func (d *Documents) take(doc Document) {
	digest := document.DigestOf(doc.Text)
	d.cfg.InForce(doc)
	d.mu.Lock()
	d.known[doc.Service] = State{Service: doc.Service, Number: doc.Number, Digest: digest}
	d.mu.Unlock()
	d.taken.Inc()
	d.cfg.Log.Info().Str("service", doc.Service).Uint64("number", doc.Number).Str("digest", digest.String()).
		Msg("document in force")
}

// States returns the documents that are known, by service.
func (d *Documents) States() []State {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]State, 0, len(d.known))
	for _, s := range d.known {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b State) int { return cmp.Compare(a.Service, b.Service) })
	return out
}
