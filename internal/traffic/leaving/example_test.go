package leaving_test

import (
	"fmt"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/traffic/leaving"
)

// A late liveness report doesn't resume a target that has left. A report of its next incarnation
// does.
func ExampleTracker_Handle() {
	now := time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)
	t := leaving.New(leaving.DefaultConfig())
	for _, ev := range []leaving.Event{
		{Kind: leaving.Liveness, Name: "agenda-0", Incarnation: 1},
		{Kind: leaving.Statement, Name: "agenda-0", Source: leaving.FromSidecar, Leaving: true, Incarnation: 1},
		{Kind: leaving.Liveness, Name: "agenda-0", Incarnation: 1},
		{Kind: leaving.Liveness, Name: "agenda-0", Incarnation: 2},
	} {
		t.Handle(now, ev)
		inc, ok := t.Serving("agenda-0")
		fmt.Println(inc, ok)
	}
	// Output:
	// 1 true
	// 1 false
	// 1 false
	// 2 true
}
