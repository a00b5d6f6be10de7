package main

import (
	"context"
	"fmt"
	"net/http"
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

// idleFleet measures what following the platform costs while nothing changes.
func idleFleet(ctx context.Context, d *deployment, n int) (float64, []float64, error) {
	if err := d.mixedFleet(ctx, n); err != nil {
		return 0, nil, err
	}
	time.Sleep(2 * settling)
	before, err := d.callCount(ctx)
	if err != nil {
		return 0, nil, err
	}
	cpu, took, err := spent(func() { time.Sleep(watchRounds) }, d.entries[0], d.sidecars[0])
	if err != nil {
		return 0, nil, err
	}
	after, err := d.callCount(ctx)
	if err != nil {
		return 0, nil, err
	}
	memory, err := resident(d.entries[0], d.sidecars[0])
	if err != nil {
		return 0, nil, err
	}
	return float64(n), []float64{(after - before) / took.Seconds(), cpu[0], cpu[1], memory[0], memory[1]}, nil
}

// changes measures what a change of a document costs until it is in force at
// all entries.
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
	for i := range documentChanges {
		begin := time.Now()
		if err := d.change(ctx, i); err != nil {
			return 0, nil, err
		}
		took += time.Since(begin)
		time.Sleep(time.Second)
	}
	after, err := d.callCount(ctx)
	if err != nil {
		return 0, nil, err
	}
	const k = documentChanges
	return float64(n), []float64{(after - calls) / k, float64(took.Milliseconds()) / k}, nil
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
	return d.awaitNumber(ctx, current.Version+1)
}
