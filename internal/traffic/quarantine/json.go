package quarantine

import (
	"encoding/json"
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrRecord reports a text that is not a record.
var ErrRecord = merry.New("not a record of crashes")

// recordText is the JSON form of a record. It omits the entry's name, which is the name of the
// stored object.
type recordText struct {
	Told     int64        `json:"told"` // Unix milliseconds
	Crashes  []crashText  `json:"crashes"`
	Answered []answerText `json:"answered,omitempty"`
}

type answerText struct {
	Part string `json:"part"` // fingerprint
	At   int64  `json:"at"`   // Unix milliseconds
}

type crashText struct {
	Request string `json:"request"` // fingerprint of a request, or of a part
	Part    bool   `json:"part,omitempty"`
	Target  string `json:"target"`
	Born    int64  `json:"born,omitempty"` // start time of the target; Unix milliseconds, 0 if not known
	Sent    int64  `json:"sent"`           // Unix milliseconds
	Broke   int64  `json:"broke"`          // Unix milliseconds
}

// MarshalJSON returns the record without its entry's name.
func (r Record) MarshalJSON() ([]byte, error) {
	text := recordText{Told: r.Written.UnixMilli(), Crashes: make([]crashText, 0, len(r.Crashes))}
	for _, c := range r.Crashes {
		item := crashText{
			Request: c.Request.String(), Part: c.Part, Target: c.Incarnation.Target,
			Sent: c.Sent.UnixMilli(), Broke: c.Failed.UnixMilli(),
		}
		if !c.Incarnation.Started.IsZero() {
			item.Born = c.Incarnation.Started.UnixMilli()
		}
		text.Crashes = append(text.Crashes, item)
	}
	for _, a := range r.Answered {
		text.Answered = append(text.Answered, answerText{Part: a.Part.String(), At: a.At.UnixMilli()})
	}
	return json.Marshal(text)
}

// ParseRecord parses the record of an entry. Any process may have written it. One item that
// can't be decoded makes the whole record invalid, since its writer can't be trusted.
func ParseRecord(entry string, text []byte) (Record, error) {
	var t recordText
	if err := json.Unmarshal(text, &t); err != nil {
		return Record{}, merry.Wrap(ErrRecord, merry.AppendMessage(err.Error()))
	}
	r := Record{Entry: entry, Written: time.UnixMilli(t.Told)}
	for _, c := range t.Crashes {
		f, err := ParseFingerprint(c.Request)
		if err != nil {
			return Record{}, merry.Wrap(ErrRecord, merry.AppendMessage(err.Error()))
		}
		incarnation := Incarnation{Target: c.Target}
		if c.Born > 0 {
			incarnation.Started = time.UnixMilli(c.Born)
		}
		run := Run{Request: f, Part: c.Part, Sent: time.UnixMilli(c.Sent), Failed: time.UnixMilli(c.Broke)}
		r.Crashes = append(r.Crashes, Crash{Run: run, Incarnation: incarnation})
	}
	for _, a := range t.Answered {
		f, err := ParseFingerprint(a.Part)
		if err != nil {
			return Record{}, merry.Wrap(ErrRecord, merry.AppendMessage(err.Error()))
		}
		r.Answered = append(r.Answered, Answer{Part: f, At: time.UnixMilli(a.At)})
	}
	return r, nil
}
