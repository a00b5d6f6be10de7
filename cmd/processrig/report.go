package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/standin/engine"
	"wagtailshelf.example/wagtailshelf/internal/standin/service"
)

const readAttempts = 4

// report prints the results and returns whether all promises held.
func report(c *cluster, w *watcher, l *load) bool {
	printOutcomes(l.calls)
	printTimes(w)
	printUsage(c)
	broken := slices.Concat(checkAnswers(l.calls), checkLoggedOutcomes(c, l.calls), checkNotRun(c, l.calls), w.regressions, checkUnexpectedEnds(c), checkLogLines(c))
	if len(broken) == 0 {
		fmt.Println("all promises held")
		return true
	}
	fmt.Printf("%d broken:\n", len(broken))
	for _, b := range broken[:min(40, len(broken))] {
		fmt.Println(" ", b)
	}
	return false
}

func printOutcomes(calls []call) {
	counts := make(map[string]int)
	times := make(map[string][]time.Duration)
	for _, c := range calls {
		counts[fmt.Sprintf("%-6s %-9s %s", c.kind, c.outcome, c.reason)]++
		if c.outcome == "answered" {
			times[c.kind] = append(times[c.kind], c.took)
		}
	}
	fmt.Printf("%d calls\n", len(calls))
	for _, key := range slices.Sorted(maps.Keys(counts)) {
		fmt.Printf("  %6d %s\n", counts[key], key)
	}
	for _, kind := range slices.Sorted(maps.Keys(times)) {
		fmt.Printf("  answered %-6s median %v, 99th percentile %v, longest %v\n", kind, quantile(times[kind], 0.5), quantile(times[kind], 0.99), quantile(times[kind], 1))
	}
}

func printTimes(w *watcher) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Printf("%d changes in force at all unharmed entries: median %v, longest %v; %d still on their way when the next was made\n",
		len(w.activationTimes), quantile(w.activationTimes, 0.5), quantile(w.activationTimes, 1), w.overtaken)
}

func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[min(len(d)-1, int(q*float64(len(d))))].Round(time.Millisecond)
}

func printUsage(c *cluster) {
	type sum struct {
		n, peak, total int
		cpu, runTime   time.Duration
	}
	sums := make(map[string]*sum)
	for _, p := range c.processes {
		cpu, runTime, peak := p.usage()
		s := sums[p.kind]
		if s == nil {
			s = &sum{}
			sums[p.kind] = s
		}
		s.n++
		s.peak = max(s.peak, peak)
		s.total += peak
		s.cpu += cpu
		s.runTime += runTime
	}
	for _, kind := range slices.Sorted(maps.Keys(sums)) {
		s := sums[kind]
		fmt.Printf("  %-8s %3d processes: peak memory %d MB mean, %d MB largest; %.1f%% of a core each\n",
			kind, s.n, s.total/s.n/1024, s.peak/1024, 100*s.cpu.Seconds()/s.runTime.Seconds())
	}
}

// checkAnswers returns the calls with a wrong response or without an outcome.
func checkAnswers(calls []call) []string {
	var broken []string
	for _, c := range calls {
		if c.mistake != "" {
			broken = append(broken, fmt.Sprintf("answer: %s %s: %s", c.kind, c.id, c.mistake))
		}
		if c.outcome == "" {
			broken = append(broken, fmt.Sprintf("outcome: %s %s: nothing told", c.kind, c.id))
		}
	}
	return broken
}

// checkLoggedOutcomes compares the outcomes that callers received for their logs with
// what the services counted. A log must not run twice, must have run if a call was
// answered, and must not have run if its only call ended with notRun.
func checkLoggedOutcomes(c *cluster, calls []call) []string {
	counts := make(map[string]int)
	for _, s := range c.sidecars {
		if s.model {
			continue
		}
		var logged []service.LoggedOutcome
		if err := c.readCount(s.target, "/outcomes", &logged); err != nil {
			return []string{"log of " + s.name + ": " + err.Error()}
		}
		for _, entry := range logged {
			counts[entry.Body] += entry.Count
		}
	}
	var broken []string
	answered := make(map[string]bool)
	sends := make(map[string]int)
	for _, call := range calls {
		if call.kind == "log" {
			sends[call.body]++
			answered[call.body] = answered[call.body] || call.outcome == "answered"
		}
	}
	for _, call := range calls {
		n := counts[call.body]
		switch {
		case call.kind != "log":
		case n > 1:
			broken = append(broken, fmt.Sprintf("log: %s ran %d times", call.body, n))
		case n == 0 && answered[call.body]:
			broken = append(broken, fmt.Sprintf("log: %s was answered and did not run", call.body))
		case n == 1 && call.outcome == "notRun" && sends[call.body] == 1:
			broken = append(broken, fmt.Sprintf("log: %s was told notRun (%s) and ran", call.body, call.reason))
		}
	}
	return broken
}

// checkNotRun checks at all engines that no draft whose outcome was notRun has run.
func checkNotRun(c *cluster, calls []call) []string {
	var broken []string
	for _, call := range calls {
		if call.kind != "draft" || call.outcome != "notRun" || call.id == "" {
			continue
		}
		for _, s := range c.sidecars {
			if !s.model {
				continue
			}
			var n engine.RunCount
			if err := c.readCount(s.target, "/runs?id="+url.QueryEscape(call.id), &n); err != nil {
				return append(broken, "runs of "+s.name+": "+err.Error())
			}
			if n.Starts > 0 {
				broken = append(broken, fmt.Sprintf("draft %s was told notRun (%s) and ran at %s", call.id, call.reason, s.name))
			}
		}
	}
	return broken
}

// readCount reads a stand-in's counts. It tries several times, as the machine may be
// busy.
func (c *cluster) readCount(n *node, path string, v any) error {
	var err error
	for range readAttempts {
		if err = c.readCountOnce(n, path, v); err == nil {
			return nil
		}
	}
	return err
}

func (c *cluster) readCountOnce(n *node, path string, v any) error {
	resp, err := c.http.Get("http://" + n.callers.String() + path)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", path, resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(v)
}

// checkUnexpectedEnds returns the ends of processes that the rig did not cause.
func checkUnexpectedEnds(c *cluster) []string {
	var broken []string
	for _, p := range c.processes {
		p.mu.Lock()
		broken = append(broken, p.unexpectedEnds...)
		p.mu.Unlock()
	}
	return broken
}

// checkLogLines returns log lines about violated invariants and panics.
func checkLogLines(c *cluster) []string {
	var broken []string
	for _, p := range c.processes {
		text, err := os.ReadFile(p.log)
		if err != nil {
			broken = append(broken, err.Error())
			continue
		}
		for line := range strings.Lines(string(text)) {
			if strings.Contains(line, "violat") || strings.HasPrefix(line, "panic:") {
				broken = append(broken, p.name+": "+strings.TrimSpace(line))
			}
		}
	}
	return broken
}
