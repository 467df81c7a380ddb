package home

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cyclamenstile/cyclamenstile/proxy/home/homepb"
)

// streamExpiry is how long an unused stream is kept. A busy caller uses it again within milliseconds; an
// idle one should not hold the goroutines that a stream has at both ends.
const streamExpiry = 5 * time.Second

// reusableStream is a stream to a home that serves one loan after another. Opening a stream for each would cost
// more than the statement's own messages.
type reusableStream struct {
	address string
	stream  homepb.DRPCHomes_CheckoutClient
	cancel  context.CancelFunc
	expiry  *time.Timer // while it is kept
}

// ended reports whether the stream has ended, as it does with its TCP connection. The context of drpc's
// pool tells it by Done only.
func (l *reusableStream) ended() bool {
	select {
	case <-l.stream.Context().Done():
		return true
	default:
		return false
	}
}

// close ends the stream and leaves its drpc connection to others.
func (l *reusableStream) close() {
	if l.stream.Close() != nil {
		l.cancel()
	}
}

// streamPool keeps the streams that are free, by the home's address.
type streamPool struct {
	mu   sync.Mutex
	free map[string][]*reusableStream
}

// get returns the stream that was used last and has not ended.
func (s *streamPool) get(address string) *reusableStream {
	s.mu.Lock()
	defer s.mu.Unlock()
	for free := s.free[address]; len(free) > 0; free = s.free[address] {
		l := free[len(free)-1]
		s.free[address] = free[:len(free)-1]
		l.expiry.Stop()
		if !l.ended() {
			return l
		}
	}
	delete(s.free, address)
	return nil
}

// put keeps a stream whose last loan has ended.
func (s *streamPool) put(l *reusableStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.free == nil {
		s.free = make(map[string][]*reusableStream)
	}
	s.free[l.address] = append(s.free[l.address], l)
	if l.expiry == nil {
		l.expiry = time.AfterFunc(streamExpiry, func() { s.expire(l) })
		return
	}
	l.expiry.Reset(streamExpiry)
}

// expire closes a stream unless it was taken meanwhile.
func (s *streamPool) expire(l *reusableStream) {
	if s.remove(l) {
		l.close()
	}
}

func (s *streamPool) remove(l *reusableStream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	free := s.free[l.address]
	i := slices.Index(free, l)
	if i < 0 {
		return false
	}
	s.free[l.address] = slices.Delete(free, i, i+1)
	return true
}

// drop closes the free streams to address.
func (s *streamPool) drop(address string) {
	s.mu.Lock()
	free := s.free[address]
	delete(s.free, address)
	s.mu.Unlock()
	for _, l := range free {
		l.expiry.Stop()
		l.cancel()
	}
}
