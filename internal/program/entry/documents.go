package entry

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/program/documents"
	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/record/finding"
	"wagtailshelf.example/wagtailshelf/internal/record/status"
	"wagtailshelf.example/wagtailshelf/internal/wire/caller"
)

// serviceStatus is what operators can query about a service besides its document.
type serviceStatus struct {
	activeSince time.Time       // when the active document became active
	refusal     *status.Refusal // the last text with findings; nil after a text without
}

// installDocument activates a document that was read from the platform.
func (e *Entry) installDocument(d documents.Document) { e.Install(d.Service, d.Number, d.Text) }

// Install activates a document. A number that is not higher than that of the active
// document changes nothing, no matter who calls Install.
func (e *Entry) Install(service string, number uint64, text []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	current := e.services[service]
	if current != nil && current.Number >= number {
		return
	}
	d, findings := document.Parse(service+".yaml", text)
	st := e.statuses[service]
	st.refusal = refusalOf(number, findings)
	if len(findings) > 0 {
		e.log.Error().Str("service", service).Uint64("number", number).Err(findings).Msg("document does not check")
	}
	if len(findings) > 0 && !usable(d, service) {
		e.statuses[service] = st
		return
	}
	st.activeSince = time.Now()
	e.statuses[service] = st
	e.services[service] = caller.NewService(d, number)
	e.publish()
	if r := e.routers[service]; r != nil {
		r.send(e.ctx, routerMessage{kind: documentMessage, document: d}) // waits for room, since this message must not be dropped
		e.claimManagers[service].trySend(claimMessage{kind: claimDocumentMessage, document: d})
		return
	}
	e.startRouter(d)
	e.startClaims(d)
}

// refusalOf returns the report for operators about a text with findings; nil if there
// are none.
func refusalOf(number uint64, findings finding.List) *status.Refusal {
	if len(findings) == 0 {
		return nil
	}
	return &status.Refusal{
		Number: number, Count: len(findings), Findings: findings[:min(len(findings), status.MaxFindings)],
	}
}

// process returns this entry's status of a service.
func (e *Entry) process(service string) status.Process {
	e.mu.Lock()
	defer e.mu.Unlock()
	st := e.statuses[service]
	p := status.Process{
		Host: e.cfg.Identity.Name, Since: st.activeSince, Refused: st.refusal, Outcomes: e.counts.tally.of(service),
	}
	if s := e.services[service]; s != nil {
		p.Number = s.Number
	}
	return p
}

// usable reports whether a document with findings can be active nevertheless. The
// document has been applied, so a program with newer checks must not stay on the
// previous document while all others move on: it uses what could be read, unless
// that leaves nothing to route with.
func usable(d *document.Document, service string) bool {
	return d.Service == service && len(d.Targets) > 0 && len(d.Routes) > 0 && len(d.Workspaces) > 0
}

// startRouter starts the router of a service. The caller holds e.mu.
func (e *Entry) startRouter(d *document.Document) {
	r := e.newRouter(time.Now(), d)
	e.routers[d.Service] = r
	e.background.Add(1)
	go func() {
		defer e.background.Done()
		_ = r.serve(e.ctx) // ends with e.ctx only
	}()
}

// publish makes the services visible to callers. The caller holds e.mu.
func (e *Entry) publish() {
	list := make([]*document.Document, 0, len(e.services))
	byName := make(map[string]*caller.Service, len(e.services))
	for name, s := range e.services {
		list = append(list, s.Document)
		byName[name] = s
	}
	e.active.Store(&activeServices{documents: list, services: byName})
}

// activeServices is an immutable snapshot of the services, which requests are routed by.
type activeServices struct {
	documents []*document.Document
	services  map[string]*caller.Service
}

// find returns the service for a host name and a path; nil if there is none.
func (e *Entry) find(hostname, path string) *caller.Service {
	view := e.active.Load()
	if view == nil {
		return nil
	}
	d := document.Select(view.documents, hostname, path)
	if d == nil {
		return nil
	}
	return view.services[d.Service]
}

func (e *Entry) routerOf(service string) *router {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.routers[service]
}
