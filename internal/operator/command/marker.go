package command

import (
	"bytes"
	"fmt"

	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

// marker is the first line of a file that "show" wrote. It names the version of the
// document that an edit is based on, and is not part of the document.
type marker struct {
	version object.Version
	digest  document.Digest
}

const markerFormat = "# wagtailshelf: version %d, digest %s\n"

// String returns the marker as a line of text.
func (m marker) String() string { return fmt.Sprintf(markerFormat, m.version, m.digest) }

// cutMarker returns the text without its marker, and the marker; ok reports whether
// the file has one.
func cutMarker(file []byte) (text []byte, m marker, ok bool) {
	line, rest, _ := bytes.Cut(file, []byte("\n"))
	var digits string
	n, err := fmt.Sscanf(string(line)+"\n", markerFormat, &m.version, &digits)
	if n != 2 || err != nil || m.digest.UnmarshalText([]byte(digits)) != nil {
		return file, marker{}, false
	}
	return rest, m, true
}
