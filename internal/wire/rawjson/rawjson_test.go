package rawjson

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func ExampleDecode() {
	var name string
	var rest json.RawMessage
	err := Decode([]byte(`{"name": "a", "more": [[1, 2], "]"], "unknown": 1e400}`), Field{"name", &name}, Field{"more", &rest})
	fmt.Println(name, string(rest), err)
	// Output: a [[1, 2], "]"] <nil>
}

// Guards against a text that is refused, or split in another way than the standard library does.
func FuzzSplit(f *testing.F) {
	for _, text := range []string{
		`{}`, `[]`, ` { "a" : 1 , "b" : [ ] } `, `[1,"\"]",{"}":"{"},null,-1e3,[[]]]`, `null`, `{"a\u0062":1,"ab":2}`, `{"a":1}x`, `[1,]`, `[1 2]`, `{"a"}`, "",
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		list, listErr := Elements([]byte(text))
		members := map[string]json.RawMessage{}
		objectErr := Decode([]byte(text), Field{"a", new(json.RawMessage)})
		if !json.Valid([]byte(text)) {
			return // it must only end
		}
		var wantList []json.RawMessage
		if json.Unmarshal([]byte(text), &wantList) == nil {
			require.NoError(t, listErr)
			require.Len(t, list, len(wantList))
			for i := range list {
				require.Equal(t, strings.TrimSpace(string(wantList[i])), string(list[i]))
			}
		}
		if json.Unmarshal([]byte(text), &members) == nil && strings.TrimSpace(text) != "null" {
			require.NoError(t, objectErr)
			for name, want := range members {
				var got json.RawMessage
				require.NoError(t, Decode([]byte(text), Field{name, &got}))
				require.Equal(t, strings.TrimSpace(string(want)), string(got))
			}
		}
	})
}

// Guards against a depth that ends the process, or takes time out of proportion.
func TestDepth(t *testing.T) {
	const depth = 4 << 20
	deep := strings.Repeat("[", depth) + strings.Repeat("]", depth)
	list, err := Elements([]byte("[1," + deep + ",2]"))
	require.NoError(t, err)
	require.Len(t, list, 3)
	require.Len(t, list[1], 2*depth)
	_, err = Elements([]byte(deep[:depth]))
	require.ErrorIs(t, err, ErrSyntax)
}
