package frame

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
)

const (
	lengthBytes = 4
	headerBytes = lengthBytes + 1 // plus one byte of kind

	// MaxBytes bounds the kind and payload of a frame. The largest is a Control frame
	// that carries a block of a document; request bodies are sent in smaller pieces.
	MaxBytes = 1 << 20

	maxKeptBuffer = 64 << 10 // a writer releases its buffer if it grew beyond this size
	maxElements   = 4096     // elements of an array or a map in a frame
	maxNesting    = 8
)

// Errors of the decoder.
var (
	ErrTooLarge  = merry.New("frame is larger than the bound")
	ErrMalformed = merry.New("frame is malformed")
	ErrKind      = merry.New("frame has an unexpected kind")
)

// Frame is a frame with its payload still encoded.
type Frame struct {
	Kind    Kind
	Payload []byte
}

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err) // the options are constant; a failure is a defect of this file
	}
	return mode
}

func newDecoder() cbor.DecMode {
	options := cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNesting,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}
	mode, err := options.DecMode()
	if err != nil {
		panic(err) // the options are constant; a failure is a defect of this file
	}
	return mode
}

// Decode decodes the payload of a frame into a message.
func Decode(f Frame, message any) error {
	if err := decoder.Unmarshal(f.Payload, message); err != nil {
		return merry.Wrap(ErrMalformed, merry.AppendMessagef("kind %d: %v", f.Kind, err))
	}
	return nil
}

// Reader reads frames from a stream. It is not safe for concurrent use.
type Reader struct {
	r      io.Reader
	header [headerBytes]byte
}

// NewReader returns a reader of frames from r.
func NewReader(r io.Reader) *Reader {
	return &Reader{r: r}
}

// Read returns the next frame. It returns io.EOF only between two frames; a
// stream that ends inside a frame gives io.ErrUnexpectedEOF.
func (r *Reader) Read() (Frame, error) {
	if _, err := io.ReadFull(r.r, r.header[:]); err != nil {
		return Frame{}, err
	}
	n := binary.BigEndian.Uint32(r.header[:4])
	if n == 0 {
		return Frame{}, ErrMalformed
	}
	if n > MaxBytes {
		return Frame{}, merry.Wrap(ErrTooLarge, merry.AppendMessagef("%d bytes", n))
	}
	payload := make([]byte, n-1)
	if _, err := io.ReadFull(r.r, payload); err != nil {
		return Frame{}, asUnexpectedEOF(err)
	}
	return Frame{Kind: Kind(r.header[4]), Payload: payload}, nil
}

// asUnexpectedEOF distinguishes a stream that ends inside a frame from one that ends after
// a frame. Otherwise a reader would pass on a truncated answer as complete.
func asUnexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Expect reads the next frame, which must be of the given kind, and decodes it into
// message.
func (r *Reader) Expect(kind Kind, message any) error {
	f, err := r.Read()
	if err != nil {
		return err
	}
	if f.Kind != kind {
		return merry.Wrap(ErrKind, merry.AppendMessagef("got %d, want %d", f.Kind, kind))
	}
	return Decode(f, message)
}

// Writer writes frames to a stream. It is safe for concurrent use.
type Writer struct {
	mu  sync.Mutex
	w   io.Writer
	buf bytes.Buffer // frames that were added and not flushed yet
}

// NewWriter returns a writer of frames to w.
func NewWriter(w io.Writer) *Writer {
	return &Writer{w: w}
}

// Write encodes the message and writes it, together with all frames that were added
// before, in one call to the underlying writer.
func (w *Writer) Write(kind Kind, message any) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.add(kind, message); err != nil {
		return err
	}
	return w.flush()
}

// Add encodes the message and buffers it until the next Write or Flush. Messages that
// are written together can share a packet.
func (w *Writer) Add(kind Kind, message any) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.add(kind, message)
}

// Flush writes the frames that were added.
func (w *Writer) Flush() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.flush()
}

// add appends a frame to the buffer. If the message can't be encoded, the buffer is left
// unchanged: a partial frame would make all frames after it unreadable.
func (w *Writer) add(kind Kind, message any) error {
	start := w.buf.Len()
	w.buf.Write([]byte{0, 0, 0, 0, byte(kind)}) // the length is set below
	if err := encoder.MarshalToBuffer(message, &w.buf); err != nil {
		w.buf.Truncate(start)
		return fmt.Errorf("encode frame of kind %d: %w", kind, err)
	}
	n := w.buf.Len() - start - lengthBytes
	if n > MaxBytes {
		w.buf.Truncate(start)
		return merry.Wrap(ErrTooLarge, merry.AppendMessagef("%d bytes", n))
	}
	binary.BigEndian.PutUint32(w.buf.Bytes()[start:], uint32(n))
	return nil
}

func (w *Writer) flush() error {
	_, err := w.w.Write(w.buf.Bytes())
	w.buf.Reset()
	if w.buf.Cap() > maxKeptBuffer {
		w.buf = bytes.Buffer{}
	}
	return err
}
