package asynclog

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedOutput is an output that takes nothing until it is released.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (s *blockedOutput) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(p)
}

// Guards against a process that stands still because nobody reads its standard output, and against lines that are
// dropped without a word.
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
		t.Errorf("writing took %s", took)
	}
	dropped := w.Dropped()
	if dropped < 8*maxQueuedLines {
		t.Errorf("%d lines were dropped", dropped)
	}
	close(out.release)
	w.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	if !strings.Contains(out.written.String(), `"event":"CYC-6022"`) {
		t.Error("the output does not tell that lines were dropped")
	}
}

// Guards against memory that grows with long lines.
func TestQueueIsBoundedInBytes(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	w := New(out)
	long := bytes.Repeat([]byte("x"), maxQueuedBytes/4)
	for range 20 {
		_, _ = w.Write(long)
	}
	if w.queuedBytes.Load() > maxQueuedBytes {
		t.Errorf("%d bytes wait", w.queuedBytes.Load())
	}
	close(out.release)
	w.Close()
}

// Guards against lines that share the buffer of their writer.
func TestLinesAreCopied(t *testing.T) {
	r, out := io.Pipe()
	w := New(out)
	line := []byte("first\n")
	_, _ = w.Write(line)
	copy(line, "later\n")
	got := make([]byte, 6)
	if _, err := io.ReadFull(r, got); err != nil || string(got) != "first\n" {
		t.Errorf("%q, %v", got, err)
	}
	w.Close()
}
