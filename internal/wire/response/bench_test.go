package response

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// BenchmarkRoundTrip measures a small call on a kept connection, with and without the guard.
func BenchmarkRoundTrip(b *testing.B) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"step":812}`)
	}))
	defer s.Close()
	for name, t := range map[string]http.RoundTripper{"plain": &http.Transport{}, "guarded": NewTransport(&http.Transport{})} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			c := &http.Client{Transport: t}
			for b.Loop() {
				w, err := c.Get(s.URL)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, w.Body)
				_ = w.Body.Close()
			}
		})
	}
}
