package engine

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
)

// maxLineBytes bounds a line of a stream.
const maxLineBytes = 64 << 10

// ReadStream reads a streamed response and returns its text. The error is nil only if
// the end event was received. With an error, it returns the text that it has read.
func ReadStream(r io.Reader) (string, error) {
	var text strings.Builder
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	ended := false
	for lines.Scan() {
		line := lines.Text()
		if line == "event: end" {
			ended = true
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok || ended {
			continue
		}
		var t Token
		if err := json.Unmarshal([]byte(data), &t); err != nil {
			return text.String(), err
		}
		text.WriteString(t.Token)
	}
	if lines.Err() != nil {
		return text.String(), lines.Err()
	}
	if !ended {
		return text.String(), io.ErrUnexpectedEOF
	}
	return text.String(), nil
}
