package setting

import (
	"fmt"
	"strings"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
)

// Field is the documentation of one setting.
type Field struct {
	Path    string // "[]" stands for each item of a list
	Role    host.Role
	Unit    string // form or unit of the value
	Default string
	Meaning string
}

// Fields returns the documentation of all settings, in the order of the operators' page.
func Fields() []Field { return fields }

const required = "required"

var fields = []Field{
	{"role", "", "`entry` or `sidecar`", required, "What the process does."},
	{"name", "", "name", required, "Name of the host, the same as in its certificate."},
	{"dataCentre", "", "name", required, "Data centre of the host."},
	{"region", "", "name", "none", "Region of the data centre. Data centres of one region are preferred to others."},
	{"listen.callers", host.Entry, "ip:port", "`127.0.0.1:7400`", "HTTP for callers."},
	{"listen.peers", "", "ip:port", "`127.0.0.1:7401`", "QUIC for the other processes of the system (UDP). They learn this address, so it must be one at which they reach the host."},
	{"listen.administration", "", "ip:port", "`127.0.0.1:7402`", "HTTP for operators: dump, metrics, health, administration."},
	{"platform", "", "list of ip:port", "required", "Addresses of the platform's object service."},
	{"target.address", host.Sidecar, "ip:port", "required of a sidecar", "The target behind this sidecar."},
	{"target.kind", host.Sidecar, "`model` or `plain`", "`model`", "Whether the target is a model engine or a plain service."},
	{"tls.certificate", "", "PEM", required, "Certificate of this process, naming its host and role, then any intermediate ones. Or `tls.certificateFile`."},
	{"tls.certificateFile", "", "file name", "none", "File with the certificate."},
	{"tls.key", "", "PEM", required, "Private key of the certificate. Or `tls.keyFile`."},
	{"tls.keyFile", "", "file name", "none", "File with the key."},
	{"tls.authorities", "", "PEM", required, "Certificates of the authorities whose hosts are trusted; the old and the new one while an authority is replaced. Or `tls.authoritiesFile`."},
	{"tls.authoritiesFile", "", "file name", "none", "File with the authorities."},
	{"operators", "", "list", "none", "Who may read dumps and administer. Without any, nobody may."},
	{"operators[].name", "", "name", required, "Name of the operator, as history shows it."},
	{"operators[].tokens", "", "list of SHA-256 digests", required, "Digests of the operator's tokens, in hexadecimal; two while a token is replaced. `wagtailshelf keys token` makes one."},
	{"timeouts.platformCall", "", "duration", "`2s`", "Wait for the answer to one call of the platform."},
	{"timeouts.platformTurn", "", "duration", "`250ms`", "Wait for a call's turn while the process is at its rate of calls."},
	{"timeouts.targetDial", host.Sidecar, "duration", "`1s`", "Wait for a connection to the target."},
	{"timeouts.targetReport", host.Sidecar, "duration", "`2s`", "Wait for a load report or the answer to an order."},
	{"limits.platformCalls", "", "calls a second", "`20`", "Rate at which the process calls the platform at most, waiting watches included."},
	{"limits.memoryMB", "", "MB", "GOMEMLIMIT, or half of the machine's", "Memory of the process. What it holds for clients of each listener is a share of it: headers and beginnings of requests, connections, bodies."},
	{"limits.descriptors", "", "count", "the kernel's limit", "Descriptors of the process. Three quarters are for callers' connections, a part for each other listener, the rest for targets and the platform."},
	{"drain.delay", "", "duration", "`10s`", "Time after SIGTERM for which the process is not ready but still takes work, until the balancer has noticed."},
	{"drain.bound", "", "duration", "`11m`", "Longest wait after that for requests in flight."},
	{"log.level", "", "`debug`, `info`, `warn` or `error`", "`info`", "Least severity that is logged."},
}

// Table returns the tables of the operators' page in Markdown.
func Table() string {
	var b strings.Builder
	b.WriteString("| setting | role | form | default | meaning |\n|---|---|---|---|---|\n")
	for _, f := range fields {
		role := string(f.Role)
		if role == "" {
			role = "both"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", f.Path, role, f.Unit, f.Default, f.Meaning)
	}
	b.WriteString("\n| check | what must hold | why |\n|---|---|---|\n")
	for _, c := range checks {
		fmt.Fprintf(&b, "| %s | %s | %s |\n", c.Name, c.What, c.Why)
	}
	return b.String()
}
