package sidecar

import (
	"context"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/program/documents"
	"wagtailshelf.example/wagtailshelf/internal/program/rank"
	"wagtailshelf.example/wagtailshelf/internal/traffic/workspace"
)

// DeskState is the part of the state that the desk owns.
type DeskState struct {
	Load    workspace.Load `json:"load"`
	Jobs    int            `json:"jobs"`
	Streams int            `json:"streams"`
	Drained bool           `json:"drained"`
}

// State is what a dump shows.
type State struct {
	Identity    host.Identity `json:"identity"`
	Leaving     bool          `json:"leaving"`
	Connections []ConnState   `json:"connections"`
	Desk        DeskState     `json:"desk"`

	AgeMillis int64             `json:"ageMillis"`       // of what is known of the documents
	Documents []documents.State `json:"documents"`       // as the platform has them
	Group     *rank.MemberState `json:"group,omitempty"` // absent if the host is in no group
}

// ConnState is one connection of an entry.
type ConnState struct {
	Peer     host.Identity `json:"peer"`
	Number   uint64        `json:"number"`
	Sent     uint64        `json:"sentBytes"`
	Received uint64        `json:"receivedBytes"`
}

func (d *desk) state() DeskState {
	return DeskState{
		Load:    d.queue.Load(),
		Jobs:    len(d.jobs),
		Streams: len(d.lines),
		Drained: d.isDrained,
	}
}

// State returns the whole state of the process.
func (s *Sidecar) State(ctx context.Context) (State, error) {
	answer := make(chan DeskState, 1)
	if !s.desk.put(ctx, deskEvent{kind: deskState, state: answer}) {
		return State{}, context.Cause(ctx)
	}
	state := State{Identity: s.peers.Identity, Leaving: s.leaving.Load()}
	for _, c := range s.openConns() {
		sent, received := c.Bytes()
		state.Connections = append(state.Connections, ConnState{Peer: c.Peer(), Number: c.Number(), Sent: sent, Received: received})
	}
	select {
	case state.Desk = <-answer:
	case <-ctx.Done():
		return State{}, context.Cause(ctx)
	}
	if s.known != nil {
		state.AgeMillis, state.Documents = s.known.Age(time.Now()).Milliseconds(), s.known.States()
	}
	if s.group == nil {
		return state, nil
	}
	var err error
	state.Group, err = s.group.State(ctx)
	return state, err
}
