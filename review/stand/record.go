package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, one line each, with the time since its start.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(name string) (*record, error) {
	file, err := os.Create(name)
	return &record{file: file, started: time.Now()}, err
}

// add writes a line with names and values in turn.
func (r *record) add(event string, fields ...any) {
	var line strings.Builder
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(&line, " %v=%v", fields[i], fields[i+1])
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s%s\n", time.Since(r.started).Seconds(), event, line.String())
}
