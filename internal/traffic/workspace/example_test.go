package workspace_test

import (
	"fmt"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/traffic/workspace"
)

// One request runs at a time. The workspace "large" has three queued requests when a
// request of the workspace "small" arrives. That one is next all the same.
func ExampleQueue_Handle() {
	now := time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)
	q := workspace.New(workspace.Config{FirstLimit: 1, MinLimit: 1, MaxLimit: 1})
	arrive := func(n workspace.Ticket, name workspace.Name) {
		show(q.Handle(now, workspace.Event{Kind: workspace.Arrive, Request: workspace.Request{
			Ticket: n, Workspace: name, Tokens: 100, Deadline: now.Add(time.Minute),
		}}))
	}
	for n := workspace.Ticket(1); n <= 4; n++ {
		arrive(n, "large")
	}
	arrive(5, "small")
	now = now.Add(time.Second)
	show(q.Handle(now, workspace.Event{Kind: workspace.Finished, Ticket: 1}))
	// Output:
	// start 1
	// start 5
}

func show(actions []workspace.Action) {
	for _, a := range actions {
		if a.Kind == workspace.Start {
			fmt.Println("start", a.Ticket)
		}
	}
}
