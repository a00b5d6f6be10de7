package document

import (
	"fmt"
	"strings"
)

// Field documents one value of a document.
type Field struct {
	Path    string // "[]" stands for each entry of a list
	Type    string
	Default string // empty if the value is required or absent by default
	Doc     string
}

// Fields returns the documentation of all values, in the order of the page.
func Fields() []Field { return fields }

var fields = []Field{
	{"service", "name", "required", "Name of the service. It never changes."},
	{"kind", "`model` or `plain`", "`model`", "What the targets are: model engines, or plain HTTP services."},
	{"pathPrefix", "path", "", "Requests whose path begins with it are for this service. The longest prefix of all services wins. The path is passed on to the target as it came, prefix included."},
	{"hosts", "list of names", "all", "Requests with one of these names in their Host header are for this service."},

	{"targets", "list", "", "The back ends."},
	{"targets[].name", "name", "required", "Name of the target."},
	{"targets[].host", "name", "the target's name", "Name of the host it runs on, as the platform's list of hosts has it."},
	{"targets[].address", "ip:port", "required", "Address of the sidecar in front of it."},
	{"targets[].dataCentre", "name", "required", "Data centre it runs in."},
	{"targets[].weight", "number", "`1`", "Its part of the traffic, against those of the other targets. Zero: none."},
	{"targets[].leaving", "`true` or `false`", "`false`", "It gets no new work, and finishes what it has. Taken back, it serves again with the next life of its sidecar."},
	{"targets[].checksFences", "`true` or `false`", "`false`", "Its engine refuses orders with an old fence by itself. Where it doesn't, the sidecar is the only guard."},
	{"targets[].group", "name", "none", "Expert group that it is a member of."},
	{"targets[].rank", "whole number", "`0`", "Its rank in the group, from 0."},

	{"routes", "list", "", "How requests are treated, by method and path. A request that none matches is refused. The most specific path wins."},
	{"routes[].methods", "list of methods", "required", "Methods of HTTP, in capitals."},
	{"routes[].path", "path", "required", "Path behind the prefix. `{name}` stands for any one segment, `*` at the end for the rest."},
	{"routes[].idempotent", "`true` or `false`", "`false`", "Running it twice does no harm. If not, it runs at most once."},
	{"routes[].deadline", "duration", "`30s`", "Time from the request's arrival to the end of its answer."},
	{"routes[].priority", "`background`, `normal` or `interactive`", "`normal`", "Which requests go first when a target is full."},
	{"routes[].stream", "`true` or `false`", "`false`", "The answer is passed on as it comes in, not when it is whole."},
	{"routes[].maxBody", "size", "`limits.maxBody`", "Longest body of a request."},
	{"routes[].cost", "", "", "Estimate of its work, in tokens."},
	{"routes[].cost.fixed", "number", "`1`", "Part of the cost that each request has."},
	{"routes[].cost.perKiB", "number", "`0`", "Part of the cost for each KiB of the body."},

	{"workspaces", "list", "", "The customers."},
	{"workspaces[].name", "name", "required", "Name of the workspace."},
	{"workspaces[].share", "number", "`1`", "Its part of a full target, against those of the other workspaces."},
	{"workspaces[].keys", "list of SHA-256 digests", "required", "Digests of the credentials that its callers show, in hexadecimal, with or without `sha256:` before them. Several allow a key to be replaced without a gap."},

	{"limits", "", "", "Bounds on the work of each target."},
	{"limits.concurrency", "whole number", "`32`", "Requests that run on a target at once."},
	{"limits.queue", "whole number", "`128`", "Requests that wait for a target; more are refused at once."},
	{"limits.maxBody", "size", "`1MiB`", "Longest body of any request."},

	{"retries", "", "", "Bounds on further tries. They are made only of requests that did not run, and of idempotent ones without an answer so far."},
	{"retries.budget", "number", "`0.08`", "Further tries as a share of first ones."},
	{"retries.attempts", "whole number", "`3`", "Tries of one request, with the first."},
	{"retries.backoff", "duration", "`20ms`", "Wait before the first further try; it doubles with each."},
	{"retries.maxBackoff", "duration", "`1s`", "Longest wait before a try."},

	{"affinity", "", "", "Sends prompts with a common beginning to the same targets, whose caches then serve them."},
	{"affinity.blockBytes", "size", "`0B`: off", "Length of the blocks that prompts are compared by."},
	{"affinity.blocks", "whole number", "`16`", "Leading blocks that are compared."},
	{"affinity.loadBound", "number", "`1.25`", "Load of a target, as a multiple of the mean, above which affinity gives way."},

	{"shares", "list", "", "Scales the traffic of data centres and targets, for example to drain one step by step."},
	{"shares[].dataCentre", "name", "", "Data centre whose targets' weights are multiplied."},
	{"shares[].target", "name", "", "Target whose weight is multiplied."},
	{"shares[].share", "number", "required", "The factor. Zero: no traffic."},

	{"claims", "", "", "How a repeat of a request that is not idempotent is recognised, if its caller sends an `Idempotency-Key`."},
	{"claims.onPlatformOutage", "`refuse` or `memoryOnly`", "`refuse`", "What becomes of such requests while the platform is out: refused at once as not run, or run with claims that a restart forgets."},
	{"claims.retention", "duration", "`10m`", "Time for which a repeat is recognised."},
	{"claims.window", "duration", "`5ms`", "Time over which claims are collected into one write."},

	{"groups", "list", "", "Expert groups: targets that run in lock-step on one expert map."},
	{"groups[].name", "name", "required", "Name of the group."},
	{"groups[].ranks", "whole number", "required", "Ranks in the group."},
	{"groups[].layers", "whole number", "required", "Layers with experts."},
	{"groups[].experts", "whole number", "required", "Experts in each layer."},
	{"groups[].slotsPerRank", "whole number", "required", "Experts of each layer that a rank can hold."},
	{"groups[].expertBytes", "size", "required", "Weights of one expert of one layer."},
	{"groups[].skewWeight", "number", "`1`", "Weight of time lost to the slowest rank."},
	{"groups[].moveWeight", "number", "`1`", "Weight of time lost to moving experts."},
	{"groups[].maxBytesPerSecond", "size", "required", "Most that the group reads from the weight store each second."},

	{"confirm", "list", "", "Explicit words for dangerous changes against the document in force. Take them out with the next change."},
	{"confirm[].change", "see below", "required", "Kind of the change."},
	{"confirm[].name", "name", "", "What is changed: the group, workspace, target, or path of the route."},
}

var dangerDocs = []struct {
	danger Danger
	doc    string
}{
	{NoTarget, "no target is left that takes requests"},
	{ReplaceTargets, "no target of the document in force is kept"},
	{DropGroup, "the group `name` ends"},
	{ReshapeGroup, "the group `name` changes its ranks, layers, experts or slots, and forms anew"},
	{DropWorkspace, "the workspace `name` is shut out"},
	{MakeIdempotent, "requests of the route with the path `name`, which run at most once now, may be repeated"},
	{TrustFences, "the engine of the target `name` is trusted to refuse orders with an old fence"},
}

// Page returns the schema page in Markdown.
func Page() string {
	var b strings.Builder
	b.WriteString(pageHead)
	for _, f := range Fields() {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", f.Path, f.Type, f.Default, f.Doc)
	}
	b.WriteString(pageDangers)
	for _, d := range dangerDocs {
		fmt.Fprintf(&b, "| `%s` | %s |\n", d.danger, d.doc)
	}
	b.WriteString("\n## Checks of a document\n\n| check | what must hold | or else |\n|---|---|---|\n")
	writeRules(&b, Nothing)
	b.WriteString("\n## Checks against the document in force\n\n| check | what must hold | or else |\n|---|---|---|\n")
	writeRules(&b, ActiveDocument)
	b.WriteString("\n## Checks beside other services\n\n| check | what must hold | or else |\n|---|---|---|\n")
	writeRules(&b, OtherServices)
	return b.String()
}

func writeRules(b *strings.Builder, comparedWith ComparedWith) {
	for _, rule := range Rules() {
		if rule.ComparedWith == comparedWith {
			fmt.Fprintf(b, "| %s | %s | %s |\n", rule.Name, rule.Title, rule.Why)
		}
	}
}

const pageHead = `# The document of a service

This page is made from the tables in internal/record/document. After a change there:

    go test ./internal/record/document -run TestSchemaPage -update

A document is YAML, with one document in a text of at most 768KiB. Unknown and
repeated keys, anchors, aliases, tags and explicit keys are refused. Names have
at most 63 lower-case letters, digits, dots and hyphens. Durations have a unit
(` + "`250ms`, `4s`, `2m`" + `), sizes too (` + "`64KiB`, `2MB`" + `). The digest of a
document is the SHA-256 digest of its text, so that ` + "`sha256sum`" + ` prints the same.

Commented examples are in [examples](../examples).

## Values

| value | form | default | meaning |
|---|---|---|---|
`

const pageDangers = `
## Dangerous changes

Each needs an entry under ` + "`confirm`" + `, which counts for that one change.

| ` + "`change`" + ` | what it says |
|---|---|
`
