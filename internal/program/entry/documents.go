package entry

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/program/documents"
	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/record/finding"
	"wagtailshelf.example/wagtailshelf/internal/record/status"
	"wagtailshelf.example/wagtailshelf/internal/wire/caller"
)

// note is what operators may ask about a service, beside its document.
type note struct {
	since   time.Time       // of the document in force
	refused *status.Refusal // the last text with findings, until one without
}

// take puts a document in force that the platform has.
func (e *Entry) take(d documents.Document) { e.Install(d.Service, d.Number, d.Text) }

// Install puts a document in force. A number that is not higher than the one in
// force changes nothing, whoever asks for it.
func (e *Entry) Install(service string, number uint64, text []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	current := e.services[service]
	if current != nil && current.Number >= number {
		return
	}
	d, findings := document.Parse(service+".yaml", text)
	n := e.notes[service]
	n.refused = refusalOf(number, findings)
	if len(findings) > 0 {
		e.log.Error().Str("service", service).Uint64("number", number).Err(findings).Msg("document does not check")
	}
	if len(findings) > 0 && !usable(d, service) {
		e.notes[service] = n
		return
	}
	n.since = time.Now()
	e.notes[service] = n
	e.services[service] = caller.NewService(d, number)
	e.publish()
	if r := e.routers[service]; r != nil {
		r.ask(e.ctx, routerMessage{kind: tellService, document: d}) // not dropped when the ring is full
		e.claims[service].tell(claimMessage{kind: tellTimes, document: d})
		return
	}
	e.startRouter(d)
	e.startClaims(d)
}

// refusalOf returns what operators are told of a text with findings, or nil.
func refusalOf(number uint64, findings finding.List) *status.Refusal {
	if len(findings) == 0 {
		return nil
	}
	return &status.Refusal{
		Number: number, Count: len(findings), Findings: findings[:min(len(findings), status.MaxFindings)],
	}
}

// process returns what this entry says of a service.
func (e *Entry) process(service string) status.Process {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := e.notes[service]
	p := status.Process{
		Host: e.cfg.Identity.Name, Since: n.since, Refused: n.refused, Outcomes: e.counts.tally.of(service),
	}
	if s := e.services[service]; s != nil {
		p.Number = s.Number
	}
	return p
}

// usable tells whether a document that does not check can be in force all the
// same. It is applied, so a program with newer checks must not stay on
// the one before it while all others move on: what could be read of it counts,
// unless that leaves nothing to route by.
func usable(d *document.Document, service string) bool {
	return d.Service == service && len(d.Targets) > 0 && len(d.Routes) > 0 && len(d.Workspaces) > 0
}

// startRouter begins the routing duty of a service. The caller holds e.mu.
func (e *Entry) startRouter(d *document.Document) {
	r := e.newRouter(time.Now(), d)
	e.routers[d.Service] = r
	e.duties.Add(1)
	go func() {
		defer e.duties.Done()
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
	e.inForce.Store(&inForce{documents: list, services: byName})
}

// inForce is what callers see: an unchanging view of the services.
type inForce struct {
	documents []*document.Document
	services  map[string]*caller.Service
}

func (e *Entry) find(hostname, path string) *caller.Service {
	view := e.inForce.Load()
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
