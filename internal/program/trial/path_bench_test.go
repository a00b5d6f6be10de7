package trial_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/program/trial"
	"wagtailshelf.example/wagtailshelf/internal/standin/service"
)

// benchPath starts one plain service with its sidecar and one entry. It returns
// a URL that reaches the service directly and one through the entry.
func benchPath(b *testing.B) (direct, through string) {
	b.Helper()
	d, err := trial.NewDeployment(io.Discard)
	require.NoError(b, err)
	b.Cleanup(d.Close)
	target, err := d.AddService("agenda-0", "mtl-a", service.New())
	require.NoError(b, err)
	require.NoError(b, d.Put(context.Background(), "agenda", trial.AgendaDocument(d.Targets, "")))
	e, err := d.AddEntry("mtl-a-entry-0", "mtl-a", nil)
	require.NoError(b, err)
	require.Eventually(b, e.Ready, 10*time.Second, time.Millisecond)
	return "http://" + target.TargetAddr().String() + "/lists/anne",
		"http://" + e.Addr().String() + "/agenda/lists/anne"
}

// measure makes at least b.N calls from a number of concurrent callers and
// reports the median and the 99th percentile of their durations.
func measure(b *testing.B, url string, callers int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	defer client.CloseIdleConnections()
	require.NoError(b, get(client, url))
	b.ReportAllocs()
	b.ResetTimer()
	times := make([][]time.Duration, callers)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			for range (b.N + callers - 1) / callers {
				begun := time.Now()
				if err := get(client, url); err != nil {
					b.Error(err)
					return
				}
				times[i] = append(times[i], time.Since(begun))
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	all := slices.Concat(times...)
	slices.Sort(all)
	b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-us")
	b.ReportMetric(float64(len(all))/b.Elapsed().Seconds(), "calls/s")
}

func get(client *http.Client, url string) error {
	r, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+trial.LargeKey)
	resp, err := client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// BenchmarkPath measures small calls to a plain service, directly and through
// one entry and one sidecar, side by side in one process.
func BenchmarkPath(b *testing.B) {
	direct, through := benchPath(b)
	for _, callers := range []int{1, 16, 64} {
		for _, path := range []struct{ name, url string }{{"direct", direct}, {"through", through}} {
			b.Run(fmt.Sprintf("%s/callers=%d", path.name, callers), func(b *testing.B) {
				measure(b, path.url, callers)
			})
		}
	}
}

// BenchmarkIdleCall measures the memory that calls waiting for their target hold.
// It reports bytes per call made directly and per call made through an entry and
// a sidecar; the difference is what these two hold for a call.
func BenchmarkIdleCall(b *testing.B) {
	const calls = 200
	logbook := service.New()
	d, err := trial.NewDeployment(io.Discard)
	require.NoError(b, err)
	b.Cleanup(d.Close)
	target, err := d.AddService("agenda-0", "mtl-a", logbook)
	require.NoError(b, err)
	require.NoError(b, d.Put(context.Background(), "agenda", trial.AgendaDocument(d.Targets, "")))
	e, err := d.AddEntry("mtl-a-entry-0", "mtl-a", nil)
	require.NoError(b, err)
	require.Eventually(b, e.Ready, 10*time.Second, time.Millisecond)
	logbook.SetFaults(service.Faults{Silent: true})
	for b.Loop() {
		direct := memoryOfCalls(calls, "http://"+target.TargetAddr().String()+"/lists/anne")
		through := memoryOfCalls(calls, "http://"+e.Addr().String()+"/agenda/lists/anne")
		b.ReportMetric(float64(direct/calls), "direct-B/call")
		b.ReportMetric(float64(through/calls), "through-B/call")
	}
}

// memoryOfCalls returns the memory that calls in flight hold, in bytes.
func memoryOfCalls(calls int, url string) int64 {
	before := memory()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for range calls {
		wg.Go(func() {
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
			if err != nil {
				return
			}
			r.Header.Set("Authorization", "Bearer "+trial.LargeKey)
			if resp, err := http.DefaultClient.Do(r); err == nil {
				_ = resp.Body.Close()
			}
		})
	}
	time.Sleep(500 * time.Millisecond) // all calls wait at the target by then
	allocated := memory() - before
	cancel()
	wg.Wait()
	return allocated
}

// memory returns the bytes of live heap and of stacks.
func memory() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
