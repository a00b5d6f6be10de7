package gateway

import (
	"wagtailshelf.example/wagtailshelf/internal/fleet/roster"
)

// Why an entry of the store is not taken for a target's own word.
const (
	doubtMalformed = "malformed"
	doubtService   = "unknownService"
	doubtMoved     = "serviceOrAddressChanged"
	doubtStart     = "startMissing"
)

// named reports whether the configuration names a service. Without a configuration each one may be.
func (g *Gateway) named(service string) bool {
	r := g.config.Load()
	return r == nil || r.config.Service(service) != nil
}

// doubt returns why an entry under the id of a known target may be another writer's; "" if it counts
// as the target's own word. An incarnation keeps its service and its address, and a server that states when it
// started always does, so a change of either is no word of it.
func (g *Gateway) doubt(known, listed roster.Target) string {
	startMissing := listed.Started.IsZero() && !known.Started.IsZero()
	switch {
	case known.Replaced, !g.named(known.Service):
		return "" // what is known may be another writer's as well
	case !moved(known, listed) && startMissing:
		return doubtStart
	case !moved(known, listed):
		return ""
	case !g.named(listed.Service):
		return doubtService
	case known.SameIncarnation(listed), startMissing:
		return doubtMoved
	}
	return ""
}

// moved reports whether two entries under one id name different services or addresses.
func moved(known, listed roster.Target) bool {
	return known.Service != listed.Service || known.Address != listed.Address
}

// doubtTarget applies an entry that is not its target's own word: it names no server to use, and
// changes nothing else that is known. It counts all the same if it remains for longer than an entry
// that its server does not renew: then its server is the one that writes it.
func (g *Gateway) doubtTarget(listed roster.Target, why string) {
	g.missing.found(listed.ID)
	if g.roster.MarkUnreadable(listed.ID) {
		g.log.Warn().Str("event", "targetUnreadable").Str("target", listed.ID).Str("reason", why).
			Str("service", loggedID(listed.Service)).Stringer("address", listed.Address).Msg("")
	}
}
