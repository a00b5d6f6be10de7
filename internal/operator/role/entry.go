package role

import (
	"context"

	"github.com/labstack/echo/v4"

	"wagtailshelf.example/wagtailshelf/internal/program/entry"
	"wagtailshelf.example/wagtailshelf/internal/program/process"
	"wagtailshelf.example/wagtailshelf/internal/record/budget"
	"wagtailshelf.example/wagtailshelf/internal/wire/platform"
)

func runEntry(ctx context.Context, b *base) error {
	client := b.platform()
	defer client.Close()
	e, err := entry.New(b.opening, entry.Config{
		Identity:     b.identity,
		Callers:      b.settings.Listen.Callers,
		Peers:        b.settings.Listen.Peers,
		Platform:     client,
		Keys:         b.keys,
		Log:          b.log,
		Metrics:      b.metrics,
		DrainDelay:   b.settings.Drain.Delay,
		DrainTimeout: b.settings.Drain.Bound,
		Resources:    b.resources,
	})
	if err != nil {
		return err
	}
	b.log.Info().Str("event", "listening").Str("listener", "callers").Stringer("address", e.Addr()).Msg("")
	return b.serve(ctx, &process.Program{
		Run:   e.Run,
		Drain: e.Drain,
		Admin: &process.Admin{
			Ready: func() bool { return e.Serves(ctx) },
			Dump:  func(ctx context.Context) (any, error) { return e.State(ctx) },
			Mount: func(g *echo.Group) { e.MountAdministration(g, operator) },
		},
	})
}

// operator returns the name of the operator whose token the request was authenticated by.
func operator(c echo.Context) string {
	name, _ := c.Get(process.OperatorKey).(string)
	return name
}

// platform returns a client of the platform with the call budget of the settings.
func (b *base) platform() *platform.Client {
	return platform.New(platform.Config{
		URL:       "http://platform",
		Addresses: b.settings.Platform,
		Budget:    budget.Config{Rate: b.settings.Limits.PlatformCalls},
		Timeout:   b.settings.Timeouts.PlatformCall,
		MaxWait:   b.settings.Timeouts.PlatformTurn,
		Metrics:   b.metrics,
		MaxReply:  min(platform.DefaultMaxReply, int64(replyShare*float64(b.resources.Memory))),
	})
}

// replyShare is the part of the process's memory that one reply of the platform may have: it is there as bytes, and
// decoded, and several calls go on at the same time.
const replyShare = 0.1
