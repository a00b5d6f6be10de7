package frame_test

import (
	"bytes"
	"fmt"
	"io"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
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
	want := frame.Hello{
		Version: frame.Version,
		Identity: host.Identity{
			Name: "mtl-a-entry-1", Role: host.Entry, DataCentre: "mtl-a", Incarnation: 4,
			Address: netip.MustParseAddrPort("127.0.0.1:7001"),
		},
		Connection: 9,
	}
	var got frame.Hello
	r := frame.NewReader(bytes.NewReader(encode(t, frame.KindHello, want)))
	require.NoError(t, r.Expect(frame.KindHello, &got))
	require.Equal(t, want, got)
}

func TestBadInput(t *testing.T) {
	complete := encode(t, frame.KindPing, frame.Ping{Number: 7})
	tests := []struct {
		name  string
		input []byte
		want  error
	}{
		{"empty stream", nil, io.EOF},
		{"cut in the header", complete[:3], io.ErrUnexpectedEOF},
		{"cut in the payload", complete[:len(complete)-1], io.ErrUnexpectedEOF},
		{"no payload after the header", complete[:5], io.ErrUnexpectedEOF},
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
	err := frame.NewWriter(io.Discard).Write(frame.KindControl, frame.Control{Payload: make([]byte, frame.MaxBytes)})
	require.ErrorIs(t, err, frame.ErrTooLarge)
}

// FuzzReader decodes arbitrary streams as every kind of message: no decoder may panic,
// and each message that decodes must also encode.
func FuzzReader(f *testing.F) {
	var stream bytes.Buffer
	w := frame.NewWriter(&stream)
	for _, seed := range []struct {
		kind    frame.Kind
		message any
	}{
		{frame.KindHello, frame.Hello{Version: 1, Connection: 2}},
		{frame.KindControl, frame.Control{Topic: frame.TopicGroup, Payload: []byte{1}}},
		{frame.KindReport, frame.Report{Running: 1, Capacity: 2.5}},
		{frame.KindWelcome, frame.Welcome{Version: 1, Refusal: "no"}},
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
				&frame.Hello{}, &frame.Welcome{}, &frame.Ping{}, &frame.Control{}, &frame.Report{},
			} {
				if frame.Decode(got, message) != nil {
					continue
				}
				require.NoError(t, frame.NewWriter(io.Discard).Write(got.Kind, message))
			}
		}
	})
}
