package role

import (
	"context"

	"wagtailshelf.example/wagtailshelf/internal/program/process"
	"wagtailshelf.example/wagtailshelf/internal/program/sidecar"
	"wagtailshelf.example/wagtailshelf/internal/record/document"
)

func runSidecar(ctx context.Context, b *base) error {
	client := b.platform()
	defer client.Close()
	s, err := sidecar.New(b.opening, sidecar.Config{
		Identity:   b.identity,
		Listen:     b.settings.Listen.Peers,
		Target:     b.settings.Target.Address,
		Model:      b.settings.Target.Kind == document.Model,
		Keys:       b.keys,
		Log:        b.log,
		Metrics:    b.metrics,
		DrainBound: b.settings.Drain.Bound,
		Memory:     b.resources.Memory,
		Platform:   client,
	})
	if err != nil {
		return err
	}
	b.log.Info().Str("event", "listening").Str("listener", "peers").Stringer("address", s.Addr()).Msg("")
	return b.serve(ctx, &process.Program{
		Run:   s.Run,
		Drain: s.Drain,
		Admin: &process.Admin{
			Ready: func() bool { return !s.Leaving() },
			Dump:  func(ctx context.Context) (any, error) { return s.State(ctx) },
		},
	})
}
