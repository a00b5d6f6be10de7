package entry

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/program/documents"
)

// State is the state of the process in a dump.
type State struct {
	Identity    host.Identity     `json:"identity"`
	Ready       bool              `json:"ready"`
	Draining    bool              `json:"draining"`
	AgeMillis   int64             `json:"ageMillis"` // since the documents were last read
	Documents   []documents.State `json:"documents"` // as read from the platform
	Services    []ServiceState    `json:"services"`  // with their active documents
	Entries     []host.Name       `json:"entries"`   // the entries that share the targets
	Routers     []RouterState     `json:"routers"`
	Claims      []ClaimState      `json:"claims"`
	Connections []ConnState       `json:"connections"`
}

// ServiceState identifies the active document of a service.
type ServiceState struct {
	Service string `json:"service"`
	Number  uint64 `json:"number"`
	Digest  string `json:"digest"`
}

// ConnState is the state of one connection to a sidecar.
type ConnState struct {
	Peer     host.Identity `json:"peer"`
	Number   uint64        `json:"number"`
	Sent     uint64        `json:"sentBytes"`
	Received uint64        `json:"receivedBytes"`
}

// State returns the whole state of the process.
func (e *Entry) State(ctx context.Context) (State, error) {
	state := State{
		Identity: e.peers.Identity, Ready: e.Ready(), Draining: e.Draining(),
		AgeMillis: e.docs.Age(time.Now()).Milliseconds(), Documents: e.docs.States(),
	}
	for _, r := range e.snapshot(&state) {
		answer := make(chan RouterState, 1)
		if !r.send(ctx, routerMessage{kind: stateMessage, state: answer}) {
			return State{}, context.Cause(ctx)
		}
		select {
		case s := <-answer:
			state.Routers = append(state.Routers, s)
		case <-ctx.Done():
			return State{}, context.Cause(ctx)
		}
	}
	claims, err := e.claimStates(ctx, state.Services)
	if err != nil {
		return State{}, err
	}
	state.Claims = claims
	for _, c := range e.pool.Open() {
		sent, received := c.Bytes()
		state.Connections = append(state.Connections, ConnState{Peer: c.Peer(), Number: c.Number(), Sent: sent, Received: received})
	}
	slices.SortFunc(state.Connections, func(a, b ConnState) int { return a.Peer.Compare(b.Peer) })
	return state, nil
}

// snapshot adds the services and entries to the state and returns the services' routers,
// ordered by service.
func (e *Entry) snapshot(state *State) []*router {
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, s := range e.services {
		state.Services = append(state.Services, ServiceState{Service: name, Number: s.Number, Digest: s.Document.Digest().String()})
	}
	state.Entries = slices.Sorted(maps.Keys(e.entries))
	slices.SortFunc(state.Services, func(a, b ServiceState) int { return strings.Compare(a.Service, b.Service) })
	routers := make([]*router, 0, len(state.Services))
	for _, s := range state.Services {
		if r := e.routers[s.Service]; r != nil {
			routers = append(routers, r)
		}
	}
	return routers
}
