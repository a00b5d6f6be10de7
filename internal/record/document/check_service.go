package document

import (
	"slices"
	"strings"

	"wagtailshelf.example/wagtailshelf/internal/record/finding"
)

var serviceRules = []Rule{
	{
		Name:  "service-name",
		Title: "`service` is given and is a lower-case name without dots.",
		Why:   "It names the document's objects in the platform, where a dot ends it.",
		check: checkServiceName,
	},
	{
		Name:  "service-kind",
		Title: "`kind` is `model` or `plain`.",
		Why:   "It decides whether prompts, groups and fences have a meaning.",
		check: func(p *pass) {
			if p.Kind != Model && p.Kind != Plain {
				p.report("kind", finding.Invalid, "kind must be model or plain, not %q", p.Kind)
			}
		},
	},
	{
		Name:  "service-routing",
		Title: "`pathPrefix`, `hosts` or both are given; a prefix begins with `/`, ends without one and has one reading; hosts are in lower case and without a port.",
		Why:   "A service without them would get no requests, or those of others.",
		check: checkRouting,
	},
	{
		Name:  "workspaces",
		Title: "There is at least one workspace; names and keys are used once; each has a key and a share above zero.",
		Why:   "Callers are known by their key. A key of two workspaces would charge one for the work of the other.",
		check: checkWorkspaces,
	},
}

// ValidService reports whether name has the form of a service name.
func ValidService(name string) bool {
	return nameForm.MatchString(name) && !strings.Contains(name, ".")
}

// CheckService reports a document that is stored under the name of another service.
func (d *Document) CheckService(file, service string) finding.List {
	if d.Service == service || d.Service == "" {
		return nil
	}
	return finding.List{{
		Position: finding.Position{File: file, Line: 1, Column: 1},
		Category: finding.Invalid,
		Path:     "service",
		Message:  "the document is that of service " + d.Service + ", not of " + service,
	}}
}

func checkServiceName(p *pass) {
	p.requireName("service", p.Service)
	if strings.Contains(p.Service, ".") {
		p.report("service", finding.Invalid, "service %q must not have a dot", p.Service)
	}
}

func checkRouting(p *pass) {
	if p.PathPrefix == "" && len(p.Hosts) == 0 {
		p.report("pathPrefix", finding.Missing, "pathPrefix, hosts or both must be given")
	}
	if !validPrefix(p.PathPrefix) {
		p.report("pathPrefix", finding.Invalid,
			"pathPrefix %q must begin with / and have neither a / at its end nor empty, encoded or dot segments", p.PathPrefix)
	}
	seen := make(map[string]string)
	for i, h := range p.Hosts {
		path := "hosts" + index(i)
		p.requireName(path, h)
		p.requireUnique(seen, path, h, "host")
	}
}

func validPrefix(prefix string) bool {
	if prefix == "" {
		return true
	}
	segments, ok := splitPath(prefix)
	return ok && prefix[0] == '/' && !slices.Contains(segments, "") && len(segments) > 0 &&
		!strings.ContainsAny(prefix, "*{}?#% ")
}

func checkWorkspaces(p *pass) {
	if len(p.Workspaces) == 0 {
		p.report("workspaces", finding.Missing, "at least one workspace must be given; nobody could call the service")
	}
	names, keys := make(map[string]string), make(map[string]string)
	for i, w := range p.Workspaces {
		p.requireName(entryPath("workspaces", i, "name"), w.Name)
		p.requireUnique(names, entryPath("workspaces", i, "name"), w.Name, "workspace")
		requirePositive(p, entryPath("workspaces", i, "share"), w.Share)
		if len(w.Keys) == 0 {
			p.report(entryPath("workspaces", i, "keys"), finding.Missing, "workspace %q has no key; nobody could call for it", w.Name)
		}
		for j, k := range w.Keys {
			if k != (KeyDigest{}) {
				p.requireUnique(keys, entryPath("workspaces", i, "keys")+index(j), k.String(), "key")
			}
		}
	}
}
