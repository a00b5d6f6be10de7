package target_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/traffic/target"
)

// The target with less work relative to its capacity gets the request. A target that
// is leaving gets none.
func ExampleChooser_Pick() {
	now := time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)
	c := target.New(now, target.Config{DataCentre: "mtl-a"}, rand.New(rand.NewPCG(1, 1)))
	c.Update([]target.Candidate{
		{Name: "redaction-0", DataCentre: "mtl-a", Weight: 1, Incarnation: 1},
		{Name: "redaction-1", DataCentre: "mtl-a", Weight: 1, Incarnation: 1},
	})
	c.Report(now, target.Report{Name: "redaction-0", Incarnation: 1, Outstanding: 900, Capacity: 3000, Limit: 32})
	c.Report(now, target.Report{Name: "redaction-1", Incarnation: 1, Outstanding: 100, Capacity: 3000, Limit: 32})

	choice, ok := c.Pick(now, target.Query{Tokens: 120})
	fmt.Println(choice.Name, ok)
	c.Finish(now.Add(time.Second), choice, target.End{Kind: target.Answered})

	c.Leave("redaction-1", 1)
	choice, ok = c.Pick(now.Add(time.Second), target.Query{Tokens: 120})
	fmt.Println(choice.Name, ok)
	_, ok = c.Pick(now.Add(time.Second), target.Query{Tokens: 120, Tried: []target.Name{"redaction-0"}})
	fmt.Println(ok)
	// Output:
	// redaction-1 true
	// redaction-0 true
	// false
}
