package document

import (
	"fmt"
	"slices"

	"wagtailshelf.example/wagtailshelf/internal/record/finding"
)

var allDangers = []Danger{NoTarget, ReplaceTargets, DropGroup, ReshapeGroup, DropWorkspace, MakeIdempotent, TrustFences}

var changeRules = []Rule{
	{
		Name:  "confirm-form",
		Title: "Each entry of `confirm` has a known `change`, and a `name` where the change has one.",
		Why:   "An explicit word with a slip in it would confirm nothing.",
		check: checkConfirmForm,
	},
	{
		Name:         "same-service",
		Title:        "`service` does not change.",
		Why:          "A renamed document would be another service; the history of the first would end without a word.",
		ComparedWith: ActiveDocument,
		check: func(p *pass) {
			if p.Service != p.active.Service {
				p.report("service", finding.Invalid, "the document in force is that of service %q", p.active.Service)
			}
		},
	},
	{
		Name:         "dangerous-change",
		Title:        "Each dangerous change has its explicit word in `confirm`.",
		Why:          "A slip in an editor must not shut out customers, end a running group or allow a call to be repeated.",
		ComparedWith: ActiveDocument,
		check:        checkConfirmed,
	},
	{
		Name:         "spent-confirmation",
		Title:        "`confirm` has no word for a change that this document doesn't make.",
		Why:          "A word left behind would confirm the same change when it is made by a slip later.",
		ComparedWith: ActiveDocument,
		check:        checkUnusedConfirmations,
	},
}

func checkConfirmForm(p *pass) {
	for i, c := range p.Confirm {
		if !slices.Contains(allDangers, c.Change) {
			p.report(entryPath("confirm", i, "change"), finding.Invalid, "change must be one of %v, not %q", allDangers, c.Change)
			continue
		}
		unnamed := c.Change == NoTarget || c.Change == ReplaceTargets
		if unnamed != (c.Name == "") {
			p.report("confirm"+index(i), finding.Invalid, "change %s: name must be given only if the change is of one thing", c.Change)
		}
	}
}

// dangerousChange is a dangerous change that a document makes.
type dangerousChange struct {
	Confirmation
	path    string
	message string
}

func checkConfirmed(p *pass) {
	if p.unchanged() {
		return
	}
	for _, d := range p.dangerousChanges() {
		if !p.confirms(d.Change, d.Name) {
			p.report(d.path, finding.Unsafe, "%s; if that is meant, put \"%s\" under confirm", d.message, d.confirmEntry())
		}
	}
}

func checkUnusedConfirmations(p *pass) {
	if p.unchanged() {
		return
	}
	changes := p.dangerousChanges()
	for i, c := range p.Confirm {
		if !slices.Contains(allDangers, c.Change) || c.Change == NoTarget && p.servingTargets() == 0 {
			continue
		}
		if !slices.ContainsFunc(changes, func(d dangerousChange) bool { return d.Confirmation == c }) {
			p.report("confirm"+index(i), finding.Unsafe,
				"this document doesn't make the change %q; take the word out", dangerousChange{Confirmation: c}.confirmEntry())
		}
	}
}

// unchanged reports whether the text is that of the active document. Its
// confirmations are then those of changes that it has already made.
func (p *pass) unchanged() bool { return p.digest == p.active.digest }

// confirmEntry returns the entry of confirm for the change.
func (d dangerousChange) confirmEntry() string {
	if d.Name == "" {
		return fmt.Sprintf("change: %s", d.Change)
	}
	return fmt.Sprintf("{change: %s, name: %s}", d.Change, d.Name)
}

// dangerousChanges lists the dangerous changes of the active document, except
// [NoTarget], which checkSomeTarget checks.
func (p *pass) dangerousChanges() []dangerousChange {
	var all []dangerousChange
	add := func(change Danger, name, path, format string, args ...any) {
		all = append(all, dangerousChange{Confirmation{change, name}, path, fmt.Sprintf(format, args...)})
	}
	p.dangerousTargetChanges(add)
	p.dangerousGroupChanges(add)
	p.dangerousRouteChanges(add)
	p.dangerousWorkspaceChanges(add)
	return all
}

// addFunc adds a dangerous change to a list.
type addFunc func(change Danger, name, path, format string, args ...any)

func (p *pass) dangerousWorkspaceChanges(add addFunc) {
	kept := make(map[string]bool, len(p.Workspaces))
	for _, w := range p.Workspaces {
		kept[w.Name] = true
	}
	for _, w := range p.active.Workspaces {
		if !kept[w.Name] {
			add(DropWorkspace, w.Name, "workspaces", "workspace %q would be shut out", w.Name)
		}
	}
}

func (p *pass) dangerousTargetChanges(add addFunc) {
	kept := 0
	for i := range p.Targets {
		t := &p.Targets[i]
		before := p.active.Target(t.Name)
		if before == nil {
			continue
		}
		kept++
		if t.ChecksFences && !before.ChecksFences {
			add(TrustFences, t.Name, entryPath("targets", i, "checksFences"),
				"target %q would be trusted to refuse orders with an old fence", t.Name)
		}
	}
	if kept == 0 && len(p.active.Targets) > 0 && len(p.Targets) > 0 {
		add(ReplaceTargets, "", "targets", "no target of the document in force is kept")
	}
}

func (p *pass) dangerousGroupChanges(add addFunc) {
	for _, before := range p.active.Groups {
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

// dangerousRouteChanges finds requests that run at most once under the active
// document and may be repeated under this one. A request can match another route
// than before: when a narrow path is removed, a wider one matches. So each pair of
// routes that overlap is compared for a path that both match.
func (p *pass) dangerousRouteChanges(add addFunc) {
	for i := range p.Routes {
		if r := &p.Routes[i]; r.Idempotent && p.allowsNewRepeats(r) {
			add(MakeIdempotent, r.Path, entryPath("routes", i, "idempotent"),
				"requests of %s that run at most once now could be repeated", r.Path)
		}
	}
}

// allowsNewRepeats reports whether the route matches a request that runs at most once
// under the active document.
func (p *pass) allowsNewRepeats(r *Route) bool {
	after := newPattern(r)
	for _, before := range p.active.routes {
		path, overlaps := after.overlap(before)
		if before.route.Idempotent || !overlaps {
			continue
		}
		for _, m := range r.Methods {
			prev := p.active.RouteFor(m, p.active.PathPrefix+path)
			if next := p.RouteFor(m, p.PathPrefix+path); prev != nil && !prev.Idempotent && next == r {
				return true
			}
		}
	}
	return false
}

var otherServiceRules = []Rule{{
	Name:         "own-routing",
	Title:        "No other service has the same `pathPrefix` for all hosts or for one of the same `hosts`.",
	Why:          "One team would get the requests of another. Which one's would depend on the order of their names.",
	ComparedWith: OtherServices,
	check:        checkOwnRouting,
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
