package space

import (
	"bytes"
	"io"
	"strconv"
	"testing"
)

// BenchmarkReadAll shows the cost of reading a body, beside that of [io.ReadAll].
func BenchmarkReadAll(b *testing.B) {
	for _, size := range []int{800, 64 << 10, 4 << 20} {
		read := func(name string, f func() error) {
			b.Run(name+"/"+strconv.Itoa(size), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if err := f(); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
		data := make([]byte, size)
		budget := &Budget{Total: 64 << 20}
		read("stated", func() error {
			h := budget.Hold(Callers)
			defer h.Release()
			_, err := ReadAll(bytes.NewReader(data), int64(size), 8<<20, h)
			return err
		})
		read("unstated", func() error {
			h := budget.Hold(Callers)
			defer h.Release()
			_, err := ReadAll(bytes.NewReader(data), -1, 8<<20, h)
			return err
		})
		read("io", func() error {
			_, err := io.ReadAll(io.LimitReader(bytes.NewReader(data), 8<<20))
			return err
		})
	}
}
