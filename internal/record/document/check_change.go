package document

import (
	"fmt"
	"slices"

	"wagtailshelf.example/wagtailshelf/internal/record/finding"
)

var dangers = []Danger{NoTarget, ReplaceTargets, DropGroup, ReshapeGroup, DropWorkspace, MakeIdempotent, TrustFences}

var changeUnits = []Unit{
	{
		Name:  "confirm-form",
		Title: "Each entry of `confirm` has a known `change`, and a `name` where the change has one.",
		Why:   "An explicit word with a slip in it would confirm nothing.",
		run:   checkConfirmForm,
	},
	{
		Name:    "same-service",
		Title:   "`service` does not change.",
		Why:     "A renamed document would be another service; the history of the first would end without a word.",
		Against: InForce,
		run: func(p *pass) {
			if p.Service != p.inForce.Service {
				p.report("service", finding.Invalid, "the document in force is that of service %q", p.inForce.Service)
			}
		},
	},
	{
		Name:    "dangerous-change",
		Title:   "Each dangerous change has its explicit word in `confirm`.",
		Why:     "A slip in an editor must not shut out customers, end a running group or allow a call to be repeated.",
		Against: InForce,
		run:     checkDangers,
	},
	{
		Name:    "spent-confirmation",
		Title:   "`confirm` has no word for a change that this document doesn't make.",
		Why:     "A word left behind would confirm the same change when it is made by a slip later.",
		Against: InForce,
		run:     checkSpent,
	},
}

func checkConfirmForm(p *pass) {
	for i, c := range p.Confirm {
		if !slices.Contains(dangers, c.Change) {
			p.report(at("confirm", i, "change"), finding.Invalid, "change must be one of %v, not %q", dangers, c.Change)
			continue
		}
		whole := c.Change == NoTarget || c.Change == ReplaceTargets
		if whole != (c.Name == "") {
			p.report("confirm"+index(i), finding.Invalid, "change %s: name must be given only if the change is of one thing", c.Change)
		}
	}
}

// danger is a dangerous change that a document makes.
type danger struct {
	Confirmation
	path    string
	message string
}

func checkDangers(p *pass) {
	if p.same() {
		return
	}
	for _, d := range p.dangers() {
		if !p.confirmed(d.Change, d.Name) {
			p.report(d.path, finding.Unsafe, "%s; if that is meant, put \"%s\" under confirm", d.message, d.word())
		}
	}
}

func checkSpent(p *pass) {
	if p.same() {
		return
	}
	made := p.dangers()
	for i, c := range p.Confirm {
		if !slices.Contains(dangers, c.Change) || c.Change == NoTarget && p.serving() == 0 {
			continue
		}
		if !slices.ContainsFunc(made, func(d danger) bool { return d.Confirmation == c }) {
			p.report("confirm"+index(i), finding.Unsafe,
				"this document doesn't make the change %q; take the word out", danger{Confirmation: c}.word())
		}
	}
}

// same reports whether the text is the one in force, whose confirmations are
// spent by it.
func (p *pass) same() bool { return p.digest == p.inForce.digest }

// word returns the entry of confirm for the change.
func (d danger) word() string {
	if d.Name == "" {
		return fmt.Sprintf("change: %s", d.Change)
	}
	return fmt.Sprintf("{change: %s, name: %s}", d.Change, d.Name)
}

// dangers lists the dangerous changes from the document in force. That no
// target is left is a check of its own.
func (p *pass) dangers() []danger {
	var all []danger
	add := func(change Danger, name, path, format string, args ...any) {
		all = append(all, danger{Confirmation{change, name}, path, fmt.Sprintf(format, args...)})
	}
	p.targetDangers(add)
	p.groupDangers(add)
	p.routeDangers(add)
	p.workspaceDangers(add)
	return all
}

type addDanger func(change Danger, name, path, format string, args ...any)

func (p *pass) workspaceDangers(add addDanger) {
	kept := make(map[string]bool, len(p.Workspaces))
	for _, w := range p.Workspaces {
		kept[w.Name] = true
	}
	for _, w := range p.inForce.Workspaces {
		if !kept[w.Name] {
			add(DropWorkspace, w.Name, "workspaces", "workspace %q would be shut out", w.Name)
		}
	}
}

func (p *pass) targetDangers(add addDanger) {
	kept := 0
	for i := range p.Targets {
		t := &p.Targets[i]
		before := p.inForce.Target(t.Name)
		if before == nil {
			continue
		}
		kept++
		if t.ChecksFences && !before.ChecksFences {
			add(TrustFences, t.Name, at("targets", i, "checksFences"),
				"target %q would be trusted to refuse orders with an old fence", t.Name)
		}
	}
	if kept == 0 && len(p.inForce.Targets) > 0 && len(p.Targets) > 0 {
		add(ReplaceTargets, "", "targets", "no target of the document in force is kept")
	}
}

func (p *pass) groupDangers(add addDanger) {
	for _, before := range p.inForce.Groups {
		i := slices.IndexFunc(p.Groups, func(g Group) bool { return g.Name == before.Name })
		if i < 0 {
			add(DropGroup, before.Name, "groups", "group %q would end", before.Name)
			continue
		}
		if !sameShape(before, p.Groups[i]) {
			add(ReshapeGroup, before.Name, "groups"+index(i), "group %q would have to form anew", before.Name)
		}
	}
}

func sameShape(a, b Group) bool {
	return a.Ranks == b.Ranks && a.Layers == b.Layers && a.Experts == b.Experts && a.SlotsPerRank == b.SlotsPerRank
}

// routeDangers finds the requests that the document in force runs at most once
// and this one would repeat. A request can get there by another route than its
// own: where a narrow path is dropped, a wide one takes over. So each pair of
// routes that can meet is tried with a path that both match.
func (p *pass) routeDangers(add addDanger) {
	for i := range p.Routes {
		if r := &p.Routes[i]; r.Idempotent && p.repeatsMore(r) {
			add(MakeIdempotent, r.Path, at("routes", i, "idempotent"),
				"requests of %s that run at most once now could be repeated", r.Path)
		}
	}
}

func (p *pass) repeatsMore(r *Route) bool {
	after := newPattern(r)
	for _, before := range p.inForce.routes {
		path, meet := after.meet(before)
		if before.route.Idempotent || !meet {
			continue
		}
		for _, m := range r.Methods {
			was := p.inForce.RouteFor(m, p.inForce.PathPrefix+path)
			if is := p.RouteFor(m, p.PathPrefix+path); was != nil && !was.Idempotent && is == r {
				return true
			}
		}
	}
	return false
}

var besideUnits = []Unit{{
	Name:    "own-routing",
	Title:   "No other service has the same `pathPrefix` for all hosts or for one of the same `hosts`.",
	Why:     "One team would get the requests of another. Which one's would depend on the order of their names.",
	Against: Others,
	run:     checkOwnRouting,
}}

func checkOwnRouting(p *pass) {
	for _, other := range p.others {
		if other.Service == p.Service || other.PathPrefix != p.PathPrefix {
			continue
		}
		if len(p.Hosts) == 0 && len(other.Hosts) == 0 {
			p.report("pathPrefix", finding.Duplicate, "service %q has the same pathPrefix", other.Service)
		}
		for i, h := range p.Hosts {
			if slices.Contains(other.Hosts, h) {
				p.report("hosts"+index(i), finding.Duplicate, "service %q has the same host and pathPrefix", other.Service)
			}
		}
	}
}
