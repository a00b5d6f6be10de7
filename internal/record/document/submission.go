package document

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

// ObjectKind is the kind of the objects that hold the documents that operators apply:
// documents/<service>.
const ObjectKind = "documents"

// Key returns the key of a service's object.
func Key(service string) object.Key { return object.Key(ObjectKind + "/" + service) }

// Submission is the value of documents/<service>: the text that an operator applied,
// the operator's name, and the time.
type Submission struct {
	By   string    `json:"by,omitempty"`
	At   time.Time `json:"at,omitzero"`
	Text string    `json:"text"`
}

// ErrTooLarge reports a submission that is too large for an object of the platform.
var ErrTooLarge = errors.New("the document is too large for the platform")

// Encode returns the submission as it is stored.
func (s *Submission) Encode() ([]byte, error) {
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	enc.SetEscapeHTML(false) // escaping would make texts longer
	if err := enc.Encode(s); err != nil {
		return nil, err
	}
	if b.Len() > object.MaxValueBytes {
		return nil, ErrTooLarge
	}
	return b.Bytes(), nil
}

// DecodeSubmission decodes a stored submission. A value of another form is treated as
// the text itself, which somebody wrote with the platform's own tools; the submission
// then has no author.
func DecodeSubmission(value []byte) Submission {
	var s Submission
	dec := json.NewDecoder(bytes.NewReader(value))
	dec.DisallowUnknownFields()
	if dec.Decode(&s) != nil || s.Text == "" {
		return Submission{Text: strings.ToValidUTF8(string(value), "\uFFFD")}
	}
	return s
}
