// Package skew measures how well expert maps follow demand. Its command compares the
// planner with baselines and bounds on a generated day, and writes the tables and the
// trade-off curve of docs/plots.
package skew

import (
	"math/rand/v2"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
	"wagtailshelf.example/wagtailshelf/internal/expert/plan"
	"wagtailshelf.example/wagtailshelf/internal/standin/topic"
)

// Properties of the measured group, apart from its number of ranks.
const (
	layers  = 58
	experts = 256
	// storeRate is the rate at which the weight store serves a group, in bytes per second.
	storeRate = 4_000_000_000
	// expertBytes is the size of one expert's weights in one layer.
	expertBytes = 44_000_000
	// period is the time between plans, for the planner and for the baselines that repack.
	period = 5 * time.Minute
)

// slots returns the expert slots of a rank in each layer: its part of the experts and
// a tenth more, at least one more.
func slots(ranks int) int {
	part := (experts + ranks - 1) / ranks
	return part + max(1, (part+5)/10)
}

func shapeOf(ranks, slotsPerRank int) expertmap.Shape {
	if slotsPerRank == 0 {
		slotsPerRank = slots(ranks)
	}
	return expertmap.Shape{Layers: layers, Experts: experts, Ranks: ranks, Slots: slotsPerRank}
}

// scenario describes a day of demand.
type scenario struct {
	name  string
	terms []time.Duration
	slow  []topic.Slow
}

// scenarios returns the days to measure: one on which topics only drift, and one with
// two sharp shifts of demand, called starts of term, and a rank that is slow for an hour.
func scenarios() []scenario {
	return []scenario{
		{name: "drift"},
		{
			name:  "term",
			terms: []time.Duration{2 * time.Hour, 4 * time.Hour},
			slow:  []topic.Slow{{Rank: 3, From: 30 * time.Minute, To: 90 * time.Minute, Speed: 0.7}},
		},
	}
}

func (s scenario) newGenerator(ranks int, seed uint64) *topic.Generator {
	cfg := topic.Config{Layers: layers, Experts: experts, Ranks: ranks, Terms: s.terms, Slow: s.slow}
	return topic.New(cfg, rand.New(rand.NewPCG(seed, uint64(ranks))))
}

// kind is a method of choosing maps.
type kind uint8

// The methods that are compared.
const (
	never   kind = iota // keep the first map
	resolve             // repack each period, without regard to the active map
	relabel             // repack, and assign each set of experts to the rank that already holds most of them
	planned             // the planner
)

// policy is a method with its name in the tables and, for the planner, its weights.
type policy struct {
	name    string
	kind    kind
	weights plan.Weights
	shipped bool
}

func baselines() []policy {
	return []policy{
		{name: "never move", kind: never},
		{name: "pack anew", kind: resolve},
		{name: "pack anew, relabelled", kind: relabel},
	}
}

func shipped() []policy {
	return []policy{
		{name: "planner, steady", kind: planned, weights: plan.LowSkew, shipped: true},
		{name: "planner, sparing", kind: planned, weights: plan.FewMoves, shipped: true},
	}
}
