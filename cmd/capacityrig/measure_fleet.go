package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// processesPerEntry is the number of processes of a fleet for each entry: one in
// five processes is an entry, as expected of real fleets.
const processesPerEntry = 5

// documentChanges is the number of changes over which the figures are averaged.
const documentChanges = 6

// startMixedFleet starts n processes in three data centres, in turn, and waits until
// the first document is active at all entries.
func (d *deployment) startMixedFleet(ctx context.Context, n int) error {
	target, err := d.startStandin("service")
	if err != nil {
		return err
	}
	for i := range n {
		d.dataCentre = fmt.Sprintf("dc-%d", i/processesPerEntry%3)
		if i%processesPerEntry == 0 {
			err = d.startEntry()
		} else {
			err = d.startSidecar(target, "plain")
		}
		if err != nil {
			return err
		}
	}
	return d.installDocument(ctx, "plain", plainRoute, 1)
}

// measureIdleFleet measures the cost of watching the platform while nothing changes.
func measureIdleFleet(ctx context.Context, d *deployment, n int) (float64, []float64, error) {
	if err := d.startMixedFleet(ctx, n); err != nil {
		return 0, nil, err
	}
	time.Sleep(2 * settleTime)
	before, err := d.platformCallCount(ctx)
	if err != nil {
		return 0, nil, err
	}
	cpu, took, err := processorUse(func() { time.Sleep(watchRounds) }, d.entries[0], d.sidecars[0])
	if err != nil {
		return 0, nil, err
	}
	after, err := d.platformCallCount(ctx)
	if err != nil {
		return 0, nil, err
	}
	memory, err := residentMiB(d.entries[0], d.sidecars[0])
	if err != nil {
		return 0, nil, err
	}
	return float64(n), []float64{(after - before) / took.Seconds(), cpu[0], cpu[1], memory[0], memory[1]}, nil
}

// measureChanges measures the platform calls and the time from a change of a
// document until it is active at all entries.
func measureChanges(ctx context.Context, d *deployment, n int) (float64, []float64, error) {
	if err := d.startMixedFleet(ctx, n); err != nil {
		return 0, nil, err
	}
	time.Sleep(2 * settleTime)
	before, err := d.platformCallCount(ctx)
	if err != nil {
		return 0, nil, err
	}
	var took time.Duration
	for i := range documentChanges {
		begin := time.Now()
		if err := d.changeDocument(ctx, i); err != nil {
			return 0, nil, err
		}
		took += time.Since(begin)
		time.Sleep(time.Second)
	}
	after, err := d.platformCallCount(ctx)
	if err != nil {
		return 0, nil, err
	}
	const k = documentChanges
	return float64(n), []float64{(after - before) / k, float64(took.Milliseconds()) / k}, nil
}

// changeDocument stores another text and waits until it is active at all entries.
func (d *deployment) changeDocument(ctx context.Context, i int) error {
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
	return d.awaitActive(ctx, current.Version+1)
}
