package command

import (
	"bytes"
	"fmt"

	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

// marker is the first line of a file that "show" wrote: which version of the
// document an edit begins with. It is no part of the document.
type marker struct {
	version object.Version
	digest  document.Digest
}

const markerForm = "# wagtailshelf: version %d, digest %s\n"

// String returns the line.
func (m marker) String() string { return fmt.Sprintf(markerForm, m.version, m.digest) }

// cutMarker returns the text without its marker, and the marker if it has one.
func cutMarker(file []byte) (text []byte, m marker, ok bool) {
	line, rest, _ := bytes.Cut(file, []byte("\n"))
	var digits string
	n, err := fmt.Sscanf(string(line)+"\n", markerForm, &m.version, &digits)
	if n != 2 || err != nil || m.digest.UnmarshalText([]byte(digits)) != nil {
		return file, marker{}, false
	}
	return rest, m, true
}
