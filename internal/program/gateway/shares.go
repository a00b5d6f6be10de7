package gateway

import (
	"net/netip"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/traffic/admission"
	"wagtailshelf.example/wagtailshelf/internal/traffic/quarantine"
	"wagtailshelf.example/wagtailshelf/internal/traffic/ratelimit"
)

// This file divides the limits that hold for all entries together by the number of entries,
// as planners report it.

const (
	// assumedEntries is the number of entries that is assumed while no planner reports one,
	// unless a larger one was reported before.
	assumedEntries = 16
)

// sharingEntries returns by how many entries a bound for all of them together is divided: the most
// that planners reported recently, and a quarter more, since some may not reach any planner. An
// entry that drains, is cut off, or has sent no heartbeat to a new planner yet is not in the number
// of the moment, and has its part of the bound all the same.
func (g *Gateway) sharingEntries(now time.Time) float64 {
	most := withUnreported(g.planners.mostEntryCount())
	if _, known := g.planners.entries(now); !known {
		return max(assumedEntries, most)
	}
	return most
}

func withUnreported(entries int) float64 { return float64(entries)*5/4 + 1 }

// senders returns the entries among which the rate of a rate-limited target is divided.
func (g *Gateway) senders(now time.Time) ratelimit.Senders {
	if reported, known := g.planners.senders(now); known {
		return reported
	}
	return ratelimit.Senders{Count: g.sharingEntries(now)}
}

// probeTurn returns how many entries may admit a quarantined request as a probe before this
// one.
func (g *Gateway) probeTurn(f quarantine.Fingerprint) int {
	if reported, known := g.planners.senders(time.Now()); known {
		return quarantine.Turn(f, reported.Index, int(reported.Count))
	}
	return quarantine.TurnByName(string(g.settings.Name), f)
}

// limits returns the admission limits of a service.
func (g *Gateway) limits(service string) admission.Limits {
	r := g.config.Load()
	if r == nil {
		return admission.Limits{}
	}
	now := time.Now()
	limits := admission.Limits{PerTarget: plainPerTarget, Queue: queueLength, Entries: 1, Senders: g.senders(now)}
	s := r.config.Service(service)
	if s == nil {
		return limits
	}
	// Each entry uses only its share of a plain target's connections, as it knows nothing of
	// the other entries' requests: the target resets connections beyond its maximum, with the
	// requests that run on them.
	connections := s.MaxConnections
	if s.Engine != nil {
		limits.PerTarget = max(int(slotShare*float64(s.Engine.MaxRequests)), 1)
		limits.Entries = defaultEngineEntries
		if reported, known := g.planners.entries(now); known {
			limits.Entries = reported
		}
	} else {
		connections = int(float64(connections) / g.sharingEntries(now))
	}
	if s.MaxConnections > 0 {
		limits.PerTarget = max(min(limits.PerTarget, connections), 1)
	}
	return limits
}

// idleConnections returns how many idle connections to a target are kept: half of the entry's
// share of the target's connections, the other half being left to those with a request.
func (g *Gateway) idleConnections(target netip.AddrPort) int {
	r := g.config.Load()
	if r == nil {
		return 0
	}
	s := r.config.Service(g.roster.ServiceAt(target))
	if s == nil || s.MaxConnections == 0 {
		return plainPerTarget
	}
	return int(idleShare * float64(s.MaxConnections) / g.sharingEntries(time.Now()))
}

// idleShare is the part of a target's connections that may be idle.
const idleShare = 0.5

const (
	// slotShare is the part of an engine's slots that is used until a planner reports the
	// limit. All ranks of a group wait for each other, and each request that generates
	// tokens makes the step of all ranks longer.
	slotShare = 0.67
	// plainPerTarget is how many requests this entry sends to a plain service's target at a
	// time.
	plainPerTarget = 6
	// queueLength bounds the number of queued requests, and so their memory.
	queueLength = 400
	// defaultEngineEntries is the number of entries that share an engine's slots until a
	// planner reports it.
	defaultEngineEntries = 4
)
