package document

import (
	"strconv"

	"wagtailshelf.example/wagtailshelf/internal/record/finding"
)

var targetRules = []Rule{
	{
		Name:  "target-names",
		Title: "Each target has a name, a host and an address of its sidecar; each is used once.",
		Why:   "Two targets behind one sidecar could not be told apart, and one target under two names would get twice its share.",
		check: checkTargetNames,
	},
	{
		Name:  "target-place",
		Title: "Each target has a data centre and a weight of zero or more.",
		Why:   "Requests go to targets in the caller's data centre first.",
		check: checkTargetLocations,
	},
	{
		Name:  "some-target",
		Title: "A target is left that takes requests: not leaving, of a weight and shares above zero. Otherwise `confirm` has `noTarget`.",
		Why:   "Every request would be refused.",
		check: checkSomeTarget,
	},
	{
		Name:  "shares",
		Title: "A share names either a data centre or a target that the document has, each once, and is zero or more.",
		Why:   "A share of a name with a slip in it would silently do nothing.",
		check: checkShares,
	},
}

func index(i int) string { return "[" + strconv.Itoa(i) + "]" }

func checkTargetNames(p *pass) {
	names, hosts, addresses := make(map[string]string), make(map[string]string), make(map[string]string)
	for i, t := range p.Targets {
		p.requireName(entryPath("targets", i, "name"), t.Name)
		p.requireUnique(names, entryPath("targets", i, "name"), t.Name, "target")
		p.requireName(entryPath("targets", i, "host"), string(t.Host))
		p.requireUnique(hosts, entryPath("targets", i, "host"), string(t.Host), "host")
		p.checkAddress(addresses, i, t)
	}
}

func (p *pass) checkAddress(seen map[string]string, i int, t Target) {
	path := entryPath("targets", i, "address")
	if !p.requireValue(path, t.Address.IsValid()) {
		return
	}
	if t.Address.Port() == 0 || t.Address.Addr().IsUnspecified() || t.Address.Addr().IsMulticast() {
		p.report(path, finding.Invalid, "address %v is not one that a sidecar can be reached at", t.Address)
	}
	p.requireUnique(seen, path, t.Address.String(), "address")
}

func checkTargetLocations(p *pass) {
	for i, t := range p.Targets {
		p.requireName(entryPath("targets", i, "dataCentre"), string(t.DataCentre))
		requireBetween(p, entryPath("targets", i, "weight"), t.Weight, 0, 1000)
	}
}

func checkSomeTarget(p *pass) {
	if p.servingTargets() == 0 && !p.confirms(NoTarget, "") {
		p.report("targets", finding.Unsafe,
			"no target is left that takes requests; if that is meant, put \"change: noTarget\" under confirm")
	}
}

// servingTargets counts the targets that accept requests.
func (d *Document) servingTargets() int {
	n := 0
	for i := range d.Targets {
		if t := &d.Targets[i]; !t.Leaving && d.ShareOf(t) > 0 {
			n++
		}
	}
	return n
}

func checkShares(p *pass) {
	seen := make(map[string]string)
	for i, s := range p.Shares {
		path := "shares" + index(i)
		requireBetween(p, path+".share", s.Share, 0, 1000)
		if !p.source.Has(path + ".share") {
			p.report(path, finding.Missing, "%s.share is missing", path)
		}
		if (s.DataCentre == "") == (s.Target == "") {
			p.report(path, finding.Invalid, "a share must name either a dataCentre or a target")
			continue
		}
		p.requireUnique(seen, path, string(s.DataCentre)+"/"+s.Target, "share of")
		if !p.hasTargetsOf(s) {
			p.report(path, finding.Reference, "no target is in data centre or has the name %q", string(s.DataCentre)+s.Target)
		}
	}
}

// hasTargetsOf reports whether the share applies to any target of the document.
func (d *Document) hasTargetsOf(s Share) bool {
	for _, t := range d.Targets {
		if t.DataCentre == s.DataCentre || t.Name == s.Target {
			return true
		}
	}
	return false
}
