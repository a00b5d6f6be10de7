package leaving

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/traffic/target"
)

var sourceNames = [sources]string{FromList: "list", FromDocument: "document", FromSignal: "signal", FromSidecar: "sidecar"}

// String returns the source's name.
func (s Source) String() string {
	if s < sources {
		return sourceNames[s]
	}
	return "unknown"
}

// Status is the state of a target, as a dump shows it.
type Status struct {
	Left     bool   `json:"left"` // this incarnation never gets new work again
	List     bool   `json:"list"` // the platform's list states that the target is leaving
	Document bool   `json:"document"`
	Silent   bool   `json:"silent"`
	Heard    string `json:"heard,omitempty"` // time since the sidecar's last liveness report
}

// Status returns the state of a target, or the zero value if the target isn't known.
func (t *Tracker) Status(now time.Time, name target.Name) Status {
	s, ok := t.states[name]
	if !ok {
		return Status{}
	}
	return Status{
		Left:     s.leaving,
		List:     s.stated[FromList],
		Document: s.stated[FromDocument],
		Silent:   s.suspended,
		Heard:    now.Sub(s.lastReport).Round(time.Millisecond).String(),
	}
}
