package acceptance

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/fleet/lease"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

// The kinds of objects that this package reads and writes.
const (
	DocumentKind   = "documents"   // documents/<service>: the text that the operator wants
	AcceptanceKind = "acceptances" // acceptances/<service>: a [Record]
	TextKind       = "texts"       // texts/<service>.<digest>: an accepted or staged text
	HistoryKind    = "history"     // history/<service>: a [History]
)

// LeaseKey is the lease of the process that accepts documents.
const LeaseKey object.Key = "leases/acceptance"

// The causes under which the calls of this package are counted.
const (
	CauseStart   object.Cause = "acceptanceStart"   // numbers read by a process without contact
	CauseDoubt   object.Cause = "acceptanceDoubt"   // a stage whose holder does not answer
	CauseText    object.Cause = "acceptanceText"    // a text that no peer had, or one stored
	CauseDesired object.Cause = "acceptanceDesired" // documents read by the holder
	CauseStage   object.Cause = "acceptanceStage"   // a stage recorded
	CauseAccept  object.Cause = "acceptanceAccept"  // an acceptance written or read back
	CauseHistory object.Cause = "acceptanceHistory" // history moved to its own object
)

// Digest is the SHA-256 of a document's text.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a text.
func DigestOf(text []byte) Digest { return sha256.Sum256(text) }

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText encodes the digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// ErrDigest means that a digest is not 64 hexadecimal digits.
var ErrDigest = errors.New("digest is not 64 hexadecimal digits")

// UnmarshalText decodes a digest from hexadecimal.
func (d *Digest) UnmarshalText(b []byte) error {
	if hex.DecodedLen(len(b)) != len(d) {
		return ErrDigest
	}
	_, err := hex.Decode(d[:], b)
	return err
}

// Number counts the accepted documents of a service.
type Number uint64

// Entry is one accepted document, as an auditor reads it.
type Entry struct {
	Number          Number         `json:"number"`
	Digest          Digest         `json:"digest"`
	Author          string         `json:"author,omitempty"`
	AcceptedAt      time.Time      `json:"acceptedAt"` // by the holder's clock
	DocumentVersion object.Version `json:"documentVersion"`
	Holder          host.Name      `json:"holder"`
	Fence           lease.Fence    `json:"fence"`
	LeftOut         []host.Name    `json:"leftOut,omitempty"` // silent members that were not waited for
}

// Staged is a document on its way to acceptance.
type Staged struct {
	Number          Number         `json:"number"`
	Digest          Digest         `json:"digest"`
	Attempt         uint64         `json:"attempt"`
	DocumentVersion object.Version `json:"documentVersion"`
	StagedAt        time.Time      `json:"stagedAt"`
}

// Record is the value of acceptances/<service>, in JSON. It holds the document
// in force, the one being staged, and the last entries of the history. They
// stand in one object so that an acceptance and its entry cannot come apart.
type Record struct {
	Service string      `json:"service"`
	Fence   lease.Fence `json:"fence"` // of the last writer
	Entry   Entry       `json:"accepted"`
	Staged  *Staged     `json:"staged,omitempty"`
	Recent  []Entry     `json:"recent,omitempty"` // the newest last, this entry included
}

// maxRecent bounds the entries in a record. A process that starts reads the
// records of all services, so they stay small; older entries move to the history.
const maxRecent = 32

// History is the value of history/<service>, in JSON: entries older than those
// of the record, the newest last.
type History struct {
	Service string  `json:"service"`
	Dropped Number  `json:"dropped,omitempty"` // entries up to this number were dropped for space
	Entries []Entry `json:"entries"`
}

// maxHistoryBytes keeps the history below the largest value of the platform.
const maxHistoryBytes = object.MaxValueBytes * 9 / 10

// Append adds entries that are newer than those present.
func (h *History) Append(entries []Entry) {
	last := h.Dropped
	if n := len(h.Entries); n > 0 {
		last = h.Entries[n-1].Number
	}
	for _, e := range entries {
		if e.Number > last {
			h.Entries = append(h.Entries, e)
			last = e.Number
		}
	}
}

// Encode returns the history as it is stored. Where it has grown too large the
// oldest quarter is dropped, and the record says up to which number.
func (h *History) Encode() []byte {
	for {
		b := encode(h)
		if len(b) <= maxHistoryBytes || len(h.Entries) == 0 {
			return b
		}
		n := max(len(h.Entries)/4, 1)
		h.Dropped = h.Entries[n-1].Number
		h.Entries = h.Entries[n:]
	}
}

// DecodeHistory reads a stored history.
func DecodeHistory(value []byte) (History, error) {
	var h History
	err := json.Unmarshal(value, &h)
	return h, err
}

// ErrService means that a record belongs to another service than its key says.
var ErrService = errors.New("acceptance record names another service than its key")

// Encode returns the record as it is stored.
func (r *Record) Encode() []byte { return encode(r) }

// DecodeRecord reads a stored record.
func DecodeRecord(o object.Object) (Record, error) {
	var r Record
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return Record{}, err
	}
	if r.Service != o.Key.Name() {
		return Record{}, ErrService
	}
	return r, nil
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // structs of numbers, strings and times always encode
	}
	return b
}

func recordKey(service string) object.Key {
	return object.Key(AcceptanceKind + "/" + service)
}

func documentKey(service string) object.Key {
	return object.Key(DocumentKind + "/" + service)
}

func historyKey(service string) object.Key {
	return object.Key(HistoryKind + "/" + service)
}

func textKey(service string, d Digest) object.Key {
	return object.Key(TextKind + "/" + service + "." + d.String())
}
