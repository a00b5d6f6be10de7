package document

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/record/finding"
)

// MaxBodyBytes is the largest permitted value of limits.maxBody.
const MaxBodyBytes = 64 << 20

var limitRules = []Rule{
	{
		Name:  "limits",
		Title: "`limits.concurrency` is from 1 to 100000, `limits.queue` from 0 to 100000, `limits.maxBody` from 1B to 64MiB.",
		Why:   "A sidecar holds the bodies of the requests that wait.",
		check: checkLimits,
	},
	{
		Name:  "retries",
		Title: "`retries.budget` is from 0 to 1, `retries.attempts` from 1 to 10, and `retries.backoff` from 1ms to `retries.maxBackoff`.",
		Why:   "Retries beyond the budget multiply the load in an overload.",
		check: checkRetries,
	},
	{
		Name:  "affinity",
		Title: "`affinity.blockBytes` is zero or from 64B to 64KiB, `affinity.blocks` from 1 to 256, and `affinity.loadBound` from 1 to 10.",
		Why:   "Below 1 the bound could not be met by all targets at once.",
		check: checkAffinity,
	},
}

func checkLimits(p *pass) {
	requireBetween(p, "limits.concurrency", p.Limits.Concurrency, 1, 100_000)
	requireBetween(p, "limits.queue", p.Limits.Queue, 0, 100_000)
	requireBetween(p, "limits.maxBody", p.Limits.MaxBody, 1, Bytes(MaxBodyBytes))
}

func checkRetries(p *pass) {
	r := p.Retries
	requireBetween(p, "retries.budget", r.Budget, 0, 1)
	requireBetween(p, "retries.attempts", r.Attempts, 1, 10)
	if r.Backoff < time.Millisecond || r.Backoff > r.MaxBackoff {
		p.report("retries.backoff", finding.Invalid, "backoff %v must be from 1ms to maxBackoff, %v", r.Backoff, r.MaxBackoff)
	}
}

func checkAffinity(p *pass) {
	a := p.Affinity
	if a.BlockBytes != 0 {
		requireBetween(p, "affinity.blockBytes", a.BlockBytes, 64, 64<<10)
	}
	requireBetween(p, "affinity.blocks", a.Blocks, 1, 256)
	requireBetween(p, "affinity.loadBound", a.LoadBound, 1, 10)
}
