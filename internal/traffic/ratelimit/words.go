package ratelimit

import (
	"maps"
	"slices"
	"time"
)

// Report is what an entry received from a target on the rate that it takes.
type Report struct {
	Target    string
	Statement Statement // a rate, or nothing if the target ceased to name one
	Age       time.Duration
}

// Reports are the last rates of targets, to be sent to other entries. The zero value has none.
type Reports struct {
	byTarget map[string]record
}

type record struct {
	statement Statement
	at        time.Time
}

// maxReports bounds the memory of reports: as many targets can be sent on in half a minute.
const maxReports = 512

// Add records a report, unless a later one of its target is known.
func (r *Reports) Add(now time.Time, report Report) {
	at := now.Add(-max(report.Age, 0))
	if earlier, found := r.byTarget[report.Target]; found && !at.After(earlier.at) {
		return
	}
	if r.byTarget == nil {
		r.byTarget = make(map[string]record)
	}
	r.byTarget[report.Target] = record{statement: report.Statement, at: at}
	if len(r.byTarget) > maxReports {
		r.dropOldest()
	}
}

func (r *Reports) dropOldest() {
	oldest := ""
	for target, h := range r.byTarget {
		if oldest == "" || h.at.Before(r.byTarget[oldest].at) {
			oldest = target
		}
	}
	delete(r.byTarget, oldest)
}

// Recent returns the reports that are not older than some time, and forgets the others. If there are
// more than the caller has room for, each turn returns other ones.
func (r *Reports) Recent(now time.Time, newer time.Duration, most int, turn uint64) []Report {
	for target, h := range r.byTarget {
		if now.Sub(h.at) > newer {
			delete(r.byTarget, target)
		}
	}
	n := len(r.byTarget)
	if n == 0 {
		return nil
	}
	targets := slices.Sorted(maps.Keys(r.byTarget))
	begin := 0
	if n > most {
		begin = int(turn % uint64(n) * uint64(most) % uint64(n))
	}
	list := make([]Report, 0, min(n, most))
	for i := range min(n, most) {
		target := targets[(begin+i)%n]
		h := r.byTarget[target]
		list = append(list, Report{Target: target, Statement: h.statement, Age: now.Sub(h.at)})
	}
	return list
}
