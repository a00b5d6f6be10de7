package setting

import (
	"encoding/pem"
	"fmt"
	"net/netip"
	"regexp"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/record/finding"
	"wagtailshelf.example/wagtailshelf/internal/wire/credential"
)

// Bounds of settings.
const (
	maxAddresses  = 64
	maxOperators  = 1000
	maxTimeout    = time.Minute
	maxDrainDelay = 5 * time.Minute
	maxCalls      = 1000 // calls to the platform per second
	drainMargin   = time.Minute
)

// Check is one check of the settings.
type Check struct {
	Name string
	What string // what must hold
	Why  string
	run  func(*checker)
}

// Checks returns all checks, in the order in which they run.
func Checks() []Check { return checks }

var checks = []Check{
	{"role", "`role` is `entry` or `sidecar`.", "Nearly all else depends on it.", checkRole},
	{"names", "`name` and `dataCentre` are given; names are letters, digits, `-` and `.`.", "Names stand in certificates, documents and logs.", checkNames},
	{"otherRole", "No key is given that only the other role reads.", "The writer expects an effect that there would not be.", checkOtherRole},
	{"listen", "Ports are not 0; `listen.peers` is one address of the host; the two HTTP listeners differ.", "Others learn the address for peers, so it must lead to this host from elsewhere.", checkListen},
	{"contacts", "There is an address of the platform.", "A process that can ask nobody never learns what is in force.", checkContacts},
	{"target", "A sidecar has the address of its target, and its kind is `model` or `plain`.", "It is the only door to that target.", checkTarget},
	{"tls", "Certificate, key and authorities are each given once, as PEM or by file.", "Without them no other process can be told from a stranger.", checkTLS},
	{"operators", "Operators have a name of their own and one to four tokens that no other has.", "Who did something must be known afterwards.", checkOperators},
	{"bounds", "Timeouts and rates are within their ranges.", "A zero would never wait; a huge one would hide a failure.", checkBounds},
	{"drain", fmt.Sprintf("`drain.bound` is longer than %s, the longest deadline that a document can give.", document.MaxDeadline), "A shorter one would cut off requests that still have time. A drain ends as soon as nothing is in flight, so a long bound costs nothing.", checkDrain},
	{"log", "`log.level` is `debug`, `info`, `warn` or `error`.", "", checkLog},
}

var nameForm = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9.-]{0,126}[A-Za-z0-9])?$`)

func checkRole(p *checker) {
	switch p.s.Role {
	case host.Entry, host.Sidecar:
	case "":
		p.missing("role", "role is missing; it is entry or sidecar")
	default:
		p.invalid("role", "role %q is not known; it is entry or sidecar", p.s.Role)
	}
}

func checkNames(p *checker) {
	names := []struct {
		path, value string
		required    bool
	}{
		{"name", string(p.s.Name), true},
		{"dataCentre", string(p.s.DataCentre), true},
		{"region", string(p.s.Region), false},
	}
	for _, n := range names {
		switch {
		case n.value == "" && n.required:
			p.missing(n.path, "%s is missing", n.path)
		case n.value != "" && !nameForm.MatchString(n.value):
			p.invalid(n.path, "%s %q may have letters, digits, - and . only", n.path, n.value)
		}
	}
}

func checkOtherRole(p *checker) {
	for _, f := range fields {
		if f.Role != "" && p.s.Role != "" && f.Role != p.s.Role && p.src.Has(f.Path) {
			p.invalid(f.Path, "%s is for the role %s only", f.Path, f.Role)
		}
	}
}

func checkListen(p *checker) {
	l := p.s.Listen
	p.port("listen.peers", l.Peers)
	p.port("listen.administration", l.Administration)
	if l.Peers.Addr().IsUnspecified() {
		p.invalid("listen.peers", "peers can't reach %s; give the host's own address", l.Peers.Addr())
	}
	if p.s.Role != host.Entry {
		return
	}
	p.port("listen.callers", l.Callers)
	if l.Callers == l.Administration {
		p.report("listen.administration", finding.Duplicate, "listen.callers has the same address %s", l.Callers)
	}
}

// port reports an address with port 0, which can't be reached.
func (p *checker) port(path string, a netip.AddrPort) {
	if a.Port() == 0 {
		p.invalid(path, "the port of %s must not be 0", a)
	}
}

func checkContacts(p *checker) {
	p.addresses("platform", p.s.Platform)
	if len(p.s.Platform) == 0 {
		p.missing("platform", "platform is missing; at least one address is needed")
	}
}

func (p *checker) addresses(path string, list []netip.AddrPort) {
	if len(list) > maxAddresses {
		p.invalid(path, "%s has %d addresses; at most %d are allowed", path, len(list), maxAddresses)
		return
	}
	seen := make(map[netip.AddrPort]bool, len(list))
	for i, a := range list {
		at := fmt.Sprintf("%s[%d]", path, i)
		switch {
		case a.IsValid() && (a.Port() == 0 || a.Addr().IsUnspecified()):
			p.invalid(at, "%s is not an address that can be reached", a)
		case seen[a]:
			p.report(at, finding.Duplicate, "%s is given twice", a)
		}
		seen[a] = true
	}
}

func checkTarget(p *checker) {
	if p.s.Role != host.Sidecar {
		return
	}
	t := p.s.Target
	switch {
	case !t.Address.IsValid():
		p.missing("target.address", "target.address is missing")
	case t.Address.Port() == 0 || t.Address.Addr().IsUnspecified():
		p.invalid("target.address", "%s is not an address that can be reached", t.Address)
	}
	if t.Kind != document.Model && t.Kind != document.Plain {
		p.invalid("target.kind", "kind %q is not known; it is %s or %s", t.Kind, document.Model, document.Plain)
	}
}

func checkTLS(p *checker) {
	t := p.s.TLS
	p.pem("tls.certificate", t.Certificate, t.CertificateFile)
	p.pem("tls.key", string(t.Key), t.KeyFile)
	p.pem("tls.authorities", t.Authorities, t.AuthoritiesFile)
	if len(p.list) > 0 || t.CertificateFile+t.KeyFile+t.AuthoritiesFile != "" {
		return // the contents of files are checked when they are read
	}
	m, _ := t.Material(nil)
	id, err := m.Identity()
	switch {
	case err != nil:
		p.invalid("tls.certificate", "%v", err)
	case id != credential.Identity{Name: p.s.Name, Role: p.s.Role}:
		p.invalid("tls.certificate", "the certificate is for the %s %q, not for this process", id.Role, id.Name)
	}
}

// pem reports a value that is missing, given both as text and as a file, or not in PEM.
func (p *checker) pem(path, text, file string) {
	switch {
	case text != "" && file != "":
		p.report(path+"File", finding.Duplicate, "%s is given too; one of them must go", path)
	case text == "" && file == "":
		p.missing(path, "%s is missing; give it as PEM, or as %sFile", path, path)
	case text != "":
		if block, _ := pem.Decode([]byte(text)); block == nil {
			p.invalid(path, "%s is not in PEM", path)
		}
	}
}

func checkOperators(p *checker) {
	if len(p.s.Operators) > maxOperators {
		p.invalid("operators", "at most %d operators are allowed", maxOperators)
		return
	}
	names := make(map[string]bool)
	tokens := make(map[credential.Digest]bool)
	for i, o := range p.s.Operators {
		at := fmt.Sprintf("operators[%d]", i)
		switch {
		case o.Name == "":
			p.missing(at+".name", "the operator has no name")
		case names[o.Name]:
			p.report(at+".name", finding.Duplicate, "operator %q is given twice", o.Name)
		}
		names[o.Name] = true
		if len(o.Tokens) < 1 || len(o.Tokens) > 4 {
			p.invalid(at+".tokens", "the operator has %d tokens; one to four are allowed", len(o.Tokens))
		}
		for j, d := range o.Tokens {
			if tokens[d] && d != (credential.Digest{}) {
				p.report(fmt.Sprintf("%s.tokens[%d]", at, j), finding.Duplicate, "the token is given twice")
			}
			tokens[d] = true
		}
	}
}

func checkBounds(p *checker) {
	t := p.s.Timeouts
	p.between("timeouts.platformCall", t.PlatformCall, maxTimeout)
	p.between("timeouts.platformTurn", t.PlatformTurn, maxTimeout)
	p.between("timeouts.targetDial", t.TargetDial, maxTimeout)
	p.between("timeouts.targetReport", t.TargetReport, maxTimeout)
	if c := p.s.Limits.PlatformCalls; c <= 0 || c > maxCalls {
		p.invalid("limits.platformCalls", "%v calls a second must be above 0 and at most %d", c, maxCalls)
	}
	if n := p.s.Limits.Memory; n < 0 {
		p.invalid("limits.memoryMB", "%d must not be below 0", n)
	}
	if n := p.s.Limits.Descriptors; n < 0 {
		p.invalid("limits.descriptors", "%d must not be below 0", n)
	}
}

// between reports a duration that is not from 1 ms to longest.
func (p *checker) between(path string, d, longest time.Duration) {
	if d < time.Millisecond || d > longest {
		p.invalid(path, "%v must be from %v to %v", d, time.Millisecond, longest)
	}
}

func checkDrain(p *checker) {
	d := p.s.Drain
	if d.Delay < 0 || d.Delay > maxDrainDelay {
		p.invalid("drain.delay", "%v must be from 0s to %v", d.Delay, maxDrainDelay)
	}
	if d.Bound <= document.MaxDeadline {
		p.invalid("drain.bound", "%v must be longer than %v, the longest deadline of a request", d.Bound, document.MaxDeadline)
	}
}

func checkLog(p *checker) {
	switch p.s.Log.Level {
	case Debug, Info, Warn, Error:
	default:
		p.invalid("log.level", "level %q is not known; it is %s, %s, %s or %s", p.s.Log.Level, Debug, Info, Warn, Error)
	}
}
