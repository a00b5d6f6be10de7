package register

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/fleet/member"
	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/record/status"
)

// Entries spread how their requests ended as facts, some services in each.
const (
	outcomePrefix    = "outcomes/"
	servicesPerFact  = 8
	minOutcomePeriod = 15 * time.Second
	// outcomePause is between two entries' facts. With it the whole fleet learns
	// at most one entry's counts a second, however many entries there are.
	outcomePause = time.Second
)

// ErrOutcomes reports a fact about outcomes that can't be read.
var ErrOutcomes = errors.New("fact about outcomes is out of bounds")

// serviceOutcomes are the counts of one service in a fact.
type serviceOutcomes struct {
	_        struct{} `cbor:",toarray"`
	Service  string
	Answered uint64
	NotRun   uint64
	Unknown  uint64
}

// OutcomePeriod returns how often an entry spreads its counts.
func OutcomePeriod(entries int) time.Duration {
	return max(minOutcomePeriod, time.Duration(entries)*outcomePause)
}

// OutcomeFacts returns the facts that tell the fleet how an entry's requests
// ended since it started, by service.
func OutcomeFacts(now time.Time, self host.Name, entries int, counts map[string]status.Outcomes) []member.Fact {
	var all []serviceOutcomes
	for _, service := range slices.Sorted(maps.Keys(counts)) {
		o := counts[service]
		all = append(all, serviceOutcomes{Service: service, Answered: o.Answered, NotRun: o.NotRun, Unknown: o.Unknown})
	}
	var facts []member.Fact
	for part := range slices.Chunk(all, servicesPerFact) {
		value, err := cbor.Marshal(part)
		if err != nil {
			panic(err) // structs of strings and numbers always encode
		}
		facts = append(facts, member.Fact{
			Key:     fmt.Sprintf("%s%s/%d", outcomePrefix, self, len(facts)),
			Version: uint64(now.UnixMilli()),
			Value:   value,
			Life:    3 * OutcomePeriod(entries),
		})
	}
	return facts
}

// outcomesOf reads a fact of [OutcomeFacts].
func outcomesOf(f member.Fact) (host.Name, []serviceOutcomes, error) {
	name, _, ok := strings.Cut(strings.TrimPrefix(f.Key, outcomePrefix), "/")
	if !ok || name == "" || len(f.Value) > member.MaxValueBytes {
		return "", nil, ErrOutcomes
	}
	var counts []serviceOutcomes
	if err := cbor.Unmarshal(f.Value, &counts); err != nil {
		return "", nil, fmt.Errorf("%w: %w", ErrOutcomes, err)
	}
	for _, c := range counts {
		if !document.ValidService(c.Service) {
			return "", nil, ErrOutcomes
		}
	}
	return host.Name(name), counts, nil
}

// learned takes in the counts of an entry. A fact that can't be read is left
// out: the next one follows, and nothing is decided by it.
func (r *Register) learned(now time.Time, f member.Fact) {
	if !strings.HasPrefix(f.Key, outcomePrefix) {
		return
	}
	name, counts, err := outcomesOf(f)
	if err != nil {
		return
	}
	for _, c := range counts {
		if _, known := r.copies[c.Service]; !known {
			continue
		}
		o := status.Outcomes{Answered: c.Answered, NotRun: c.NotRun, Unknown: c.Unknown}
		r.toBoard(now, status.Event{Kind: status.Requested, Service: c.Service, Host: name, Outcomes: o})
	}
}
