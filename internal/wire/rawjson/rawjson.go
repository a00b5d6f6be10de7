// Package rawjson splits JSON texts that other processes write, however deep they are nested.
//
// The parser of the standard library refuses a text as a whole if any part of it is nested too deeply. Of a list of
// objects that anybody can write to, one such object would keep everybody from reading the others. So such texts are
// split first, and decoded part by part.
package rawjson

import (
	"bytes"
	"encoding/json"

	"github.com/ansel1/merry/v2"
)

// ErrSyntax reports a text that is no JSON object or array, or that does not end.
var ErrSyntax = merry.New("no JSON object or array")

// members calls f for each member of an object. The values share the memory of the text.
func members(text []byte, f func(name string, value json.RawMessage)) error {
	return split(text, '{', '}', func(rest []byte) ([]byte, error) {
		quoted, rest, err := cutValue(rest)
		if err != nil {
			return nil, err
		}
		var name string
		if err := json.Unmarshal(quoted, &name); err != nil {
			return nil, merry.Wrap(err)
		}
		rest = trimSpace(rest)
		if len(rest) == 0 || rest[0] != ':' {
			return nil, merry.Wrap(ErrSyntax)
		}
		value, rest, err := cutValue(rest[1:])
		if err == nil {
			f(name, value)
		}
		return rest, err
	})
}

// Elements returns the elements of an array, which share the memory of the text. A null, or nothing, is an empty
// array.
func Elements(text []byte) ([]json.RawMessage, error) {
	if text = trimSpace(text); len(text) == 0 || string(text) == "null" {
		return nil, nil
	}
	var list []json.RawMessage
	err := split(text, '[', ']', func(rest []byte) ([]byte, error) {
		value, rest, err := cutValue(rest)
		if err == nil {
			list = append(list, value)
		}
		return rest, err
	})
	return list, err
}

// split cuts the parts between two brackets, which commas separate. The function part cuts one of them off and returns
// the rest.
func split(text []byte, open, end byte, part func(rest []byte) ([]byte, error)) error {
	rest := trimSpace(text)
	if len(rest) == 0 || rest[0] != open {
		return merry.Wrap(ErrSyntax)
	}
	rest = trimSpace(rest[1:])
	if len(rest) > 0 && rest[0] == end {
		return endOf(rest[1:])
	}
	for {
		var err error
		if rest, err = part(rest); err != nil {
			return err
		}
		rest = trimSpace(rest)
		switch {
		case len(rest) == 0:
			return merry.Wrap(ErrSyntax)
		case rest[0] == end:
			return endOf(rest[1:])
		case rest[0] != ',':
			return merry.Wrap(ErrSyntax)
		}
		rest = rest[1:]
	}
}

// endOf checks that nothing follows.
func endOf(rest []byte) error {
	if len(trimSpace(rest)) > 0 {
		return merry.Wrap(ErrSyntax)
	}
	return nil
}

func trimSpace(text []byte) []byte { return bytes.TrimLeft(text, " \t\r\n") }

// cutValue cuts the first value off a text. Of a composite value only the brackets are looked at.
func cutValue(text []byte) (value, rest []byte, err error) {
	text = trimSpace(text)
	depth := 0
	for i := 0; i < len(text); i++ {
		switch c := text[i]; c {
		case '"':
			n := stringLength(text[i:])
			if n == 0 {
				return nil, nil, merry.Wrap(ErrSyntax)
			}
			i += n - 1
			if depth == 0 {
				return text[:i+1], text[i+1:], nil
			}
		case '{', '[':
			depth++
		case '}', ']':
			if depth == 0 {
				return scalar(text, i)
			}
			if depth--; depth == 0 {
				return text[:i+1], text[i+1:], nil
			}
		case ',', ' ', '\t', '\r', '\n':
			if depth == 0 {
				return scalar(text, i)
			}
		}
	}
	if depth > 0 {
		return nil, nil, merry.Wrap(ErrSyntax)
	}
	return scalar(text, len(text))
}

// scalar cuts a value that ends before a byte.
func scalar(text []byte, end int) (value, rest []byte, err error) {
	if end == 0 {
		return nil, nil, merry.Wrap(ErrSyntax)
	}
	return text[:end], text[end:], nil
}

// stringLength returns the length of the string that a text begins with, with its quotes; 0 if it doesn't end.
func stringLength(text []byte) int {
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return 0
}

// Field is a member of an object to decode.
type Field struct {
	Name string
	Into any // a pointer as for [json.Unmarshal]; a [json.RawMessage] gets the text, however deep it is
}

// Decode decodes some members of an object, and ignores all others. Without the member, or with null, a value stays as
// it is. It goes on after a member that does not decode, and returns the first error.
func Decode(text []byte, fields ...Field) error {
	var failed error
	err := members(text, func(name string, value json.RawMessage) {
		for _, f := range fields {
			if f.Name != name {
				continue
			}
			if err := f.decode(value); err != nil && failed == nil {
				failed = merry.Wrap(err, merry.AppendMessage(name))
			}
		}
	})
	if err != nil {
		return err
	}
	return failed
}

func (f Field) decode(value json.RawMessage) error {
	if raw, isRaw := f.Into.(*json.RawMessage); isRaw {
		*raw = value
		return nil
	}
	return json.Unmarshal(value, f.Into)
}
