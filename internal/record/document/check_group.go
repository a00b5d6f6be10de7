package document

import (
	"wagtailshelf.example/wagtailshelf/internal/record/finding"
)

// Bounds of a group.
const (
	MaxRanks   = 1024
	MaxLayers  = 1024
	MaxExperts = 4096
	MaxSlots   = 4096
)

var groupRules = []Rule{
	{
		Name:  "group-names",
		Title: "Groups have names, each used once, and stand in documents of kind `model` only.",
		Why:   "Plain services have no experts.",
		check: checkGroupNames,
	},
	{
		Name:  "group-shape",
		Title: "A group has 1 to 1024 ranks, 1 to 1024 layers, 1 to 4096 experts, and slots for each expert at least once.",
		Why:   "An expert without a slot on any rank could not be asked.",
		check: checkGroupShapes,
	},
	{
		Name:  "group-costs",
		Title: "A group's weights are not below zero and not both zero, and its `expertBytes` and `maxBytesPerSecond` are above zero.",
		Why:   "The plan weighs step time against moves; without a rate it can't tell what a move costs.",
		check: checkGroupCosts,
	},
	{
		Name:  "group-ranks",
		Title: "Each rank of each group is one target, and a target with a rank has a group.",
		Why:   "A group runs in lock-step: it does not start without one of its ranks.",
		check: checkGroupRanks,
	},
}

func checkGroupNames(p *pass) {
	if p.Kind == Plain && len(p.Groups) > 0 {
		p.report("groups", finding.Invalid, "a service of kind plain has no groups")
	}
	seen := make(map[string]string)
	for i, g := range p.Groups {
		p.requireName(entryPath("groups", i, "name"), g.Name)
		p.requireUnique(seen, entryPath("groups", i, "name"), g.Name, "group")
	}
}

func checkGroupShapes(p *pass) {
	for i, g := range p.Groups {
		requireBetween(p, entryPath("groups", i, "ranks"), g.Ranks, 1, MaxRanks)
		requireBetween(p, entryPath("groups", i, "layers"), g.Layers, 1, MaxLayers)
		requireBetween(p, entryPath("groups", i, "experts"), g.Experts, 1, MaxExperts)
		requireBetween(p, entryPath("groups", i, "slotsPerRank"), g.SlotsPerRank, 1, MaxSlots)
		if g.Ranks*g.SlotsPerRank < g.Experts {
			p.report(entryPath("groups", i, "slotsPerRank"), finding.Invalid,
				"%d ranks with %d slots each can't hold %d experts", g.Ranks, g.SlotsPerRank, g.Experts)
		}
	}
}

func checkGroupCosts(p *pass) {
	for i, g := range p.Groups {
		requirePositive(p, entryPath("groups", i, "expertBytes"), g.ExpertBytes)
		requirePositive(p, entryPath("groups", i, "maxBytesPerSecond"), g.MaxBytesPerSecond)
		if g.SkewWeight < 0 || g.MoveWeight < 0 || g.SkewWeight+g.MoveWeight == 0 {
			p.report(entryPath("groups", i, "skewWeight"), finding.Invalid,
				"skewWeight and moveWeight must not be below zero, nor both zero")
		}
	}
}

func checkGroupRanks(p *pass) {
	members := make(map[Target]int) // by group and rank
	for i, t := range p.Targets {
		p.checkMember(members, i, t)
	}
	for i, g := range p.Groups {
		for rank := range min(g.Ranks, MaxRanks) {
			if _, ok := members[Target{Group: g.Name, Rank: rank}]; !ok {
				p.report(entryPath("groups", i, "ranks"), finding.Missing, "no target has rank %d of group %q", rank, g.Name)
			}
		}
	}
}

func (p *pass) checkMember(members map[Target]int, i int, t Target) {
	if t.Group == "" {
		if p.source.Has(entryPath("targets", i, "rank")) {
			p.report(entryPath("targets", i, "rank"), finding.Missing, "target %q has a rank but no group", t.Name)
		}
		return
	}
	g := p.Group(t.Group)
	if g == nil {
		p.report(entryPath("targets", i, "group"), finding.Reference, "there is no group %q", t.Group)
		return
	}
	if t.Rank < 0 || t.Rank >= g.Ranks {
		p.report(entryPath("targets", i, "rank"), finding.Invalid, "rank must be from 0 to %d", g.Ranks-1)
		return
	}
	member := Target{Group: t.Group, Rank: t.Rank}
	if earlier, ok := members[member]; ok {
		p.report(entryPath("targets", i, "rank"), finding.Duplicate, "rank %d of group %q is already target %q", t.Rank, t.Group, p.Targets[earlier].Name)
		return
	}
	members[member] = i
}
