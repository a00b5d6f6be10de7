package trial

import (
	"context"
	"fmt"
	"io"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/standin/service"
)

// dataCentres are the data centres of the trial's deployment.
var dataCentres = []host.DataCentre{"mtl-a", "mtl-b", "mtl-c"}

const (
	engineCount  = 4
	serviceCount = 2
	entryCount   = 3
)

// Run runs all stages. It writes the name of each stage to progress, and the log
// lines of the processes to logs.
func Run(ctx context.Context, progress, logs io.Writer) (*Report, error) {
	d, err := NewDeployment(logs)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	s := &session{Deployment: d, callers: newCallers(), blackholes: &blackholes{}, logbook: service.New(), checks: make(map[promise]int), breaches: []breach{}, documentNumbers: make(map[documentKey]uint64)}
	defer s.callers.close()
	if err := s.start(ctx); err != nil {
		return nil, err
	}
	report := &Report{}
	for _, st := range stages {
		fmt.Fprintf(progress, "%-18s %s\n", st.name, st.doc)
		s.callers.beginStage(st.name)
		startedAt := time.Now()
		if err := st.run(s, ctx); err != nil {
			return nil, fmt.Errorf("stage %s: %w", st.name, err)
		}
		if err := s.checkActiveDocuments(ctx); err != nil {
			return nil, err
		}
		report.Stages = append(report.Stages, s.stageReport(st, time.Since(startedAt)))
	}
	s.checkCalls()
	report.Promises = s.promiseReports()
	report.Breaches = s.breaches
	return report, nil
}

// start starts the processes, stores the documents, and waits until all entries
// are ready and all documents are active.
func (s *session) start(ctx context.Context) error {
	for i := range engineCount {
		t, err := s.AddEngine(fmt.Sprintf("redaction-%d", i), dataCentres[i%len(dataCentres)])
		if err != nil {
			return err
		}
		s.redaction = append(s.redaction, t)
	}
	for i := range serviceCount {
		t, err := s.AddService(fmt.Sprintf("agenda-%d", i), dataCentres[i%len(dataCentres)], s.logbook)
		if err != nil {
			return err
		}
		s.agenda = append(s.agenda, t)
	}
	if err := s.Put(ctx, "redaction", RedactionDocument(s.redaction, "")); err != nil {
		return err
	}
	if err := s.Put(ctx, "agenda", AgendaDocument(s.agenda, "")); err != nil {
		return err
	}
	for i := range entryCount {
		dc := dataCentres[i%len(dataCentres)]
		if _, err := s.AddEntry(host.Name(fmt.Sprintf("%s-entry-%d", dc, i)), dc, s.blackholes.wrap); err != nil {
			return err
		}
	}
	if err := s.awaitReady(ctx); err != nil {
		return err
	}
	return s.awaitActive(ctx)
}

// awaitReady waits until all entries are ready, for readyBound at the most.
func (s *session) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyBound)
	defer cancel()
	for _, e := range s.Entries {
		for !e.Ready() {
			select {
			case <-ctx.Done():
				return fmt.Errorf("entry %s is not ready: %w", e.Name, context.Cause(ctx))
			case <-time.After(5 * time.Millisecond):
			}
		}
	}
	return nil
}
