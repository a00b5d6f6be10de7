package book

// tailPart is the size to which the parts of a tail grow, in bytes.
const tailPart = 16 << 10

// tail holds the latest bytes of an answer, in parts. Bytes that are dropped at its beginning are freed part by
// part: one slice would keep its whole array for as long as any of it is used.
type tail struct {
	parts [][]byte
	size  int
}

// add copies bytes to the end.
func (t *tail) add(data []byte) {
	t.size += len(data)
	last := len(t.parts) - 1
	if last >= 0 {
		n := min(len(data), cap(t.parts[last])-len(t.parts[last]))
		t.parts[last] = append(t.parts[last], data[:n]...)
		data = data[n:]
	}
	if len(data) == 0 {
		return
	}
	size := len(data)
	if last >= 0 {
		size = max(size, min(2*cap(t.parts[last]), tailPart))
	}
	t.parts = append(t.parts, append(make([]byte, 0, size), data...))
}

// drop drops the first n bytes, at most all.
func (t *tail) drop(n int) {
	t.size -= n
	for n > 0 {
		first := t.parts[0]
		if n < len(first) {
			t.parts[0] = first[n:]
			return
		}
		n -= len(first)
		t.parts[0] = nil
		t.parts = t.parts[1:]
	}
	if t.size == 0 {
		t.parts = nil
	}
}

// from calls f for the bytes from an offset on, in order. The bytes must not be changed.
func (t *tail) from(offset int, f func(data []byte)) {
	for _, part := range t.parts {
		if offset < len(part) {
			f(part[offset:len(part):len(part)])
		}
		offset = max(offset-len(part), 0)
	}
}
