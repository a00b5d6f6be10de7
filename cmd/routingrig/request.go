package main

import (
	"math"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/traffic/target"
	"wagtailshelf.example/wagtailshelf/internal/traffic/workspace"
)

// request is one call of a caller.
type request struct {
	ticket    workspace.Ticket
	workspace int
	arrived   time.Duration
	deadline  time.Duration
	common    int // prompt tokens that all of the workspace's prompts begin with
	topic     int // prompt tokens that prompts on one topic share after that
	own       int // prompt tokens of its own
	output    int
	tokens    int64 // estimated work
	prefix    target.Prefix

	attempts int
	tried    []target.Name
	done     bool

	// At its target.
	read  int // prompt tokens still to be read
	given int // tokens given
}

const (
	commonTokens = 400
	topicTokens  = 800
	meanOwn      = 100
	longPart     = 0.05 // of the requests have a long prompt of their own
	meanLong     = 2000
	meanOutput   = 80
	topics       = 60
	// promptCost is the work of reading a prompt token, in tokens given.
	promptCost = 0.05
)

// request draws a request. Its estimated work is off by up to half.
func (w *world) request() *request {
	ws := w.sc.workspaceOf(w.rnd.Float64())
	topic := int(float64(topics) * math.Pow(w.rnd.Float64(), 2))
	own := 1 + int(w.rnd.ExpFloat64()*meanOwn)
	if w.rnd.Float64() < longPart {
		own += int((1 + w.rnd.ExpFloat64()) * meanLong)
	}
	output := 20 + int(w.rnd.ExpFloat64()*(meanOutput-20))
	r := &request{
		ticket:    workspace.Ticket(w.seq),
		workspace: ws,
		arrived:   w.now,
		deadline:  w.now + w.sc.deadline,
		common:    commonTokens,
		topic:     topicTokens,
		own:       own,
		output:    output,
		prefix: target.Prefix{
			Coarse: uint64(ws+1) * 0x9e3779b97f4a7c15,
			Fine:   (uint64(ws+1)*topics + uint64(topic)) * 0xbb67ae8584caa73b,
		},
	}
	guess := float64(output) * (0.5 + w.rnd.Float64())
	r.tokens = max(1, int64(guess+promptCost*float64(r.common+r.topic+r.own)))
	return r
}
