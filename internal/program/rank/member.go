package rank

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oklog/run"
	"github.com/phuslu/log"

	"wagtailshelf.example/wagtailshelf/internal/expert/planner"
	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	programplanner "wagtailshelf.example/wagtailshelf/internal/program/planner"
	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/wire/engine"
	"wagtailshelf.example/wagtailshelf/internal/wire/frame"
	"wagtailshelf.example/wagtailshelf/internal/wire/peer"
	"wagtailshelf.example/wagtailshelf/internal/wire/platform"
)

// MemberConfig configures a [Member].
type MemberConfig struct {
	Peers    *peer.Config // has the identity of this process
	Platform *platform.Client
	Engine   *engine.Client
	Log      *log.Logger
	Metrics  *metrics.Set

	// Landing and Heartbeat are those of [Config], and Planning has the times of the
	// planner. Zero means the default.
	Landing   time.Duration
	Heartbeat time.Duration
	Planning  planner.Config
}

// Member is the membership of a host in an expert group, if it is in one: the host's
// rank and its planner, with the connections to the hosts of the other ranks. The
// active documents determine the group.
type Member struct {
	cfg   MemberConfig
	links *links
	parts atomic.Pointer[parts]
	next  chan *parts
}

// parts are the rank and the planner of a host in one group.
type parts struct {
	service, group string
	rank           *Rank
	planner        *programplanner.Planner
}

// NewMember returns a member. It does nothing before [Member.Run] and before a document
// assigns its host to a group.
func NewMember(cfg MemberConfig) *Member {
	dropped := cfg.Metrics.GetOrCreateCounter("wagtailshelf_group_messages_undelivered_total")
	return &Member{cfg: cfg, links: newLinks(cfg.Peers, dropped), next: make(chan *parts, 1)}
}

// OnControl handles a control message of another process; messages on topics of other
// packages are ignored. It does not block.
func (m *Member) OnControl(from *peer.Conn, c frame.Control) {
	m.deliver(from.Peer().Name, c)
}

// deliver passes a control message to the rank and the planner, by its topic.
func (m *Member) deliver(from host.Name, c frame.Control) {
	p := m.parts.Load()
	if p == nil {
		return
	}
	switch c.Topic {
	case frame.TopicGroup:
		p.rank.Deliver(from, c)
		p.planner.Deliver(from, c)
	case frame.TopicPlan:
		p.planner.Deliver(from, c)
	}
}

// send sends a message to a host of the group, which may be this one.
func (m *Member) send(to host.Name, c frame.Control) {
	if to == m.cfg.Peers.Identity.Name {
		m.deliver(to, c)
		return
	}
	m.links.send(to, c)
}

// Install activates a document under the number that it was accepted with. Calls must
// not overlap, and the numbers must rise.
func (m *Member) Install(ctx context.Context, number uint64, d *document.Document) {
	t := m.target(d)
	if t == nil {
		m.leave(d.Service)
		return
	}
	addresses := make(map[host.Name]netip.AddrPort)
	for _, other := range d.Targets {
		if other.Group == t.Group {
			addresses[other.Host] = other.Address
		}
	}
	m.links.setAddresses(addresses)
	p := m.parts.Load()
	if p == nil || p.service != d.Service || p.group != t.Group {
		p = m.newParts(d.Service, t)
		m.replace(p)
	}
	p.planner.Install(d)
	p.rank.Install(ctx, number, d)
}

// leave ends the host's membership in a group of a service whose document no longer
// lists the host.
func (m *Member) leave(service string) {
	if p := m.parts.Load(); p != nil && p.service == service {
		m.replace(nil)
	}
}

// replace makes serve stop the current parts and start p, if it is not nil.
func (m *Member) replace(p *parts) {
	m.parts.Store(p)
	select {
	case <-m.next: // parts that were never started
	default:
	}
	m.next <- p
}

// target returns this host's target if it has a rank in a group, and nil otherwise.
func (m *Member) target(d *document.Document) *document.Target {
	for i := range d.Targets {
		if t := &d.Targets[i]; t.Host == m.cfg.Peers.Identity.Name && t.Group != "" {
			return t
		}
	}
	return nil
}

// newParts returns the rank and the planner for a target's group.
func (m *Member) newParts(service string, t *document.Target) *parts {
	identity := m.cfg.Peers.Identity
	return &parts{
		service: service,
		group:   t.Group,
		rank: New(Config{
			Identity: identity, Service: service, Group: t.Group, Platform: m.cfg.Platform, Engine: m.cfg.Engine,
			Log: m.cfg.Log, Metrics: m.cfg.Metrics, Send: m.send, Landing: m.cfg.Landing, Heartbeat: m.cfg.Heartbeat,
		}),
		planner: programplanner.New(programplanner.Config{
			Identity: identity, Service: service, Group: t.Group, Rank: uint16(t.Rank), Platform: m.cfg.Platform,
			Engine: m.cfg.Engine, Log: m.cfg.Log, Metrics: m.cfg.Metrics, Send: m.send, Planning: m.cfg.Planning,
		}),
	}
}

// Run runs the member until ctx ends.
func (m *Member) Run(ctx context.Context) error {
	defer m.links.close()
	var g run.Group
	for _, actor := range []func(context.Context) error{m.serve, m.links.closeIdle} {
		ctx, stop := context.WithCancel(ctx)
		g.Add(func() error { return actor(ctx) }, func(error) { stop() })
	}
	return g.Run()
}

// serve runs the parts of the current group, and replaces them when the group changes.
func (m *Member) serve(ctx context.Context) error {
	stop := func() {}
	defer func() { stop() }()
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case p := <-m.next:
			stop()
			stop = func() {}
			if p != nil {
				stop = p.start(ctx)
			}
		}
	}
}

// start starts the parts; the returned function stops them and waits for their end.
func (p *parts) start(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan error, 2)
	go func() { ended <- p.rank.Run(ctx) }()
	go func() { ended <- p.planner.Run(ctx) }()
	return func() {
		cancel()
		<-ended
		<-ended
	}
}

// MemberState is the state of a group in a dump.
type MemberState struct {
	Rank    State                `json:"rank"`
	Planner programplanner.State `json:"planner"`
}

// State returns the state of the host's group, or nil if it is in none.
func (m *Member) State(ctx context.Context) (*MemberState, error) {
	p := m.parts.Load()
	if p == nil {
		return nil, nil
	}
	r, err := p.rank.State(ctx)
	if err != nil {
		return nil, err
	}
	s, err := p.planner.State(ctx)
	if err != nil {
		return nil, err
	}
	return &MemberState{Rank: r, Planner: s}, nil
}
