package acceptance

import (
	"time"

	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

// trimRecent drops entries that are in the history, as far as needed.
func trimRecent(recent []Entry, archived Number) []Entry {
	out := make([]Entry, 0, len(recent)+1)
	for i, e := range recent {
		if len(recent)-i > maxRecent/2 && e.Number <= archived {
			continue
		}
		out = append(out, e)
	}
	return out
}

// archive copies the older half of the recent entries to the history: it reads
// the history and writes it back with the entries added.
func (h *Holder) archive(now time.Time, j *job) {
	j.phase = archiving
	h.send(now, j, object.Call{Op: object.Get, Key: historyKey(j.service), Cause: CauseHistory})
}

func (h *Holder) archiveAnswered(now time.Time, j *job, p holderCall, reply object.Reply) {
	if j.phase != archiving {
		return
	}
	switch {
	case p.op == object.Put && reply.Status == object.Done:
		j.archived = j.history.Entries[len(j.history.Entries)-1].Number
		j.phase = idle
		h.consider(now, j)
	case p.op == object.Get && reply.Status == object.NotFound:
		j.history = History{Service: j.service}
		j.historyVersion = 0
		h.writeHistory(now, j)
	case p.op == object.Get && reply.Status == object.Done:
		history, err := DecodeHistory(reply.Object.Value)
		if err != nil {
			h.violate("history cannot be read: " + err.Error())
			h.retry(now, j)
			return
		}
		j.history = history
		j.historyVersion = reply.Object.Version
		h.writeHistory(now, j)
	default:
		// Lost or refused: the next attempt reads first, and entries that are
		// there already are not added again.
		h.retry(now, j)
	}
}

func (h *Holder) writeHistory(now time.Time, j *job) {
	recent := j.record.Recent
	j.history.Append(recent[:max(len(recent)-maxRecent/2, 0)])
	value := j.history.Encode()
	h.put(now, j, object.Call{Key: historyKey(j.service), Version: j.historyVersion, Value: value, Cause: CauseHistory})
}
