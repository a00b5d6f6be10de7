package platform

import (
	"fmt"

	"wagtailshelf.example/wagtailshelf/internal/record/budget"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

// callsMetric counts calls by cause, operation and status. Causes are
// constants of the program, so the number of series is bounded.
const callsMetric = "wagtailshelf_platform_calls_total"

func (c *Client) countReply(call object.Call, status object.Status) {
	c.count(call.Cause, opName(call.Op), statusName(status))
}

func (c *Client) countWatch(ex exchange) {
	status := object.Done
	if ex.outcome() != budget.Answered {
		status = object.Unknown
	}
	c.count(watchCause, "watch", statusName(status))
}

func (c *Client) count(cause object.Cause, op, status string) {
	name := fmt.Sprintf("%s{cause=%q,op=%q,status=%q}", callsMetric, string(cause), op, status)
	c.cfg.Metrics.GetOrCreateCounter(name).Inc()
}

func opName(op object.Op) string {
	switch op {
	case object.Get:
		return "get"
	case object.Put:
		return "put"
	case object.Delete:
		return "delete"
	case object.List:
		return "list"
	}
	return "invalid"
}

func statusName(s object.Status) string {
	switch s {
	case object.Done:
		return "done"
	case object.Conflict:
		return "conflict"
	case object.NotFound:
		return "notFound"
	case object.Refused:
		return "refused"
	}
	return "unknown"
}
