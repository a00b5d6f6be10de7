package quarantine

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func ExampleRequest_Fingerprint() {
	r := Request{Workspace: "acme", Host: "calls.example", Method: "POST", URI: "/drafts/opener", Body: []byte("Bonjour")}
	fmt.Println(r.Fingerprint() == r.Fingerprint())
	other := r
	other.Workspace = "other"
	fmt.Println(r.Fingerprint() == other.Fingerprint())
	// Output:
	// true
	// false
}

func TestFingerprintsDiffer(t *testing.T) {
	base := Request{Workspace: "w", Host: "h", Method: "GET", URI: "/a", Body: []byte("xy")}
	seen := map[Fingerprint]string{base.Fingerprint(): "base"}
	for name, change := range map[string]func(*Request){
		"workspace":           func(r *Request) { r.Workspace = "v" },
		"host":                func(r *Request) { r.Host = "i" },
		"method":              func(r *Request) { r.Method = "PUT" },
		"query":               func(r *Request) { r.URI = "/a?b" },
		"end of the body":     func(r *Request) { r.Body = []byte("xz") },
		"longer body":         func(r *Request) { r.Body = []byte("xyz") },
		"parts moved by one":  func(r *Request) { r.URI, r.Body = "/ax", []byte("y") },
		"no body at all":      func(r *Request) { r.Body = nil },
		"workspace into host": func(r *Request) { r.Workspace, r.Host = "", "wh" },
	} {
		t.Run(name, func(t *testing.T) {
			r := base
			change(&r)
			require.NotContains(t, seen, r.Fingerprint())
			seen[r.Fingerprint()] = name
		})
	}
}

func TestFingerprintIsReadBack(t *testing.T) {
	f := Request{Body: []byte("x")}.Fingerprint()
	got, err := ParseFingerprint(f.String())
	require.NoError(t, err)
	require.Equal(t, f, got)
	for _, text := range []string{"", "xy", f.String()[1:], f.String() + "00", "zz" + f.String()[2:]} {
		_, err := ParseFingerprint(text)
		require.ErrorIs(t, err, ErrFingerprint, "%q", text)
	}
}

// BenchmarkFingerprint hashes a body of a usual size, 1 kB, and a long one of 64 kB.
func BenchmarkFingerprint(b *testing.B) {
	for _, size := range []int{1 << 10, 64 << 10} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			r := Request{Workspace: "acme", Host: "calls.example", Method: "POST", URI: "/drafts/opener", Body: make([]byte, size)}
			for b.Loop() {
				r.Fingerprint()
			}
		})
	}
}

// Guards against a part that is held at one service because it crashes the targets of another, and against
// parts that pass for each other.
func TestPartFingerprints(t *testing.T) {
	seen := map[Fingerprint]string{}
	for _, part := range [][2]string{{"a", "5c1e"}, {"b", "5c1e"}, {"a", "5c1f"}, {"a5", "c1e"}, {"", "a5c1e"}} {
		f := PartFingerprint(part[0], part[1])
		require.Empty(t, seen[f], part)
		seen[f] = part[0] + " " + part[1]
	}
	prompt := []byte("one two three four")
	leading := LeadingParts("a", prompt, 4, 8)
	require.Len(t, leading, 4, "the whole prompt is no part of itself")
	require.Equal(t, leading[:2], LeadingParts("a", []byte("one two 3"), 4, 8))
	require.NotEqual(t, leading[0], LeadingParts("b", prompt, 4, 8)[0])
	require.Len(t, LeadingParts("a", prompt, 4, 2), 2)
	require.Empty(t, LeadingParts("a", prompt, 0, 8))
	require.Empty(t, LeadingParts("a", prompt[:4], 4, 8), "a prompt that is all one block")
}
