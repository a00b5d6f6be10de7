package entry

import (
	"context"
	"slices"
	"strings"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/record/acceptance"
)

// State is what a dump shows.
type State struct {
	Identity    host.Identity  `json:"identity"`
	Ready       bool           `json:"ready"`
	Draining    bool           `json:"draining"`
	Services    []ServiceState `json:"services"`
	Routers     []RouterState  `json:"routers"`
	Claims      []ClaimState   `json:"claims"`
	Connections []ConnState    `json:"connections"`

	Fleet *acceptance.Dump `json:"fleet,omitempty"`
}

// ServiceState is one document in force.
type ServiceState struct {
	Service string `json:"service"`
	Number  uint64 `json:"number"`
	Digest  string `json:"digest"`
}

// ConnState is one connection to a sidecar.
type ConnState struct {
	Peer     host.Identity `json:"peer"`
	Number   uint64        `json:"number"`
	Sent     uint64        `json:"sentBytes"`
	Received uint64        `json:"receivedBytes"`
}

// State returns the whole state of the process.
func (e *Entry) State(ctx context.Context) (State, error) {
	state := State{Identity: e.peers.Identity, Ready: e.Ready(), Draining: e.Draining()}
	for _, r := range e.snapshot(&state) {
		answer := make(chan RouterState, 1)
		if !r.ask(ctx, routerMessage{kind: askRouter, state: answer}) {
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
	if e.membership != nil {
		dump, err := e.membership.Dump(ctx)
		if err != nil {
			return State{}, err
		}
		state.Fleet = &dump
	}
	for _, c := range e.pool.Open() {
		sent, received := c.Bytes()
		state.Connections = append(state.Connections, ConnState{Peer: c.Peer(), Number: c.Number(), Sent: sent, Received: received})
	}
	slices.SortFunc(state.Connections, func(a, b ConnState) int { return a.Peer.Compare(b.Peer) })
	return state, nil
}

// snapshot adds the services to the state and returns their routers by name.
func (e *Entry) snapshot(state *State) []*router {
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, s := range e.services {
		state.Services = append(state.Services, ServiceState{Service: name, Number: s.Number, Digest: s.Document.Digest().String()})
	}
	slices.SortFunc(state.Services, func(a, b ServiceState) int { return strings.Compare(a.Service, b.Service) })
	routers := make([]*router, 0, len(state.Services))
	for _, s := range state.Services {
		if r := e.routers[s.Service]; r != nil {
			routers = append(routers, r)
		}
	}
	return routers
}
