package response

import (
	"bytes"
	"sync"

	"github.com/ansel1/merry/v2"
	"golang.org/x/net/http/httpguts"
)

// maxHeadBytes bounds the head of a response, its status line and its header fields, and the heads of the interim
// responses before it; heads have some hundred bytes. Bytes that are no response may have no line end, and come
// without end.
const maxHeadBytes = 32 << 10

// Errors of heads.
var (
	// ErrMalformed reports a response that HTTP doesn't allow.
	ErrMalformed = merry.New("the response is malformed")
	// ErrHeadTooLong reports a response whose head is longer than maxHeadBytes.
	ErrHeadTooLong = merry.New("the head of the response is too long")
)

// The header fields that say where a body ends.
var (
	transferEncoding = []byte("Transfer-Encoding")
	contentLength    = []byte("Content-Length")
)

// The least and the greatest status of a response, and the first that is not of an interim one.
const (
	minStatus   = 100
	firstFinal  = 200
	maxStatus   = 599
	upgradeDone = 101 // answers a request to change the protocol, which is never made
)

// headCheck checks the head of a response as its bytes arrive.
//
// The parser of the standard library accepts more than HTTP does: a field with a blank before its colon becomes one of
// another name, so that the body seems to end elsewhere; and one without effect is passed on. headCheck accepts only
// what can be read in one way.
type headCheck struct {
	mu      sync.Mutex
	started bool // the status line has been read
	done    bool // the head of the final response has been read, or none is expected
	http10  bool
	interim bool
	fields  int // header lines of the current head
	chunks  bool
	length  bool
	bytes   int    // of all heads so far
	line    []byte // the beginning of a line whose end has not arrived
}

// begin expects a head. The bytes that have arrived already are its beginning.
func (h *headCheck) begin(arrived []byte) error {
	h.mu.Lock()
	h.bytes, h.done, h.line = 0, false, h.line[:0]
	h.reset()
	h.mu.Unlock()
	return h.arrive(arrived)
}

// reset prepares for the next status line.
func (h *headCheck) reset() {
	h.started, h.http10, h.interim, h.chunks, h.length, h.fields = false, false, false, false, false, 0
}

// arrive checks bytes that have arrived. What follows the head is not looked at.
func (h *headCheck) arrive(p []byte) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	for !h.done && len(p) > 0 {
		line, rest, complete := bytes.Cut(p, []byte("\n"))
		h.bytes += len(p) - len(rest)
		if h.bytes > maxHeadBytes {
			return merry.Wrap(ErrHeadTooLong)
		}
		p = rest
		if !complete || len(h.line) > 0 {
			h.line = append(h.line, line...)
			line = h.line
		}
		if !complete {
			return nil
		}
		err := h.checkLine(bytes.TrimSuffix(line, []byte("\r")))
		h.line = h.line[:0]
		if err != nil {
			return err
		}
	}
	return nil
}

func (h *headCheck) checkLine(line []byte) error {
	if !h.started {
		h.started = true
		return h.checkStatus(line)
	}
	if len(line) == 0 {
		return h.end()
	}
	if hasControl(line) {
		return merry.Appendf(ErrMalformed, "a control byte in a header field")
	}
	h.fields++
	if line[0] == ' ' || line[0] == '\t' {
		if h.fields == 1 {
			return merry.Appendf(ErrMalformed, "a header that begins with a blank")
		}
		return nil // it goes on with the value of the field before it
	}
	name, _, found := bytes.Cut(line, []byte(":"))
	if !found || !isToken(name) {
		return merry.Appendf(ErrMalformed, "the name of a header field is %.40q", name)
	}
	h.chunks = h.chunks || bytes.EqualFold(name, transferEncoding)
	h.length = h.length || bytes.EqualFold(name, contentLength)
	return nil
}

// checkStatus checks a status line.
func (h *headCheck) checkStatus(line []byte) error {
	const form = "HTTP/1.x 200"
	bad := func() error { return merry.Appendf(ErrMalformed, "the status line is %.40q", line) }
	if len(line) < len(form) || string(line[:7]) != "HTTP/1." || !isDigit(line[7]) || line[8] != ' ' {
		return bad()
	}
	status := 0
	for _, d := range line[9:12] {
		if !isDigit(d) {
			return bad()
		}
		status = 10*status + int(d-'0')
	}
	if status < minStatus || status > maxStatus || status == upgradeDone || hasControl(line) {
		return bad()
	}
	if len(line) > len(form) && line[12] != ' ' {
		return bad()
	}
	h.http10, h.interim = line[7] == '0', status < firstFinal
	return nil
}

// end checks the fields that say where the body ends, at the end of a head.
func (h *headCheck) end() error {
	switch {
	case h.chunks && h.length:
		return merry.Appendf(ErrMalformed, "a body with two lengths")
	case h.chunks && h.http10:
		return merry.Appendf(ErrMalformed, "a body in chunks, of a version without them")
	}
	if h.interim {
		h.reset()
		return nil
	}
	h.done = true
	return nil
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// hasControl reports whether a line has a control byte, which no head may have but a tab.
func hasControl(line []byte) bool {
	for _, b := range line {
		if b < ' ' && b != '\t' || b == 0x7f {
			return true
		}
	}
	return false
}

// isToken reports whether a text may be the name of a field.
func isToken(name []byte) bool {
	for _, b := range name {
		if !httpguts.IsTokenRune(rune(b)) {
			return false
		}
	}
	return len(name) > 0
}
