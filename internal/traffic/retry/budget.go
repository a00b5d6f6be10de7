package retry

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// Config holds the settings of a [Budget]. Zero values take the defaults of
// [DefaultConfig].
type Config struct {
	Ratio     float64       // retries per first attempt of a workspace
	PerSecond float64       // retries a second of all workspaces that are allowed in any case, so that quiet services can retry
	Burst     float64       // greatest balance of a workspace, and of the common balance
	Attempts  int           // greatest number of attempts of a request, including the first
	BackOff   time.Duration // mean wait before the first retry; doubles with each
	MaxWait   time.Duration // longest wait
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		Ratio:     0.08,
		PerSecond: 0.1,
		Burst:     10,
		Attempts:  3,
		BackOff:   10 * time.Millisecond,
		MaxWait:   time.Second,
	}
}

// Attempt describes a request whose attempt has ended and may be repeated. The caller has decided that
// a repeat is safe: the attempt did not run, or the request is idempotent and no part of the
// response has been sent.
type Attempt struct {
	Workspace   string
	Attempts    int           // attempts so far
	Deadline    time.Time     // of the request
	AttemptTime time.Duration // time that an attempt takes
	RetryAfter  time.Duration // the back-off of the only targets left; zero if another one can be tried now
}

// Verdict is why a retry is allowed or not.
type Verdict uint8

// The verdicts on a retry.
const (
	Allowed        Verdict = iota + 1
	Exhausted              // the budget is empty
	TooMany                // the request has used all of its attempts
	PastDeadline           // it can't be complete by its deadline
	TooManyCrashes         // targets crashed while they ran the request
)

// Decision is the answer to an [Attempt].
type Decision struct {
	Verdict Verdict
	Wait    time.Duration // for Allowed: wait this long before the next attempt
}

// accountCount is how many accounts the workspaces of a service share. Workspaces that share an
// account share their retries, which the total bounds in any case.
const accountCount = 256

// Budget bounds the retries of one service at one entry. It isn't safe for concurrent use.
//
// Each workspace pays for its own retries. From a single balance, a workspace whose requests are
// refused for being too many would take all retries, and none would be left for the few requests of
// others that another target could serve.
type Budget struct {
	cfg           Config
	rnd           *rand.Rand
	balances      [accountCount]float64
	commonBalance float64
	creditedAt    time.Time
	counts        Counts
}

// Counts is how a budget was used.
type Counts struct {
	First     uint64 `json:"first"`     // first attempts
	Retries   uint64 `json:"retries"`   // retries allowed
	Exhausted uint64 `json:"exhausted"` // retries denied because the budget was empty
}

// NewBudget returns a budget whose common balance is full. Zero fields of cfg take
// their defaults.
func NewBudget(now time.Time, cfg Config, rnd *rand.Rand) *Budget {
	b := &Budget{rnd: rnd, creditedAt: now}
	b.Configure(cfg)
	b.commonBalance = b.cfg.Burst
	return b
}

// Configure replaces the settings. Balances stay, but are cut to the new burst.
func (b *Budget) Configure(cfg Config) {
	def := DefaultConfig()
	cfg.Ratio = cmp.Or(cfg.Ratio, def.Ratio)
	cfg.PerSecond = cmp.Or(cfg.PerSecond, def.PerSecond)
	cfg.Burst = cmp.Or(cfg.Burst, def.Burst)
	cfg.Attempts = cmp.Or(cfg.Attempts, def.Attempts)
	cfg.BackOff = cmp.Or(cfg.BackOff, def.BackOff)
	cfg.MaxWait = cmp.Or(cfg.MaxWait, def.MaxWait)
	b.cfg = cfg
	b.commonBalance = min(b.commonBalance, cfg.Burst)
	for i := range b.balances {
		b.balances[i] = min(b.balances[i], cfg.Burst)
	}
}

// FirstAttempt counts a first attempt of a workspace.
func (b *Budget) FirstAttempt(workspace string) {
	b.counts.First++
	balance := b.account(workspace)
	*balance = min(*balance+b.cfg.Ratio, b.cfg.Burst)
}

// Next decides whether the request may be tried again. If so, it takes the retry out of the
// balance.
func (b *Budget) Next(now time.Time, t Attempt) Decision {
	if t.Attempts >= b.cfg.Attempts {
		return Decision{Verdict: TooMany}
	}
	wait := max(b.backOff(t.Attempts), t.RetryAfter)
	if now.Add(wait + t.AttemptTime).After(t.Deadline) {
		return Decision{Verdict: PastDeadline}
	}
	if !b.charge(now, b.account(t.Workspace)) {
		b.counts.Exhausted++
		return Decision{Verdict: Exhausted}
	}
	b.counts.Retries++
	return Decision{Verdict: Allowed, Wait: wait}
}

// Counts returns how the budget was used so far.
func (b *Budget) Counts() Counts { return b.counts }

// rounding is more than the rounding error of a balance. In floating point, ten tenths add up to
// less than one.
const rounding = 1e-9

// charge takes a retry out of the workspace's balance, or out of the common one.
func (b *Budget) charge(now time.Time, account *float64) bool {
	if d := now.Sub(b.creditedAt); d > 0 {
		b.commonBalance = min(b.commonBalance+d.Seconds()*b.cfg.PerSecond, b.cfg.Burst)
		b.creditedAt = now
	}
	for _, balance := range []*float64{account, &b.commonBalance} {
		if *balance >= 1-rounding {
			*balance--
			return true
		}
	}
	return false
}

// account returns the balance of a workspace. The hash is FNV-1a.
func (b *Budget) account(workspace string) *float64 {
	h := uint32(2166136261)
	for i := range len(workspace) {
		h = (h ^ uint32(workspace[i])) * 16777619
	}
	return &b.balances[h%accountCount]
}

// backOff returns the wait before the next attempt. It is drawn evenly between nothing and twice
// the mean: requests that were refused together must not come back together.
func (b *Budget) backOff(attempts int) time.Duration {
	most := 2 * b.cfg.BackOff << min(max(attempts-1, 0), 16)
	return time.Duration(b.rnd.Int64N(int64(min(most, b.cfg.MaxWait)) + 1))
}
