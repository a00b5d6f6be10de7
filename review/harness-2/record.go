package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record is the file record.txt of a case: what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	begin time.Time
	file  *os.File
	w     *bufio.Writer
}

func newRecord(dir string) (*record, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{begin: time.Now(), file: f, w: bufio.NewWriter(f)}, nil
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f ", time.Since(r.begin).Seconds())
	fmt.Fprintf(r.w, format, args...)
	_ = r.w.WriteByte('\n') // the writer keeps an error
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}
