package crashes

import (
	"github.com/phuslu/log"

	"wagtailshelf.example/wagtailshelf/internal/traffic/quarantine"
)

// maxLoggedSuspects bounds the suspects that a line names.
const maxLoggedSuspects = 16

// LogProbe logs which request was allowed as a probe, what it shows of which suspects, and why.
func LogProbe(l *log.Logger, p quarantine.Probe) {
	l.Warn().Str("event", "probeAllowed").Str("why", string(p.Why)).Stringer("fingerprint", p.Request).
		Strs("tests", names(p.Tests)).Strs("without", names(p.Without)).Int("crashes", p.Crashes).Int("trials", p.Trials).Msg("")
}

func names(list []quarantine.Fingerprint) []string {
	texts := make([]string, 0, min(len(list), maxLoggedSuspects))
	for _, f := range list[:min(len(list), maxLoggedSuspects)] {
		texts = append(texts, f.String())
	}
	return texts
}
