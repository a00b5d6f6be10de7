package gateway

import (
	"net/netip"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/traffic/admission"
	"wagtailshelf.example/wagtailshelf/internal/traffic/quarantine"
	"wagtailshelf.example/wagtailshelf/internal/traffic/ratelimit"
)

// What targets and the platform take from all entries together is divided here, by what
// planners tell of how many entries there are.

const (
	// assumedEntries share what all entries may send together while nobody tells how many
	// there are, or more if somebody did before. The largest deployment has 16.
	assumedEntries = 16
)

// sharers is how many entries a bound for all of them together is divided by: as many as
// the planner hears, and a quarter more, since some may not reach it. While none tells, as
// many as one told of last: when all assumed the same, a deployment with more sent more than
// all may as soon as its planners were gone.
func (g *Gateway) sharers(now time.Time) float64 {
	told, known := g.planners.entries(now)
	if !known {
		return max(assumedEntries, withUnheard(g.planners.remembered()))
	}
	return withUnheard(told)
}

func withUnheard(entries int) float64 { return float64(entries)*5/4 + 1 }

// senders are the entries among which the rate of a target in need is divided.
func (g *Gateway) senders(now time.Time) ratelimit.Senders {
	if told, known := g.planners.senders(now); known {
		return told
	}
	return ratelimit.Senders{Count: g.sharers(now)}
}

// trialTurn is how many entries may let a held request in for a trial before this one.
func (g *Gateway) trialTurn(f quarantine.Fingerprint) int {
	if told, known := g.planners.senders(time.Now()); known {
		return quarantine.Turn(f, told.Place, int(told.Count))
	}
	return quarantine.TurnByName(string(g.settings.Name), f)
}

// limits of a service.
func (g *Gateway) limits(service string) admission.Rules {
	r := g.rules.Load()
	if r == nil {
		return admission.Rules{}
	}
	now := time.Now()
	rules := admission.Rules{PerTarget: plainPerTarget, Queue: queueLength, Entries: 1, Senders: g.senders(now)}
	s := r.config.Service(service)
	if s == nil {
		return rules
	}
	// Of a plain target each entry uses its share of the connections, as it knows nothing of
	// the others' requests: the target resets what is beyond them, and what runs there.
	connections := s.MaxConnections
	if s.Engine != nil {
		rules.PerTarget = max(int(slotShare*float64(s.Engine.Slots)), 1)
		rules.Entries = guessedEntries
		if told, known := g.planners.entries(now); known {
			rules.Entries = told
		}
	} else {
		connections = int(float64(connections) / g.sharers(now))
	}
	if s.MaxConnections > 0 {
		rules.PerTarget = max(min(rules.PerTarget, connections), 1)
	}
	return rules
}

// idleConnections is how many connections to a target are kept without a request: the entry's
// share of what the target takes from all of them, half of which is left to those with one.
func (g *Gateway) idleConnections(target netip.AddrPort) int {
	r := g.rules.Load()
	if r == nil {
		return 0
	}
	s := r.config.Service(g.roster.At(target))
	if s == nil || s.MaxConnections == 0 {
		return plainPerTarget
	}
	return int(idleShare * float64(s.MaxConnections) / g.sharers(time.Now()))
}

// idleShare is the part of a target's connections that may be idle.
const idleShare = 0.5

const (
	// slotShare is the part of an engine's slots that is used until a planner tells
	// how many. All ranks of a group wait for each other, and each request that
	// writes makes the pass of all longer.
	slotShare = 0.67
	// plainPerTarget is how many requests of this entry a plain service's target has.
	plainPerTarget = 6
	// queueLength bounds the memory of waiting requests.
	queueLength = 400
	// guessedEntries is taken until a planner tells how many there are.
	guessedEntries = 4
)
