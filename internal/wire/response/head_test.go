package response

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const ok = "HTTP/1.1 200 OK\r\n"

// wellFormed are heads that can be read in one way only.
var wellFormed = map[string]string{
	"no fields":            ok + "\r\n",
	"fields":               ok + "Content-Length: 5\r\nX-Y_z.1: a b\tc\r\n\r\n",
	"no reason":            "HTTP/1.1 204\r\n\r\n",
	"an empty reason":      "HTTP/1.1 503 \r\n\r\n",
	"HTTP/1.0":             "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\n",
	"chunks":               ok + "Transfer-Encoding: chunked\r\n\r\n",
	"after interim ones":   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ok + "\r\n",
	"a value that goes on": ok + "Name: a\r\n b\r\n\r\n",
	"an empty value":       ok + "Name:\r\n\r\n",
	"bytes above ASCII":    ok + "Name: \xc3\xa9\r\n\r\n",
	"line feeds alone":     "HTTP/1.1 200 OK\nName: a\n\n",
}

// malformed are heads that HTTP doesn't allow.
var malformed = map[string]string{
	"status 000":                "HTTP/1.1 000 Odd\r\n\r\n",
	"status 099":                "HTTP/1.1 099 Odd\r\n\r\n",
	"status 600":                "HTTP/1.1 600 Odd\r\n\r\n",
	"a signed status":           "HTTP/1.1 +20 Odd\r\n\r\n",
	"a short status":            "HTTP/1.1 20 Odd\r\n\r\n",
	"a long status":             "HTTP/1.1 2000 Odd\r\n\r\n",
	"a blank before a status":   "HTTP/1.1  200 Odd\r\n\r\n",
	"a change of protocol":      "HTTP/1.1 101 Switching Protocols\r\n\r\n",
	"another protocol":          "HTTP/2.0 200 OK\r\n\r\n",
	"no protocol":               "200 OK\r\n\r\n",
	"an empty line":             "\r\n",
	"a control byte in reason":  "HTTP/1.1 200 O\x00K\r\n\r\n",
	"a blank before a colon":    ok + "Name : a\r\n\r\n",
	"a blank in a name":         ok + "A Name: a\r\n\r\n",
	"a tab in a name":           ok + "A\tName: a\r\n\r\n",
	"a control byte in a name":  ok + "A\x01Name: a\r\n\r\n",
	"DEL in a name":             ok + "A\x7fName: a\r\n\r\n",
	"a separator in a name":     ok + "A(Name: a\r\n\r\n",
	"a byte above ASCII in it":  ok + "N\xc3\xa9: a\r\n\r\n",
	"no name":                   ok + ": a\r\n\r\n",
	"no colon":                  ok + "Name\r\n\r\n",
	"a blank before all names":  ok + " Name: a\r\n\r\n",
	"a control byte in a value": ok + "Name: a\x00b\r\n\r\n",
	"a return in a value":       ok + "Name: a\rContent-Length: 0\r\n\r\n",
	"chunks with a blank":       ok + "Transfer-Encoding : chunked\r\n\r\n",
	"chunks and a length":       ok + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n",
	"a length and chunks":       ok + "content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n",
	"chunks in HTTP/1.0":        "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	"after an interim one":      "HTTP/1.1 103 Early Hints\r\n\r\n" + ok + "A Name: a\r\n\r\n",
	"in an interim one":         "HTTP/1.1 103 Early Hints\r\nA Name: a\r\n\r\n" + ok + "\r\n",
}

// checkInParts checks a head that arrives in parts of a size, and what follows it.
func checkInParts(text string, size int) error {
	var h headCheck
	text += "body\x00: not looked at\r\n"
	err := h.begin([]byte(text[:size]))
	for rest := text[size:]; err == nil && rest != ""; rest = rest[min(size, len(rest)):] {
		err = h.arrive([]byte(rest[:min(size, len(rest))]))
	}
	return err
}

// Guards against heads of faulty servers that are passed on, or read in another way than their callers would.
func TestHeads(t *testing.T) {
	for _, size := range []int{1, 7, 1 << 10} {
		size := func(text string) int { return min(size, len(text)) }
		for name, text := range wellFormed {
			require.NoError(t, checkInParts(text, size(text)), name)
		}
		for name, text := range malformed {
			require.ErrorIs(t, checkInParts(text, size(text)), ErrMalformed, name)
		}
	}
}

// Guards against a head that is collected without end, or a long one that is taken for such.
func TestLengthOfHeads(t *testing.T) {
	long := func(n int) string { return ok + "Name: " + strings.Repeat("a", n) + "\r\n\r\n" }
	require.NoError(t, checkInParts(long(maxHeadBytes-64), 1<<10))
	require.ErrorIs(t, checkInParts(long(maxHeadBytes), 1<<10), ErrHeadTooLong)
	require.ErrorIs(t, checkInParts(strings.Repeat("0", 2*maxHeadBytes), 1<<10), ErrHeadTooLong)
	interim := "HTTP/1.1 103 Early Hints\r\n\r\n"
	require.ErrorIs(t, checkInParts(strings.Repeat(interim, maxHeadBytes/len(interim)+1), 1<<10), ErrHeadTooLong)
}

// Guards against bytes between two responses that are taken for a head.
func TestHeadIsExpectedOnlyAfterARequest(t *testing.T) {
	var h headCheck
	require.NoError(t, h.begin([]byte(ok+"\r\n")))
	require.NoError(t, h.arrive([]byte("a body: with\x01anything")))
	require.ErrorIs(t, h.begin([]byte("\r\n")), ErrMalformed)
}
