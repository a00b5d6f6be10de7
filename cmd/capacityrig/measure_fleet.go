package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// A fleet of the rig has one entry to each so many processes, as the fleets
// that are to be expected.
const processesPerEntry = 5

// documentChanges is how many changes are averaged over.
const documentChanges = 6

// mixedFleet starts n processes in the data centres, in turn, and waits until
// the first document is in force at all entries.
func (d *deployment) mixedFleet(ctx context.Context, n int) error {
	target, err := d.standin("service")
	if err != nil {
		return err
	}
	for i := range n {
		d.dataCentre = fmt.Sprintf("dc-%d", i/processesPerEntry%3)
		if i%processesPerEntry == 0 {
			err = d.entry()
		} else {
			err = d.sidecar(target, "plain")
		}
		if err != nil {
			return err
		}
	}
	return d.install(ctx, "plain", plainRoute, 1)
}

// fleetUse is what the part in the fleet cost a process so far.
type fleetUse struct {
	messages, bytes, busy float64
}

func (u fleetUse) minus(v fleetUse) fleetUse {
	return fleetUse{messages: u.messages - v.messages, bytes: u.bytes - v.bytes, busy: u.busy - v.busy}
}

// uses returns the use of each process of the system.
func (d *deployment) uses(ctx context.Context) ([]fleetUse, error) {
	var uses []fleetUse
	for _, p := range slices.Concat(d.entries, d.sidecars) {
		u, err := d.use(ctx, p)
		if err != nil {
			return nil, err
		}
		uses = append(uses, u)
	}
	return uses, nil
}

func (d *deployment) use(ctx context.Context, p *process) (fleetUse, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/metrics", p.at(adminPort)), nil)
	if err != nil {
		return fleetUse{}, err
	}
	resp, err := d.http.Do(req)
	if err != nil {
		return fleetUse{}, err
	}
	defer func() { _ = resp.Body.Close() }() // it was read to its end
	var u fleetUse
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), " ")
		x, err := strconv.ParseFloat(value, 64)
		if err != nil {
			continue // a comment
		}
		switch {
		case strings.HasPrefix(name, "wagtailshelf_fleet_messages_total"):
			u.messages += x
		case strings.HasPrefix(name, "wagtailshelf_fleet_bytes_total"):
			u.bytes += x
		case name == "wagtailshelf_fleet_busy_seconds_total":
			u.busy += x
		}
	}
	return u, lines.Err()
}

// spentOn returns the mean and the largest use of a process while f runs.
func (d *deployment) spentOn(ctx context.Context, f func() error) (mean, largest fleetUse, err error) {
	before, err := d.uses(ctx)
	if err != nil {
		return fleetUse{}, fleetUse{}, err
	}
	if err := f(); err != nil {
		return fleetUse{}, fleetUse{}, err
	}
	after, err := d.uses(ctx)
	if err != nil {
		return fleetUse{}, fleetUse{}, err
	}
	n := float64(len(before))
	for i := range after {
		u := after[i].minus(before[i])
		mean.messages += u.messages / n
		mean.bytes += u.bytes / n
		mean.busy += u.busy / n
		largest.bytes = max(largest.bytes, u.bytes)
		largest.busy = max(largest.busy, u.busy)
	}
	return mean, largest, nil
}

// idleFleet measures what membership costs while nothing changes.
func idleFleet(ctx context.Context, d *deployment, n int) (float64, []float64, error) {
	if err := d.mixedFleet(ctx, n); err != nil {
		return 0, nil, err
	}
	time.Sleep(2 * settling)
	var cpu []float64
	seconds := idleFor.Seconds()
	mean, largest, err := d.spentOn(ctx, func() (err error) {
		cpu, _, err = spent(func() { time.Sleep(idleFor) }, d.entries[0], d.sidecars[0])
		return err
	})
	if err != nil {
		return 0, nil, err
	}
	memory, err := resident(d.entries[0], d.sidecars[0])
	if err != nil {
		return 0, nil, err
	}
	return float64(n), []float64{
		mean.messages / seconds, mean.bytes / seconds, largest.bytes / seconds, 1000 * mean.busy / seconds,
		cpu[0], cpu[1], memory[0], memory[1],
	}, nil
}

// changes measures what a change of a document costs until it is in force at
// all entries. What the fleet spends while idle is part of the figures.
func changes(ctx context.Context, d *deployment, n int) (float64, []float64, error) {
	if err := d.mixedFleet(ctx, n); err != nil {
		return 0, nil, err
	}
	time.Sleep(2 * settling)
	calls, err := d.callCount(ctx)
	if err != nil {
		return 0, nil, err
	}
	var took time.Duration
	mean, largest, err := d.spentOn(ctx, func() error {
		for i := range documentChanges {
			begin := time.Now()
			if err := d.change(ctx, i); err != nil {
				return err
			}
			took += time.Since(begin)
			time.Sleep(time.Second)
		}
		return nil
	})
	if err != nil {
		return 0, nil, err
	}
	after, err := d.callCount(ctx)
	if err != nil {
		return 0, nil, err
	}
	const k = documentChanges
	return float64(n), []float64{
		(after - calls) / k, mean.messages / k, mean.bytes / k, largest.bytes / k, 1000 * mean.busy / k,
		float64(took.Milliseconds()) / k,
	}, nil
}

// change stores another text and waits until it is in force at all entries.
func (d *deployment) change(ctx context.Context, i int) error {
	url := fmt.Sprintf("http://%s/objects/documents/load", d.platform.at(standinPort))
	var current struct {
		Version uint64 `json:"version"`
	}
	if err := d.do(ctx, http.MethodGet, url, "", nil, &current); err != nil {
		return err
	}
	text := d.document("plain", plainRoute, 1) + fmt.Sprintf("# change %d\n", i)
	if err := d.do(ctx, http.MethodPut, fmt.Sprintf("%s?version=%d", url, current.Version), "", []byte(text), nil); err != nil {
		return err
	}
	return d.awaitNumber(ctx, uint64(i+2))
}
