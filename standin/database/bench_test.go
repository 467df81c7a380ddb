package database

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5"
)

// BenchmarkStatements measures single statements over several pgx connections with zero service
// time, one round trip each. A drop in the mixed case alone indicates contention for the state's lock.
func BenchmarkStatements(b *testing.B) {
	for name, readsPerWrite := range map[string]int{"reads": 0, "mixed": 4} {
		b.Run(name, func(b *testing.B) { benchmarkStatements(b, readsPerWrite) })
	}
}

func benchmarkStatements(b *testing.B, readsPerWrite int) {
	const connections = 32
	s := startServer(b, Config{})
	conns := make([]*pgx.Conn, connections)
	for i := range conns {
		conns[i] = mustConnect(b, s)
	}
	var running sync.WaitGroup
	b.ResetTimer()
	for i, conn := range conns {
		running.Add(1)
		go func() {
			defer running.Done()
			if err := runStatements(conn, fmt.Sprint(i), b.N/connections, readsPerWrite); err != nil {
				b.Error(err)
			}
		}()
	}
	running.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "statements/s")
}

const upsert = "INSERT INTO kv VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = excluded.value"

// runStatements executes n statements: a write of key, then reads with one write after every
// readsPerWrite of them; 0 means no further writes.
func runStatements(conn *pgx.Conn, key string, n, readsPerWrite int) error {
	ctx := context.Background()
	for i := range n {
		if i == 0 || readsPerWrite > 0 && i%(readsPerWrite+1) == 0 {
			if _, err := conn.Exec(ctx, upsert, key, "v"); err != nil {
				return err
			}
			continue
		}
		var value string
		if err := conn.QueryRow(ctx, "SELECT value FROM kv WHERE key = $1", key).Scan(&value); err != nil {
			return err
		}
	}
	return nil
}

// BenchmarkReplicatedWrite measures the time from a commit on the primary until a replica without
// lag has applied it, one write at a time.
func BenchmarkReplicatedWrite(b *testing.B) {
	g := startGroup(b, GroupConfig{})
	primary, replica := g.Server(0), g.Server(1)
	write(b, primary, "first")
	waitPosition(b, g, 1, primary.State().Position())
	for b.Loop() {
		if err := primary.state.commit([]op{{Kind: opSet, Key: "k", Value: "v"}}); err != nil {
			b.Fatal(err)
		}
		wanted := primary.State().LSN
		for !waitForLSN(replica.state, wanted) {
		}
	}
}

// waitForLSN returns true if s has applied the record at lsn. Otherwise it waits for the next change of s
// and returns false.
func waitForLSN(s *state, lsn uint64) bool {
	s.mu.Lock()
	if s.lsn() >= lsn {
		s.mu.Unlock()
		return true
	}
	changed := s.nextChange()
	s.mu.Unlock()
	<-changed
	return false
}
