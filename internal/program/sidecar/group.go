package sidecar

import (
	"wagtailshelf.example/wagtailshelf/internal/program/rank"
)

// newGroup returns the membership of this host's engine in an expert group, or nil if
// there can be none: a plain service has no experts, and without the platform there is
// no document that assigns the host to a group.
func (s *Sidecar) newGroup() *rank.Member {
	if !s.cfg.Model || s.cfg.Platform == nil {
		return nil
	}
	return rank.NewMember(rank.MemberConfig{
		Peers:    s.peers,
		Platform: s.cfg.Platform,
		Engine:   s.target,
		Log:      s.cfg.Log,
		Metrics:  s.cfg.Metrics,
	})
}
