package companion

import (
	"context"
	"errors"
	"net"
	"net/netip"

	"github.com/ansel1/merry/v2"

	"wagtailshelf.example/wagtailshelf/internal/wire/rankport"
)

// refresh reads what the store says of the service.
func (p *planner) refresh(ctx context.Context) {
	config, err := p.c.store.Config(ctx)
	if err != nil {
		return // logged by the count of calls; the next round tries again
	}
	if s := config.Service(p.c.settings.Target.Service); s != nil {
		p.engine = s.Engine
		p.gapAim = gapAim(config, s.Name)
	}
	targets, err := p.c.store.Servers(ctx, p.c.malformed)
	if err != nil {
		return
	}
	p.seats = p.seats[:0]
	for _, t := range targets {
		if t.Service != p.c.settings.Target.Service {
			continue
		}
		p.seats = append(p.seats, &seat{
			target:  t.ID,
			engine:  t.Address,
			sidecar: netip.AddrPortFrom(t.Address.Addr(), p.c.settings.Listen.Peers.Port()),
		})
	}
}

func (c *Companion) malformed(name string, err error) {
	c.log.Error().Str("event", "malformed").Str("object", name).Err(err).Msg("")
}

// seatRanks finds out which server is which rank.
func (p *planner) seatRanks(ctx context.Context) ([]*seat, error) {
	if len(p.seats) == 0 || p.engine == nil {
		p.refresh(ctx)
	}
	if p.engine == nil || p.engine.Layers == 0 {
		return nil, merry.Wrap(errIncomplete, merry.AppendMessage("the service is not known"))
	}
	seen, errs := p.ask(ctx, p.seats, func(int) rankport.Look { return rankport.Look{} })
	if err := errors.Join(errs...); errors.Is(err, rankport.ErrSuperseded) {
		return nil, err
	}
	var ranks, silent []*seat
	for i, v := range seen {
		r := v.Report
		switch {
		case errs[i] != nil && isSilent(errs[i]):
			silent = append(silent, p.seats[i])
		case r.Group != p.group || r.Ranks == 0:
		default:
			if ranks == nil {
				ranks = make([]*seat, r.Ranks)
			}
			if r.Rank < len(ranks) {
				ranks[r.Rank] = p.seats[i]
			}
		}
	}
	if ranks == nil {
		return nil, merry.Wrap(errIncomplete, merry.AppendMessage("no rank of the group"))
	}
	return seatSilent(ranks, silent, errors.Join(errs...))
}

// seatSilent gives the ranks that are missing to the servers that don't answer: a host
// may stand still and its group go on. Which of them is which rank can't be told, nor
// does it matter while none is asked for more than a sign of life. One that is not
// listed any more, since it could not renew its entry, gets a seat without an address.
func seatSilent(ranks, silent []*seat, err error) ([]*seat, error) {
	missing := 0
	for _, s := range ranks {
		if s == nil {
			missing++
		}
	}
	if missing > mayBeLost(len(ranks)) || missing < len(silent) && missing > 0 {
		return nil, merry.Wrap(errIncomplete, merry.AppendMessagef("%d of %d ranks are missing: %v", missing, len(ranks), err))
	}
	for rank, s := range ranks {
		switch {
		case s != nil:
			continue
		case len(silent) > 0:
			ranks[rank], silent = silent[0], silent[1:]
		default:
			ranks[rank] = &seat{}
		}
		ranks[rank].lost.Store(true)
	}
	return ranks, nil
}

// isSilent tells whether a server did not answer in time. One that refuses the
// connection is dead, and its group breaks.
func isSilent(err error) bool {
	var failure net.Error
	return errors.Is(err, errNoAnswer) || errors.Is(err, context.DeadlineExceeded) || errors.As(err, &failure) && failure.Timeout()
}
