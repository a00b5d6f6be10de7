package main

import (
	"fmt"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/traffic/workspace"
)

type retryKind int

const (
	noRetries retryKind = iota
	budgetRetries
	alwaysRetries
)

// scenario describes one run.
type scenario struct {
	seed        uint64
	policy      newPolicy
	admission   bool
	retries     retryKind
	targets     int
	entries     int
	capacity    float64 // requests a second that the targets can answer
	load        float64 // requests offered, over capacity
	weights     []float64
	warm        time.Duration
	length      time.Duration
	deadline    time.Duration
	reportEvery time.Duration
	reportLag   time.Duration
	slowTargets int
	slowBy      float64
	failing     int
	lockstep    bool // the targets are ranks of one group
	chunk       int  // prompt tokens that a target reads in a step
}

// base is what the scenarios have in common: the sizes of today.
func base() scenario {
	return scenario{
		seed:        1,
		policy:      nil,
		admission:   true,
		retries:     budgetRetries,
		targets:     16,
		entries:     3,
		weights:     largeAndSmall,
		warm:        20 * time.Second,
		length:      40 * time.Second,
		deadline:    5 * time.Second,
		reportEvery: 500 * time.Millisecond,
		reportLag:   10 * time.Millisecond,
		slowBy:      4,
		chunk:       1024,
	}
}

// largeAndSmall are ten workspaces of which three are large.
var largeAndSmall = []float64{30, 20, 15, 5, 5, 5, 5, 5, 5, 5}

func (sc *scenario) rate() float64 { return sc.capacity * sc.load }

// workspaceOf draws a workspace by weight, x being uniform.
func (sc *scenario) workspaceOf(x float64) int {
	var sum float64
	for _, v := range sc.weights {
		sum += v
	}
	x *= sum
	for i, v := range sc.weights {
		x -= v
		if x < 0 {
			return i
		}
	}
	return 0
}

func (sc *scenario) name(ws int) workspace.Name { return workspace.Name(fmt.Sprint("workspace-", ws)) }
