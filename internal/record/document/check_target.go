package document

import (
	"strconv"

	"wagtailshelf.example/wagtailshelf/internal/record/finding"
)

var targetUnits = []Unit{
	{
		Name:  "target-names",
		Title: "Each target has a name, a host and an address of its sidecar; each is used once.",
		Why:   "Two targets behind one sidecar could not be told apart, and one target under two names would get twice its share.",
		run:   checkTargetNames,
	},
	{
		Name:  "target-place",
		Title: "Each target has a data centre and a weight of zero or more.",
		Why:   "Requests go to targets in the caller's data centre first.",
		run:   checkTargetPlaces,
	},
	{
		Name:  "some-target",
		Title: "A target is left that takes requests: not leaving, of a weight and shares above zero. Otherwise `confirm` has `noTarget`.",
		Why:   "Every request would be refused.",
		run:   checkSomeTarget,
	},
	{
		Name:  "shares",
		Title: "A share names either a data centre or a target that the document has, each once, and is zero or more.",
		Why:   "A share of a name with a slip in it would silently do nothing.",
		run:   checkShares,
	},
}

func index(i int) string { return "[" + strconv.Itoa(i) + "]" }

func checkTargetNames(p *pass) {
	names, hosts, addresses := make(map[string]string), make(map[string]string), make(map[string]string)
	for i, t := range p.Targets {
		p.named(at("targets", i, "name"), t.Name)
		p.unique(names, at("targets", i, "name"), t.Name, "target")
		p.named(at("targets", i, "host"), string(t.Host))
		p.unique(hosts, at("targets", i, "host"), string(t.Host), "host")
		p.checkAddress(addresses, i, t)
	}
}

func (p *pass) checkAddress(seen map[string]string, i int, t Target) {
	path := at("targets", i, "address")
	if !p.require(path, t.Address.IsValid()) {
		return
	}
	if t.Address.Port() == 0 || t.Address.Addr().IsUnspecified() || t.Address.Addr().IsMulticast() {
		p.report(path, finding.Invalid, "address %v is not one that a sidecar can be reached at", t.Address)
	}
	p.unique(seen, path, t.Address.String(), "address")
}

func checkTargetPlaces(p *pass) {
	for i, t := range p.Targets {
		p.named(at("targets", i, "dataCentre"), string(t.DataCentre))
		between(p, at("targets", i, "weight"), t.Weight, 0, 1000)
	}
}

func checkSomeTarget(p *pass) {
	if p.serving() == 0 && !p.confirmed(NoTarget, "") {
		p.report("targets", finding.Unsafe,
			"no target is left that takes requests; if that is meant, put \"change: noTarget\" under confirm")
	}
}

// serving counts the targets that take requests.
func (d *Document) serving() int {
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
		between(p, path+".share", s.Share, 0, 1000)
		if !p.src.Has(path + ".share") {
			p.report(path, finding.Missing, "%s.share is missing", path)
		}
		if (s.DataCentre == "") == (s.Target == "") {
			p.report(path, finding.Invalid, "a share must name either a dataCentre or a target")
			continue
		}
		p.unique(seen, path, string(s.DataCentre)+"/"+s.Target, "share of")
		if !p.has(s) {
			p.report(path, finding.Reference, "no target is in data centre or has the name %q", string(s.DataCentre)+s.Target)
		}
	}
}

func (d *Document) has(s Share) bool {
	for _, t := range d.Targets {
		if t.DataCentre == s.DataCentre || t.Name == s.Target {
			return true
		}
	}
	return false
}
