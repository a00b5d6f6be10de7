package platform

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

// FuzzReply checks that any response body either decodes to the objects that were
// requested, within the size bounds, or is an error.
func FuzzReply(f *testing.F) {
	for _, seed := range []string{
		`{"key":"documents/a","version":3,"value":"b25l"}`,
		`{"objects":[{"key":"documents/a","version":3,"value":null}],"next":9}`,
		`{"key":"leases/a","version":-1}`,
		`{"objects":[{}]}`,
		`{"key":"documents/a","value":"` + strings.Repeat("A", 64) + `"}`,
		`null`, `[]`, `{`, ``,
	} {
		f.Add([]byte(seed), 200)
	}
	f.Add([]byte(`{"key":"documents/a","version":2,"value":""}`), 409)
	f.Fuzz(func(t *testing.T, body []byte, code int) {
		for _, op := range []object.Op{object.Get, object.Put, object.Delete, object.List} {
			call := object.Call{Op: op, Key: "documents/a"}
			reply := readReply(call, exchange{sent: true, code: code, body: body})
			assert.NotZero(t, reply.Status)
			if reply.Status != object.Done {
				continue
			}
			for _, obj := range append(reply.Objects, reply.Object) {
				assert.LessOrEqual(t, len(obj.Value), object.MaxValueBytes)
				if op == object.List && obj.Key != "" {
					assert.True(t, strings.HasPrefix(string(obj.Key), "documents/a"))
				}
			}
			if op != object.List {
				assert.Equal(t, object.Key("documents/a"), reply.Object.Key)
			}
		}
	})
}
