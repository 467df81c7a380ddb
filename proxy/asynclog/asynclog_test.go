package asynclog

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedOutput is an output whose writes block until release is closed.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (o *blockedOutput) Write(p []byte) (int, error) {
	<-o.release
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.written.Write(p)
}

// Guards against a process that blocks because its standard output is not read, and against lines that are
// dropped without being reported.
func TestOutputThatIsNeverRead(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	w := New(out)
	began := time.Now()
	for range 10 * maxQueuedLines {
		if n, err := w.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatal(n, err)
		}
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("writing took %s, want at most 5s", took)
	}
	dropped := w.Dropped()
	if dropped < 8*maxQueuedLines {
		t.Errorf("only %d lines were dropped", dropped)
	}
	close(out.release)
	w.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	if !strings.Contains(out.written.String(), `"event":"CYC-6022"`) {
		t.Error("the output does not report that lines were dropped")
	}
}

// Guards against a queue whose memory grows with the length of its lines.
func TestQueueIsBoundedInBytes(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	w := New(out)
	long := bytes.Repeat([]byte("x"), maxQueuedBytes/4)
	for range 20 {
		_, _ = w.Write(long)
	}
	if w.queuedBytes.Load() > maxQueuedBytes {
		t.Errorf("%d bytes are queued, above the limit", w.queuedBytes.Load())
	}
	close(out.release)
	w.Close()
}

// Guards against queued lines that share the buffer of the caller of Write.
func TestLinesAreCopied(t *testing.T) {
	r, out := io.Pipe()
	w := New(out)
	line := []byte("first\n")
	_, _ = w.Write(line)
	copy(line, "later\n")
	got := make([]byte, 6)
	if _, err := io.ReadFull(r, got); err != nil || string(got) != "first\n" {
		t.Errorf("read %q, %v, want the first line", got, err)
	}
	w.Close()
}
