// Package object describes the platform's object service as the rest of the
// system sees it: named values with versions, conditional writes, and responses
// that can be lost.
//
// Packages that make decisions emit a [Call] and receive the [Reply] later. They
// never call the platform themselves; the adapter is package
// internal/wire/platform.
package object

import "strings"

// MaxValueBytes is the size of the largest value that the platform stores.
const MaxValueBytes = 1 << 20

// Key names an object as "kind/name", for example "documents/redaction".
type Key string

// Kind returns the part of the key before the first slash.
func (k Key) Kind() string {
	kind, _, _ := strings.Cut(string(k), "/")
	return kind
}

// Name returns the part of the key after the first slash.
func (k Key) Name() string {
	_, name, _ := strings.Cut(string(k), "/")
	return name
}

// Version is the platform's number for one state of an object. It rises with
// each write, and all objects share one sequence. Zero means that the object does
// not exist.
type Version uint64

// Object is one stored value.
type Object struct {
	Key     Key
	Version Version
	Value   []byte
}

// Op is the operation of a [Call].
type Op uint8

// The operations of the platform.
const (
	Get    Op = iota + 1 // read one object
	Put                  // write one object if its version is still Call.Version; 0 creates it
	Delete               // remove one object if its version is still Call.Version
	List                 // read all objects whose key begins with Call.Key
)

// Cause names the reason for a call. Calls are counted by cause.
type Cause string

// Call is a request to the platform for one operation.
type Call struct {
	ID      uint64 // chosen by the caller, returned in the reply
	Op      Op
	Key     Key // a key prefix for List
	Version Version
	Value   []byte
	Cause   Cause
}

// Status is how a call ended.
type Status uint8

// The ways in which a call ends.
const (
	Done     Status = iota + 1 // the operation took effect, or the read succeeded
	Conflict                   // the version differed; Reply.Object holds the current object if known
	NotFound                   // the object does not exist
	Refused                    // the platform reported that it did not carry out the operation
	Unknown                    // no response: a write may or may not have taken effect
)

// Reply is the result of a call.
type Reply struct {
	ID      uint64
	Op      Op
	Status  Status
	Object  Object   // for Get, Put and Conflict
	Objects []Object // for List
	Err     error    // detail for logs when Status is Refused or Unknown
}
