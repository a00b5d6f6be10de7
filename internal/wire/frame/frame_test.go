package frame_test

import (
	"bytes"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/wire/frame"
)

func ExampleReader() {
	var stream bytes.Buffer
	w := frame.NewWriter(&stream)
	if err := w.Write(frame.KindPing, frame.Ping{Number: 7}); err != nil {
		fmt.Println(err)
	}
	var ping frame.Ping
	err := frame.NewReader(&stream).Expect(frame.KindPing, &ping)
	fmt.Println(ping.Number, err)
	// Output: 7 <nil>
}

func encode(t *testing.T, kind frame.Kind, message any) []byte {
	t.Helper()
	var stream bytes.Buffer
	require.NoError(t, frame.NewWriter(&stream).Write(kind, message))
	return stream.Bytes()
}

func TestRoundTrip(t *testing.T) {
	want := frame.Open{
		ID: frame.RequestID{1, 2}, Attempt: 3, Incarnation: 4, Service: "redaction",
		Method: "POST", Path: "/v1/draft?x=1", Header: []frame.Field{{Name: "Accept", Value: "text/event-stream"}},
		Idempotent: true, Remaining: 1700 * time.Millisecond, Length: -1,
	}
	var got frame.Open
	r := frame.NewReader(bytes.NewReader(encode(t, frame.KindOpen, want)))
	require.NoError(t, r.Expect(frame.KindOpen, &got))
	require.Equal(t, want, got)
}

func TestBadInput(t *testing.T) {
	whole := encode(t, frame.KindPing, frame.Ping{Number: 7})
	tests := []struct {
		name  string
		input []byte
		want  error
	}{
		{"empty stream", nil, io.EOF},
		{"cut in the header", whole[:3], io.ErrUnexpectedEOF},
		{"cut in the payload", whole[:len(whole)-1], io.ErrUnexpectedEOF},
		{"no payload after the header", whole[:5], io.ErrUnexpectedEOF},
		{"length zero", []byte{0, 0, 0, 0, 1}, frame.ErrMalformed},
		{"length over the bound", []byte{0xff, 0, 0, 0, 1}, frame.ErrTooLarge},
		{"not CBOR", []byte{0, 0, 0, 2, byte(frame.KindPing), 0xff}, frame.ErrMalformed},
		{"another kind", encode(t, frame.KindPong, frame.Pong{}), frame.ErrKind},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var ping frame.Ping
			err := frame.NewReader(bytes.NewReader(test.input)).Expect(frame.KindPing, &ping)
			require.ErrorIs(t, err, test.want)
		})
	}
}

func TestWriteOverBound(t *testing.T) {
	err := frame.NewWriter(io.Discard).Write(frame.KindBody, frame.Body{Data: make([]byte, frame.MaxBytes)})
	require.ErrorIs(t, err, frame.ErrTooLarge)
}

// FuzzReader feeds arbitrary streams to the decoder of every kind: none may
// panic, and whatever decodes must encode again.
func FuzzReader(f *testing.F) {
	var stream bytes.Buffer
	w := frame.NewWriter(&stream)
	for _, seed := range []struct {
		kind    frame.Kind
		message any
	}{
		{frame.KindHello, frame.Hello{Version: 1, Connection: 2}},
		{frame.KindOpen, frame.Open{Method: "POST", Header: []frame.Field{{Name: "a", Value: "b"}}}},
		{frame.KindEnd, frame.End{Total: 9, Report: &frame.Report{Running: 1}}},
	} {
		stream.Reset()
		if err := w.Write(seed.kind, seed.message); err != nil {
			f.Fatal(err)
		}
		f.Add(bytes.Clone(stream.Bytes()))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		r := frame.NewReader(bytes.NewReader(input))
		for {
			got, err := r.Read()
			if err != nil {
				return
			}
			for _, message := range []any{
				&frame.Hello{}, &frame.Welcome{}, &frame.Control{}, &frame.Report{}, &frame.Open{}, &frame.Body{},
				&frame.Resolve{}, &frame.Refused{}, &frame.Head{}, &frame.Chunk{}, &frame.End{}, &frame.Unknown{},
			} {
				if frame.Decode(got, message) != nil {
					continue
				}
				require.NoError(t, frame.NewWriter(io.Discard).Write(got.Kind, message))
			}
		}
	})
}
