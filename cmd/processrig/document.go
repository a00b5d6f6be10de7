package main

import (
	"context"
	"fmt"
	"strings"

	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

// workspaceKey is the credential of the rig's callers.
const workspaceKey = "processrig-workspace"

// services holds the names of the two services: that of the engines and that of the
// plain services.
var services = []string{"redaction", "agenda"}

const modelRoutes = `
routes:
  - {methods: [POST], path: /v1/draft, idempotent: true, deadline: 30s, priority: interactive, stream: true, cost: {fixed: 40}}
affinity: {blockBytes: 256B, blocks: 4}
`

const plainRoutes = `
routes:
  - {methods: [GET], path: /lists/*, idempotent: true, deadline: 5s, priority: interactive}
  - {methods: [POST], path: /outcomes, idempotent: false, deadline: 10s, priority: interactive, maxBody: 32KiB}
claims: {onPlatformOutage: refuse, retention: 10m, window: 5ms}
`

// documentText returns a service's document. The number of the change is added to
// the queue limit, so that each change yields a different text.
func (c *cluster) documentText(service string, change int) string {
	kind, routes := document.Model, modelRoutes
	if service == "agenda" {
		kind, routes = document.Plain, plainRoutes
	}
	var b strings.Builder
	fmt.Fprintf(&b, "service: %s\nkind: %s\npathPrefix: /%s\ntargets:\n", service, kind, service)
	for _, s := range c.sidecars {
		if s.model == (kind == document.Model) {
			fmt.Fprintf(&b, "  - {name: %s, host: %s, address: %s, dataCentre: %s}\n", s.name, s.name, s.relay.addr, s.dataCentre)
		}
	}
	fmt.Fprintf(&b, "workspaces:\n  - {name: montreal-centre, share: 4, keys: [\"sha256:%s\"]}\n", document.KeyDigestOf(workspaceKey))
	fmt.Fprintf(&b, "limits: {concurrency: 24, queue: %d, maxBody: 256KiB}\n", 96+change)
	fmt.Fprintf(&b, "retries: {budget: 0.2, attempts: 3, backoff: 10ms, maxBackoff: 200ms}%s", routes)
	return b.String()
}

// applyAll stores each service's document in the platform.
func (c *cluster) applyAll(ctx context.Context, change int) error {
	for _, service := range services {
		if err := c.apply(ctx, service, change); err != nil {
			return err
		}
	}
	return nil
}

// apply stores one document by a conditional write. If the write does not report
// success, it reads the document back, since only the response may have been lost.
func (c *cluster) apply(ctx context.Context, service string, change int) error {
	key := object.Key("documents/" + service)
	text := c.documentText(service, change)
	current := c.client.Do(ctx, object.Call{Op: object.Get, Key: key, Cause: "rig"})
	put := c.client.Do(ctx, object.Call{Op: object.Put, Key: key, Version: current.Object.Version, Value: []byte(text), Cause: "rig"})
	if put.Status == object.Done {
		return nil
	}
	again := c.client.Do(ctx, object.Call{Op: object.Get, Key: key, Cause: "rig"})
	if again.Status == object.Done && string(again.Object.Value) == text {
		return nil
	}
	return fmt.Errorf("document %s was not stored: status %d: %w", service, put.Status, put.Err)
}
