package home

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cyclamenstile/cyclamenstile/proxy/home/homepb"
)

// streamExpiry is how long an idle stream is kept. A busy caller reuses it within milliseconds; an idle
// caller should not hold the goroutines that a stream needs at both ends.
const streamExpiry = 5 * time.Second

// reusableStream is a stream to a home that serves successive loans. Opening a stream for each loan
// would cost more than the messages of a statement.
type reusableStream struct {
	address string
	stream  homepb.DRPCHomes_CheckoutClient
	cancel  context.CancelFunc
	expiry  *time.Timer // closes the stream if it stays idle
}

// ended reports whether the stream has ended, as it does with its TCP connection. It reads Done because
// the contexts of drpc's pool don't report the end in any other way.
func (s *reusableStream) ended() bool {
	select {
	case <-s.stream.Context().Done():
		return true
	default:
		return false
	}
}

// close ends the stream and frees its drpc connection for other streams.
func (s *reusableStream) close() {
	if s.stream.Close() != nil {
		s.cancel()
	}
}

// streamPool keeps idle streams by the address of the home.
type streamPool struct {
	mu   sync.Mutex
	free map[string][]*reusableStream
}

// get returns the most recently used stream that has not ended, or nil.
func (p *streamPool) get(address string) *reusableStream {
	p.mu.Lock()
	defer p.mu.Unlock()
	for free := p.free[address]; len(free) > 0; free = p.free[address] {
		stream := free[len(free)-1]
		p.free[address] = free[:len(free)-1]
		stream.expiry.Stop()
		if !stream.ended() {
			return stream
		}
	}
	delete(p.free, address)
	return nil
}

// put keeps a stream whose loan has ended.
func (p *streamPool) put(stream *reusableStream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.free == nil {
		p.free = make(map[string][]*reusableStream)
	}
	p.free[stream.address] = append(p.free[stream.address], stream)
	if stream.expiry == nil {
		stream.expiry = time.AfterFunc(streamExpiry, func() { p.expire(stream) })
		return
	}
	stream.expiry.Reset(streamExpiry)
}

// expire closes a stream unless it has been taken from the pool meanwhile.
func (p *streamPool) expire(stream *reusableStream) {
	if p.remove(stream) {
		stream.close()
	}
}

func (p *streamPool) remove(stream *reusableStream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	free := p.free[stream.address]
	i := slices.Index(free, stream)
	if i < 0 {
		return false
	}
	p.free[stream.address] = slices.Delete(free, i, i+1)
	return true
}

// drop closes the idle streams to address.
func (p *streamPool) drop(address string) {
	p.mu.Lock()
	free := p.free[address]
	delete(p.free, address)
	p.mu.Unlock()
	for _, stream := range free {
		stream.expiry.Stop()
		stream.cancel()
	}
}
