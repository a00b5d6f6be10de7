package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"wagtailshelf.example/wagtailshelf/internal/traffic/target"
)

func main() {
	cmd := &cli.Command{
		Name:  "routingrig",
		Usage: "measure routing, admission and retries in a queueing model",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "run", Value: "overload", Usage: "overload, affinity, fairness, retries or ranks"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
		},
		Action: func(_ context.Context, c *cli.Command) error { return measure(c.String("run"), c.Uint64("seed")) },
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func measure(name string, seed uint64) error {
	sc := base()
	sc.seed = seed
	sc.capacity = capacityOf(sc)
	fmt.Printf("16 targets answer %.0f requests a second without prefixes kept by choice\n\n", sc.capacity)
	switch name {
	case "overload":
		overload(sc)
	case "affinity":
		affinity(sc)
	case "fairness":
		fairness(sc)
	case "retries":
		retries(sc)
	case "ranks":
		ranks(sc)
	default:
		return fmt.Errorf("unknown run %q", name)
	}
	return nil
}

// capacityOf measures the rate at which the targets answer under permanent
// overload: targets chosen at random, no faults, and admission that refuses what
// exceeds the capacity.
func capacityOf(sc scenario) float64 {
	sc.policy = random
	sc.retries = noRetries
	sc.capacity = 1
	sc.load = 1200
	sc.warmUp, sc.length = 10*time.Second, 20*time.Second
	s := run(sc)
	return float64(s.ends[answeredEnd]) / sc.length.Seconds()
}

// namedPolicy is a policy with the name that the tables show.
type namedPolicy struct {
	name   string
	policy newPolicy
}

func policies() []namedPolicy {
	return []namedPolicy{
		{"round robin", roundRobin},
		{"random", random},
		{"least requests", leastRequests},
		{"wagtailshelf", chooser(target.Config{}, true, "")},
	}
}

// condition changes a scenario by a fault or by a delay of the load reports.
type condition struct {
	name  string
	apply func(*scenario)
}

func conditions() []condition {
	return []condition{
		{"all sound", func(*scenario) {}},
		{"one target 4 times slower", func(sc *scenario) { sc.slowTargets = 1 }},
		{"the same, reports 1 s late", func(sc *scenario) { sc.slowTargets, sc.reportLag = 1, time.Second }},
	}
}

// overload prints goodput and latency of each policy at loads up to 5 times the
// capacity, with admission and without.
func overload(sc scenario) {
	fmt.Println("| condition | load | policy | admission | goodput | p50 | p99 | refused | refused within p99 | late |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|")
	for _, cond := range conditions() {
		for _, load := range []float64{0.8, 2, 5} {
			for _, p := range policies() {
				for _, admission := range []bool{false, true} {
					run := sc
					run.load, run.policy, run.admission = load, p.policy, admission
					cond.apply(&run)
					row(cond.name, p.name, run)
				}
			}
		}
	}
}

func row(cond, policy string, sc scenario) {
	s := run(sc)
	offered := float64(s.requests)
	admission := "none"
	if sc.admission {
		admission = "queue"
	}
	fmt.Printf("| %s | %.1f | %s | %s | %.3f | %s | %s | %.1f%% | %s | %.1f%% |\n",
		cond, sc.load, policy, admission,
		float64(s.ends[answeredEnd])/(sc.capacity*sc.length.Seconds()),
		ms(quantile(s.answerTimes, 0.5)), ms(quantile(s.answerTimes, 0.99)),
		100*float64(s.ends[refusedEnd])/offered, ms(quantile(s.refusalTimes, 0.99)),
		100*float64(s.ends[lateEnd])/offered)
}

func ms(d time.Duration) string { return fmt.Sprintf("%d ms", d.Milliseconds()) }

// affinity prints how goodput and latency depend on the bound of the load up to
// which a target is chosen for its cached prefix.
func affinity(sc scenario) {
	fmt.Println("| load | prefix bound | prompt tokens kept | goodput | p50 | p99 | step p50 | step p99 |")
	fmt.Println("|---|---|---|---|---|---|---|---|")
	for _, load := range []float64{0.5, 0.8, 1.2, 2} {
		for _, bound := range []float64{0, 1.05, 1.25, 1.5, 2, 4, 1000} {
			run := sc
			run.load = load
			run.policy = chooser(target.Config{AffinityLoad: max(bound, 1)}, bound > 0, "")
			affinityRow(bound, run)
		}
	}
}

func affinityRow(bound float64, sc scenario) {
	s := run(sc)
	name := fmt.Sprint(bound)
	switch bound {
	case 0:
		name = "no affinity"
	case 1000:
		name = "unbounded"
	}
	fmt.Printf("| %.1f | %s | %.1f%% | %.3f | %s | %s | %.1f ms | %.1f ms |\n", sc.load, name,
		100*float64(s.cachedTokens)/float64(s.promptTokens),
		float64(s.ends[answeredEnd])/(sc.capacity*sc.length.Seconds()),
		ms(quantile(s.answerTimes, 0.5)), ms(quantile(s.answerTimes, 0.99)),
		1000*quantile(s.stepTimes, 0.5).Seconds(), 1000*quantile(s.stepTimes, 0.99).Seconds())
}

// fairness compares two runs of ten workspaces. In the first run each workspace
// offers 0.08 of the capacity; in the second run the first workspace offers 12.5
// times as much, which is ten times an equal share of the capacity.
func fairness(sc scenario) {
	equal := []float64{1, 1, 1, 1, 1, 1, 1, 1, 1, 1}
	fmt.Println("| policy | admission | answered of others before | with the large one | change | p99 before | p99 with |")
	fmt.Println("|---|---|---|---|---|---|---|")
	all := append(policies(), namedPolicy{"without affinity", chooser(target.Config{}, false, "")})
	for _, p := range all {
		for _, admission := range []bool{false, true} {
			before := sc
			before.policy, before.admission = p.policy, admission
			before.weights, before.load = equal, 0.8
			after := before
			after.weights = append([]float64{12.5}, equal[1:]...)
			after.load = 0.08 * 21.5
			a, b := run(before), run(after)
			fmt.Printf("| %s | %t | %.1f%% | %.1f%% | %+.1f%% | %s | %s |\n", p.name, admission, 100*a.answeredShareOfOthers(), 100*b.answeredShareOfOthers(),
				100*(b.answeredShareOfOthers()/a.answeredShareOfOthers()-1), ms(quantile(a.answerTimes, 0.99)), ms(quantile(b.answerTimes, 0.99)))
		}
	}
}

// retries prints the effect of retries while half of the targets fail each
// request immediately.
func retries(sc scenario) {
	fmt.Println("| policy | retries | load | attempts per request | goodput |")
	fmt.Println("|---|---|---|---|---|")
	for _, load := range []float64{0.4, 0.8} {
		for _, p := range policies() {
			for _, kind := range []retryKind{noRetries, alwaysRetries, budgetRetries} {
				run := sc
				run.policy, run.retries, run.load, run.failingTargets = p.policy, kind, load, sc.targets/2
				retryRow(p.name, run)
			}
		}
	}
}

func retryRow(policy string, sc scenario) {
	s := run(sc)
	name := [...]string{"none", "budget", "up to two"}[sc.retries]
	fmt.Printf("| %s | %s | %.1f | %.3f | %.3f |\n", policy, name, sc.load,
		float64(s.attempts)/float64(s.requests), float64(s.ends[answeredEnd])/(sc.capacity*sc.length.Seconds()))
}

// ranks runs the targets in lock-step, as ranks of a group: each step takes as
// long as the longest step of a rank.
func ranks(sc scenario) {
	sc.lockstep = true
	fmt.Println("| prompt tokens a step | load | policy | skew mean | skew p99 | goodput | p50 | p99 |")
	fmt.Println("|---|---|---|---|---|---|---|---|")
	all := append(policies()[:3:3],
		namedPolicy{"two choices", chooser(target.Config{}, false, "")},
		namedPolicy{"ranks", chooser(target.Config{}, false, "group")},
		namedPolicy{"ranks, prefix", chooser(target.Config{}, true, "group")},
	)
	for _, chunk := range []int{1024, 320} {
		for _, p := range all {
			run := sc
			run.load, run.policy, run.chunk = 0.5, p.policy, chunk
			rankRow(p.name, run)
		}
	}
}

func rankRow(policy string, sc scenario) {
	s := run(sc)
	var sum float64
	for _, v := range s.skews {
		sum += v
	}
	slices.Sort(s.skews)
	fmt.Printf("| %d | %.1f | %s | %.3f | %.3f | %.3f | %s | %s |\n", sc.chunk, sc.load, policy,
		sum/float64(len(s.skews)), s.skews[len(s.skews)*99/100],
		float64(s.ends[answeredEnd])/(sc.capacity*sc.length.Seconds()),
		ms(quantile(s.answerTimes, 0.5)), ms(quantile(s.answerTimes, 0.99)))
}
