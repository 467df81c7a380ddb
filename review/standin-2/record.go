// Program standin-2 plays the cases of the second review: it runs a small deployment of real instances on loopback addresses beside
// stand-ins of the platform, the database servers and the callers, and checks one rule of the users' pages.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// journal writes what was sent, answered and run to a file.
type journal struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newJournal(path string) (*journal, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &journal{file: f, began: time.Now()}, nil
}

// add writes one line with the time since the start in seconds.
func (j *journal) add(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	_, _ = fmt.Fprintf(j.file, "%8.3f  %s\n", time.Since(j.began).Seconds(), fmt.Sprintf(format, args...))
}

func (j *journal) close() {
	j.mu.Lock()
	defer j.mu.Unlock()
	_ = j.file.Close()
}
