package demo

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/load"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

const (
	moveInterval = 20 * time.Millisecond
	// movesPerKey limits how many values are appended to one key.
	movesPerKey = 32
)

// mover writes through one instance and reads through the other, without passing a session token from one
// connection to the other.
type mover struct {
	environment environment
	deadline    time.Time

	moves, staleReads int
	conns             []load.Conn // by instance; nil while disconnected
}

func (m *mover) run(ctx context.Context) error {
	m.conns = make([]load.Conn, len(m.environment.addresses()))
	for i := 0; time.Now().Before(m.deadline) && ctx.Err() == nil; i++ {
		m.move(ctx, i)
		wait.For(ctx, moveInterval)
	}
	for _, c := range m.conns {
		if c != nil {
			c.Close()
		}
	}
	return nil
}

// move writes through one instance and, if the write was acknowledged, reads through the other.
func (m *mover) move(ctx context.Context, i int) {
	from := i % len(m.conns)
	to := (i + 1) % len(m.conns)
	writer, reader := m.conn(ctx, from), m.conn(ctx, to)
	if writer == nil || reader == nil {
		return
	}
	key := fmt.Sprintf("%s/%d", moverAccount, i/movesPerKey)
	value := fmt.Sprintf("%d;", i)
	if err := writer.Append(ctx, key, value); err != nil {
		m.drop(from)
		return
	}
	content, err := reader.Read(ctx, key)
	if err != nil {
		m.drop(to)
		return
	}
	m.moves++
	if !strings.HasSuffix(content, value) {
		m.staleReads++
	}
}

func (m *mover) conn(ctx context.Context, i int) load.Conn {
	if m.conns[i] != nil {
		return m.conns[i]
	}
	c, err := m.environment.openStrict()(ctx, m.environment.addresses()[i], m.environment.account(moverAccount), "")
	if err != nil {
		return nil // the next move retries
	}
	m.conns[i] = c
	return c
}

// drop removes the connection of an instance if it is closed.
func (m *mover) drop(i int) {
	if m.conns[i].Closed() {
		m.conns[i] = nil
	}
}
