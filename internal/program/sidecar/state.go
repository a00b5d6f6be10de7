package sidecar

import (
	"context"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/program/documents"
	"wagtailshelf.example/wagtailshelf/internal/program/rank"
	"wagtailshelf.example/wagtailshelf/internal/traffic/workspace"
)

// DeskState is the part of a dump that the desk owns.
type DeskState struct {
	Load    workspace.Load `json:"load"`
	Jobs    int            `json:"jobs"`
	Streams int            `json:"streams"`
	Drained bool           `json:"drained"`
}

// State is the state of the process in a dump.
type State struct {
	Identity    host.Identity `json:"identity"`
	Leaving     bool          `json:"leaving"`
	Connections []ConnState   `json:"connections"`
	Desk        DeskState     `json:"desk"`

	AgeMillis int64             `json:"ageMillis"`       // since the documents were last read, or since the start
	Documents []documents.State `json:"documents"`       // the known versions of the documents
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
		Streams: len(d.streams),
		Drained: d.isDrained,
	}
}

// State returns the state of the process for a dump.
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
	if s.documents != nil {
		state.AgeMillis, state.Documents = s.documents.Age(time.Now()).Milliseconds(), s.documents.States()
	}
	if s.group == nil {
		return state, nil
	}
	var err error
	state.Group, err = s.group.State(ctx)
	return state, err
}
