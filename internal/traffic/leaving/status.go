package leaving

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/traffic/target"
)

var sourceNames = [sources]string{List: "list", Document: "document", Signal: "signal", Sidecar: "sidecar"}

// String returns the source's name in own formats.
func (s Source) String() string {
	if s < sources {
		return sourceNames[s]
	}
	return "unknown"
}

// Status is what a dump shows of a target's state here.
type Status struct {
	Left     bool   `json:"left"` // this incarnation takes no new work for good
	List     bool   `json:"list"` // the platform's list says that it is leaving
	Document bool   `json:"document"`
	Silent   bool   `json:"silent"`
	Heard    string `json:"heard,omitempty"` // time since the sidecar last spoke
}

// Status returns the state of a target; the zero value if it isn't known.
func (t *Tracker) Status(now time.Time, name target.Name) Status {
	s, ok := t.states[name]
	if !ok {
		return Status{}
	}
	return Status{
		Left:     s.left,
		List:     s.stated[List],
		Document: s.stated[Document],
		Silent:   s.suspended,
		Heard:    now.Sub(s.heard).Round(time.Millisecond).String(),
	}
}
