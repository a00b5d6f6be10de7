package main

import (
	"math"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/traffic/target"
	"wagtailshelf.example/wagtailshelf/internal/traffic/workspace"
)

// request is one request of a caller.
type request struct {
	ticket    workspace.Ticket
	workspace int
	arrived   time.Duration
	deadline  time.Duration // simulated time at which the caller gives up
	common    int           // prompt tokens with which all prompts of the workspace begin
	topic     int           // prompt tokens after those, which all prompts on one topic share
	own       int           // prompt tokens that no other request has
	output    int           // tokens to generate
	estimate  int64         // estimated work, in generated tokens
	prefix    target.Prefix

	attempts int
	tried    []target.Name
	ended    bool

	// State at its target.
	unread    int // prompt tokens still to be read
	generated int // tokens generated so far
}

const (
	commonTokens = 400
	topicTokens  = 800
	meanOwn      = 100
	longShare    = 0.05 // share of the requests with a long own part of the prompt
	meanLong     = 2000
	meanOutput   = 80
	topics       = 60
	// promptCost is the work of reading a prompt token, in generated tokens.
	promptCost = 0.05
)

// newRequest draws a random request. The estimate of its output is off by up to
// half.
func (w *world) newRequest() *request {
	ws := w.sc.workspaceOf(w.rnd.Float64())
	topic := int(float64(topics) * math.Pow(w.rnd.Float64(), 2))
	own := 1 + int(w.rnd.ExpFloat64()*meanOwn)
	if w.rnd.Float64() < longShare {
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
	r.estimate = max(1, int64(guess+promptCost*float64(r.common+r.topic+r.own)))
	return r
}
