package engine

import (
	"encoding/json"
	"fmt"
	"strings"

	wire "wagtailshelf.example/wagtailshelf/internal/wire/engine"
)

// Bounds of a generation request.
const (
	maxBodyBytes = 8 << 20
	maxTokens    = 4096
	minTokens    = 8
	spreadTokens = 25 // without a length in the request: minTokens to minTokens+spreadTokens-1
)

type runState uint8

const (
	running runState = iota + 1
	finished
	cancelled
)

// run is one generation.
type run struct {
	id          string
	priority    int
	keepRunning bool // run on when its connection closes
	blocks      []uint64
	bodyHash    uint64
	total       int
	emitted     int
	prefill     int // remaining steps before the first token
	state       runState
	readers     int
	changed     chan struct{} // closed at the next change
}

// prompt is the part of a request's body that the engine uses.
type prompt struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"maxTokens"`
	Stream    *bool  `json:"stream"`
}

// parsePrompt parses a request's body. A body that is not JSON is itself the prompt.
func parsePrompt(body []byte) prompt {
	var p prompt
	if err := json.Unmarshal(body, &p); err != nil || p.Prompt == "" {
		p.Prompt = string(body)
	}
	hash := wire.HashBytes(body)
	if p.MaxTokens <= 0 {
		p.MaxTokens = minTokens + int(hash%spreadTokens)
	}
	p.MaxTokens = min(p.MaxTokens, maxTokens)
	return p
}

func newRun(id string, body []byte, p prompt) *run {
	return &run{
		id:       id,
		blocks:   wire.BlockHashes([]byte(p.Prompt)),
		bodyHash: wire.HashBytes(body),
		total:    p.MaxTokens,
		state:    running,
		changed:  make(chan struct{}),
	}
}

// emit makes one token and reports whether it was the last.
func (r *run) emit() bool {
	r.emitted++
	if r.emitted < r.total {
		r.notify()
		return false
	}
	r.finish(finished)
	return true
}

func (r *run) finish(s runState) {
	if r.state != running {
		return
	}
	r.state = s
	r.notify()
}

func (r *run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

var words = strings.Fields("bonjour merci neige jardin lettre soleil piano cuisine chat fleuve slide title theme figure margin chart table quote list note")

// token returns the token with index i of the response to a request's body, given the
// body's hash.
func token(hash uint64, i int) string {
	if i == 0 {
		return fmt.Sprintf("[%016x]", hash)
	}
	x := (hash + uint64(i)) * 0x9E3779B97F4A7C15
	x ^= x >> 29
	return " " + words[x%uint64(len(words))]
}

// Answer returns the whole text that the engine generates for a request's body.
func Answer(body []byte) string {
	hash := wire.HashBytes(body)
	var b strings.Builder
	for i := range parsePrompt(body).MaxTokens {
		b.WriteString(token(hash, i))
	}
	return b.String()
}
