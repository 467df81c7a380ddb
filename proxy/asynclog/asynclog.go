// Package asynclog writes log lines without ever blocking their writer: lines that the output does not take in
// time are dropped and counted.
package asynclog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// maxQueuedLines and maxQueuedBytes bound what waits for the output.
	maxQueuedLines = 1024
	maxQueuedBytes = 256 << 10
	// closeTimeout bounds the wait for the output at the end.
	closeTimeout = 200 * time.Millisecond
)

// Writer is an io.Writer in front of a slow output. Each call of Write is one line.
type Writer struct {
	lines       chan []byte
	queuedBytes atomic.Int64 // bytes
	dropped     atomic.Uint64
	done        chan struct{}
	closeOnce   sync.Once
}

// New returns a writer in front of out.
func New(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run(out)
	return w
}

// Write queues a line or drops it. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if w.queuedBytes.Load()+int64(len(line)) > maxQueuedBytes {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
		w.queuedBytes.Add(int64(len(line)))
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() uint64 {
	return w.dropped.Load()
}

// Close waits for the queued lines, closeTimeout at most. Nothing may be written afterwards.
func (w *Writer) Close() {
	w.closeOnce.Do(func() { close(w.lines) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

// newLogger returns a log that writes to out itself.
func (w *Writer) newLogger(out io.Writer) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&logrus.JSONFormatter{})
	return log
}

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	var told uint64
	for line := range w.lines {
		w.queuedBytes.Add(-int64(len(line)))
		_, _ = out.Write(line) // there is no place to report a failed log
		if dropped := w.Dropped(); dropped != told {
			told = dropped
			w.newLogger(out).WithFields(logrus.Fields{"event": EventLinesDropped, "dropped": dropped}).
				Warn("log lines were dropped because the output did not take them")
		}
	}
}
