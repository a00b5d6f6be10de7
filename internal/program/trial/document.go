package trial

import (
	"fmt"
	"strings"

	"wagtailshelf.example/wagtailshelf/internal/record/document"
)

// Credentials of the trial's workspaces.
const (
	LargeKey = "trial-key-of-montreal-centre"
	SmallKey = "trial-key-of-laval"
)

// RedactionDocument returns the document of the drafting service with the given
// targets. The target named leaving is marked as leaving; none is if it is empty.
func RedactionDocument(targets []*Target, leaving string) string {
	return serviceDocument("redaction", document.Model, targets, leaving, `
routes:
  - {methods: [POST], path: /v1/draft, idempotent: true, deadline: 20s, priority: interactive, stream: true, cost: {fixed: 40}}
  - {methods: [POST], path: /v1/summary, idempotent: true, deadline: 20s, cost: {fixed: 40}}
affinity: {blockBytes: 256B, blocks: 4}
`)
}

// AgendaDocument returns the document of the scheduling app with the given
// targets. The target named leaving is marked as leaving; none is if it is empty.
func AgendaDocument(targets []*Target, leaving string) string {
	return serviceDocument("agenda", document.Plain, targets, leaving, `
routes:
  - {methods: [GET], path: /lists/*, idempotent: true, deadline: 5s, priority: interactive}
  - {methods: [POST], path: /outcomes, idempotent: false, deadline: 10s, priority: interactive, maxBody: 32KiB}
claims: {onPlatformOutage: refuse, retention: 10m, window: 5ms}
`)
}

func serviceDocument(name string, kind document.Kind, targets []*Target, leaving, settings string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "service: %s\nkind: %s\npathPrefix: /%s\ntargets:\n", name, kind, name)
	for _, t := range targets {
		fmt.Fprintf(&b, "  - {name: %s, host: %s, address: %s, dataCentre: %s, leaving: %t}\n",
			t.Name, t.Host, t.Sidecar.Addr(), t.DataCentre, t.Name == leaving)
	}
	fmt.Fprintf(&b, "workspaces:\n")
	fmt.Fprintf(&b, "  - {name: montreal-centre, share: 4, keys: [%q]}\n", "sha256:"+document.KeyDigestOf(LargeKey).String())
	fmt.Fprintf(&b, "  - {name: laval, share: 2, keys: [%q]}\n", "sha256:"+document.KeyDigestOf(SmallKey).String())
	fmt.Fprint(&b, "limits: {concurrency: 24, queue: 96, maxBody: 256KiB}\n")
	fmt.Fprint(&b, "retries: {budget: 0.2, attempts: 3, backoff: 10ms, maxBackoff: 200ms}")
	b.WriteString(settings)
	return b.String()
}
