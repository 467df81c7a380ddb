// Package asynclog writes log lines without blocking the logging goroutine: lines that a slow output can't
// accept in time are dropped and counted.
package asynclog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// maxQueuedLines and maxQueuedBytes bound the queue of lines for the output.
	maxQueuedLines = 1024
	maxQueuedBytes = 256 << 10
	// closeTimeout bounds the time for which Close waits for the output.
	closeTimeout = 200 * time.Millisecond
)

// Writer is an io.Writer that queues lines for a possibly slow output. Each call of Write is one line.
type Writer struct {
	lines       chan []byte
	queuedBytes atomic.Int64
	dropped     atomic.Uint64
	done        chan struct{}
	closeOnce   sync.Once
}

// New returns a writer that writes to out in the background.
func New(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run(out)
	return w
}

// Write queues a copy of line, or drops it if the queue is full. It never fails.
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

// Close waits until the queued lines are written, for closeTimeout at most. Write must not be called
// afterwards.
func (w *Writer) Close() {
	w.closeOnce.Do(func() { close(w.lines) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

// newLogger returns a logger that writes to out directly.
func (w *Writer) newLogger(out io.Writer) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&logrus.JSONFormatter{})
	return log
}

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	var reported uint64
	for line := range w.lines {
		w.queuedBytes.Add(-int64(len(line)))
		_, _ = out.Write(line) // a failed write can't be reported anywhere
		if dropped := w.Dropped(); dropped != reported {
			reported = dropped
			w.newLogger(out).WithFields(logrus.Fields{"event": EventLinesDropped, "dropped": dropped}).
				Warn("dropped log lines because the output is too slow")
		}
	}
}
