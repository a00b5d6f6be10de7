package acceptance

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/fleet/lease"
	"wagtailshelf.example/wagtailshelf/internal/fleet/member"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

// Dump is the state of a process as operators see it.
type Dump struct {
	Self      host.Identity  `json:"self"`
	Work      bool           `json:"takesNewWork"`
	WorkLeft  time.Duration  `json:"workLeftNanoseconds"` // how long it may take new work if it hears no more
	Members   []MemberDump   `json:"members"`
	Documents []DocumentDump `json:"documents"`
	Lease     LeaseDump      `json:"lease"`
	Changes   []ChangeDump   `json:"changes,omitempty"` // of the holder
}

// MemberDump is one member as this process sees it.
type MemberDump struct {
	Identity host.Identity `json:"identity"`
	State    string        `json:"state"`
}

// DocumentDump is one service's document at this process.
type DocumentDump struct {
	Service  string `json:"service"`
	Number   Number `json:"number"`
	Digest   Digest `json:"digest"`
	Bytes    int    `json:"bytes"`
	Accepted Number `json:"accepted"` // the highest number known
	Stage    string `json:"stage,omitempty"`
	InDoubt  bool   `json:"inDoubt,omitempty"`
	Refusal  string `json:"refusal,omitempty"`
	Reading  bool   `json:"reading,omitempty"` // a text is being read
}

// LeaseDump is the acceptance lease at this process.
type LeaseDump struct {
	Held   bool        `json:"held"`
	Fence  lease.Fence `json:"fence"`
	Holder host.Name   `json:"holder"` // as last read
}

// ChangeDump is what the holder is doing about one service.
type ChangeDump struct {
	Service string         `json:"service"`
	Phase   string         `json:"phase"`
	Desired object.Version `json:"desiredVersion"`
	Holding int            `json:"holding"` // members that hold the text
}

var phaseNames = [...]string{"idle", "storing", "staging", "spreading", "accepting", "archiving"}

var stateNames = [...]string{"", "alive", "leaving", "suspect", "left"}

// StateName returns the name of a member's state.
func StateName(s member.State) string { return stateNames[s] }

// Dump returns the state of the process at now.
func (p *Process) Dump(now time.Time) Dump {
	until := p.WorkUntil()
	holder, fence := p.lease.Holder()
	d := Dump{
		Self:  p.cfg.Member.Self,
		Work:  now.Before(until),
		Lease: LeaseDump{Held: p.lease.Holds(now), Fence: fence, Holder: holder},
	}
	if d.Work {
		d.WorkLeft = until.Sub(now)
	}
	for _, r := range p.members.Records() {
		d.Members = append(d.Members, MemberDump{Identity: r.Identity, State: StateName(r.State)})
	}
	for _, service := range p.replica.services() {
		d.Documents = append(d.Documents, p.replica.copies[service].dump())
	}
	d.Changes = p.Changes()
	return d
}

// Changes returns what this process does about the services as the holder.
func (p *Process) Changes() []ChangeDump {
	var out []ChangeDump
	for _, service := range p.holder.services() {
		j := p.holder.jobs[service]
		out = append(out, ChangeDump{Service: service, Phase: phaseNames[j.phase], Desired: j.desired, Holding: len(j.ids)})
	}
	return out
}

func (c *copyOf) dump() DocumentDump {
	d := DocumentDump{
		Service:  c.service,
		Number:   c.inForce.Number,
		Digest:   c.inForce.Digest,
		Bytes:    len(c.inForce.Text),
		Accepted: c.accepted,
		InDoubt:  c.doubtful(),
		Refusal:  c.refusal,
		Reading:  c.fetch.active(),
	}
	if c.stage != 0 && !c.stage.isClosed() {
		d.Stage = c.stage.String()
	}
	return d
}
