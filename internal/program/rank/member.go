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

// MemberConfig sets up a [Member].
type MemberConfig struct {
	Peers    *peer.Config // with the identity of this process
	Platform *platform.Client
	Engine   *engine.Client
	Log      *log.Logger
	Metrics  *metrics.Set

	// Landing, Heartbeat and Duty change times; zero takes the defaults.
	Landing   time.Duration
	Heartbeat time.Duration
	Duty      planner.Config
}

// Member is what a process does for the group that its host is in, if any: the
// rank's part and the planning, with the connections to the other ranks' hosts.
// It follows the documents that come in force.
type Member struct {
	cfg   MemberConfig
	links *links
	parts atomic.Pointer[parts]
	next  chan *parts
}

// parts are a host's duties in one group.
type parts struct {
	service, group string
	rank           *Rank
	planner        *programplanner.Planner
}

// NewMember returns a member that does nothing before [Member.Run] and a document
// that puts its host into a group.
func NewMember(cfg MemberConfig) *Member {
	dropped := cfg.Metrics.GetOrCreateCounter("wagtailshelf_group_messages_undelivered_total")
	return &Member{cfg: cfg, links: newLinks(cfg.Peers, dropped), next: make(chan *parts, 1)}
}

// OnControl takes in a message of another process; those of other duties are left
// alone. It does not block.
func (m *Member) OnControl(from *peer.Conn, c frame.Control) {
	m.deliver(from.Peer().Name, c)
}

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

// send passes a message to a host of the group, which may be this one.
func (m *Member) send(to host.Name, c frame.Control) {
	if to == m.cfg.Peers.Identity.Name {
		m.deliver(to, c)
		return
	}
	m.links.send(to, c)
}

// Install puts a document in force, under the number that it was accepted with.
// One at a time, with rising numbers.
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
	m.links.route(addresses)
	p := m.parts.Load()
	if p == nil || p.service != d.Service || p.group != t.Group {
		p = m.join(d.Service, t)
		m.replace(p)
	}
	p.planner.Install(d)
	p.rank.Install(ctx, number, d)
}

// leave ends the host's part in a group of a service whose document no longer
// names the host.
func (m *Member) leave(service string) {
	if p := m.parts.Load(); p != nil && p.service == service {
		m.replace(nil)
	}
}

func (m *Member) replace(p *parts) {
	m.parts.Store(p)
	select {
	case <-m.next: // parts that were never begun
	default:
	}
	m.next <- p
}

// target returns this host's target if it has a rank in a group.
func (m *Member) target(d *document.Document) *document.Target {
	for i := range d.Targets {
		if t := &d.Targets[i]; t.Host == m.cfg.Peers.Identity.Name && t.Group != "" {
			return t
		}
	}
	return nil
}

func (m *Member) join(service string, t *document.Target) *parts {
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
			Engine: m.cfg.Engine, Log: m.cfg.Log, Metrics: m.cfg.Metrics, Send: m.send, Duty: m.cfg.Duty,
		}),
	}
}

// Run takes part until ctx ends.
func (m *Member) Run(ctx context.Context) error {
	defer m.links.close()
	var g run.Group
	for _, duty := range []func(context.Context) error{m.serve, m.links.tidy} {
		ctx, stop := context.WithCancel(ctx)
		g.Add(func() error { return duty(ctx) }, func(error) { stop() })
	}
	return g.Run()
}

// serve runs the parts of the group that the host is in.
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

// start runs the parts; the returned function ends them and awaits their end.
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

// MemberState is the group's part of a dump.
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
