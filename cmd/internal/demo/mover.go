package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/load"
	"github.com/cyclamenstile/cyclamenstile/cmd/internal/local"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

const (
	moverPause  = 20 * time.Millisecond
	moverUpsert = "INSERT INTO kv (key, value) VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = excluded.value"
	moverSelect = "SELECT value FROM kv WHERE key = $1"
)

// mover is a session that writes through one instance and reads through the other, without handing
// a token over.
type mover struct {
	deployment *local.Deployment
	until      time.Time

	moves, stale int
	conns        []*pgx.Conn // by instance, nil while broken
}

func (m *mover) run(ctx context.Context) error {
	m.conns = make([]*pgx.Conn, len(m.deployment.Instances))
	for i := 0; time.Now().Before(m.until) && ctx.Err() == nil; i++ {
		from := i % len(m.conns)
		to := (i + 1) % len(m.conns)
		m.move(ctx, from, to, fmt.Sprint(i))
		wait.For(ctx, moverPause)
	}
	for _, c := range m.conns {
		if c != nil {
			_ = c.Close(ctx)
		}
	}
	return nil
}

// move writes through one instance and, if the write was acknowledged, reads through the other.
func (m *mover) move(ctx context.Context, from, to int, value string) {
	writer, reader := m.conn(ctx, from), m.conn(ctx, to)
	if writer == nil || reader == nil {
		return
	}
	if _, err := writer.Exec(ctx, moverUpsert, moverAccount, value); err != nil {
		m.drop(from, err)
		return
	}
	var got string
	if err := reader.QueryRow(ctx, moverSelect, moverAccount).Scan(&got); err != nil {
		m.drop(to, err)
		return
	}
	m.moves++
	if got != value {
		m.stale++
	}
}

func (m *mover) conn(ctx context.Context, i int) *pgx.Conn {
	if m.conns[i] != nil {
		return m.conns[i]
	}
	account := load.Account{Name: moverAccount, Key: m.deployment.Key(moverAccount)}
	conf, err := load.ConnConfig(m.deployment.Instances[i].Address, local.DatabaseName, account)
	if err != nil {
		return nil
	}
	m.conns[i], err = pgx.ConnectConfig(ctx, conf)
	if err != nil {
		m.conns[i] = nil
	}
	return m.conns[i]
}

func (m *mover) drop(i int, _ error) {
	if m.conns[i].IsClosed() {
		m.conns[i] = nil
	}
}
