package request_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/traffic/request"
)

// FuzzMessage feeds bytes of a hostile peer. What passes both the decoder and
// Validate is within the bounds, and survives being encoded again.
func FuzzMessage(f *testing.F) {
	call := request.Call{Method: "POST", Path: "/", Remaining: 1}
	for _, m := range []request.Message{
		{Kind: request.Open, Attempt: 1, Call: &call, Header: []request.Field{{Name: "A", Value: "b"}}},
		{Kind: request.Chunk, Attempt: 2, Offset: 7, Data: []byte("bonjour")},
		{Kind: request.Refused, Attempt: 1, Reason: request.Overloaded, RetryAfter: 5},
		{Kind: request.Resolve, Attempt: 1, Incarnation: 3, Join: true},
	} {
		seed, err := cbor.Marshal(m)
		require.NoError(f, err)
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var m request.Message
		if cbor.Unmarshal(data, &m) != nil || m.Validate() != nil {
			return
		}
		require.LessOrEqual(t, len(m.Data), request.MaxDataBytes)
		require.LessOrEqual(t, len(m.Header), request.MaxFields)
		again, err := cbor.Marshal(m)
		require.NoError(t, err)
		var same request.Message
		require.NoError(t, cbor.Unmarshal(again, &same))
		require.NoError(t, same.Validate())
	})
}
