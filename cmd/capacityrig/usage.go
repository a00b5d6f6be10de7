package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// processorTime returns the processor time of all threads of a process. The kernel
// reports it in nanoseconds here, whereas /proc/PID/stat counts ticks of 10 ms.
func processorTime(pid int) (time.Duration, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil {
		return 0, err
	}
	var sum time.Duration
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has just ended
		}
		first, _, _ := strings.Cut(string(text), " ")
		n, err := strconv.ParseInt(first, 10, 64)
		if err != nil {
			return 0, err
		}
		sum += time.Duration(n)
	}
	return sum, nil
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0, fmt.Errorf("statm of %d: %q", pid, text)
	}
	pages, err := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize()), err
}
