// Package standin has the other sides of a limiter, as the protocol page describes them: servers, discovery, the
// counter and clients, and the start of limiter processes. All of them listen on loopback addresses.
package standin

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run, a line each, with the seconds since the start of the case.
type Record struct {
	mutex sync.Mutex
	start time.Time
	file  *os.File
	out   *bufio.Writer
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// Now returns the time since the start of the case.
func (r *Record) Now() time.Duration { return time.Since(r.start) }

// Linef writes one line.
func (r *Record) Linef(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.out, "%9.4f ", time.Since(r.start).Seconds())
	_, _ = fmt.Fprintf(r.out, format+"\n", arguments...)
}

// Close flushes the file.
func (r *Record) Close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
