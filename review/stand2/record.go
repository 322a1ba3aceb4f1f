package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	started time.Time

	mu   sync.Mutex
	file *os.File
}

// newRecord creates record.txt in the working directory.
func newRecord() (*record, error) {
	f, err := os.Create("record.txt")
	if err != nil {
		return nil, err
	}
	return &record{started: time.Now(), file: f}, nil
}

// linef writes a line with the time since the start.
func (r *record) linef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.started).Seconds()}, args...)...)
}

// summaryf writes a line to the record and to standard output.
func (r *record) summaryf(format string, args ...any) {
	r.linef(format, args...)
	fmt.Printf(format+"\n", args...)
}
