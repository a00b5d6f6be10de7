package retry_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/traffic/retry"
)

// Ten first attempts pay for one retry.
func ExampleBudget_Next() {
	now := time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)
	b := retry.NewBudget(now, retry.Config{Ratio: 0.1, PerSecond: 1e-9, Burst: 1}, rand.New(rand.NewPCG(1, 1)))
	for range 10 {
		b.FirstAttempt("laval")
	}
	for range 3 {
		d := b.Next(now, retry.Attempt{Workspace: "laval", Attempts: 1, Deadline: now.Add(time.Second)})
		fmt.Println(d.Verdict == retry.Allowed)
	}
	// Output:
	// true
	// true
	// false
}
