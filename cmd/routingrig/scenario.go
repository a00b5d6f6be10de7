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

// scenario is the configuration of one simulation.
type scenario struct {
	seed           uint64
	policy         newPolicy
	admission      bool
	retries        retryKind
	targets        int
	entries        int
	capacity       float64 // requests per second that the targets can answer
	load           float64 // offered requests as a multiple of capacity
	weights        []float64
	warmUp         time.Duration
	length         time.Duration
	deadline       time.Duration
	reportEvery    time.Duration
	reportLag      time.Duration
	slowTargets    int
	slowdown       float64
	failingTargets int
	lockstep       bool // the targets are ranks of one group
	chunk          int  // prompt tokens that a target reads in a step at most
}

// base returns the values that the scenarios share. They have the size of today's
// deployments.
func base() scenario {
	return scenario{
		seed:        1,
		policy:      nil,
		admission:   true,
		retries:     budgetRetries,
		targets:     16,
		entries:     3,
		weights:     largeAndSmall,
		warmUp:      20 * time.Second,
		length:      40 * time.Second,
		deadline:    5 * time.Second,
		reportEvery: 500 * time.Millisecond,
		reportLag:   10 * time.Millisecond,
		slowdown:    4,
		chunk:       1024,
	}
}

// largeAndSmall holds the shares of the requests of ten workspaces, of which three
// are large.
var largeAndSmall = []float64{30, 20, 15, 5, 5, 5, 5, 5, 5, 5}

// requestRate returns the offered requests per second.
func (sc *scenario) requestRate() float64 { return sc.capacity * sc.load }

// workspaceOf returns the workspace that a uniform x in [0, 1) selects by weight.
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
