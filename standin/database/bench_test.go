package database

import (
	"context"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5"
)

// BenchmarkStatements measures simple statements over several pgx connections with zero service
// time, one round trip each.
func BenchmarkStatements(b *testing.B) {
	const connections = 32
	s := startServer(b, Config{})
	write(b, s, "k")
	conns := make([]*pgx.Conn, connections)
	for i := range conns {
		conns[i] = mustConnect(b, s)
	}
	var running sync.WaitGroup
	b.ResetTimer()
	for _, conn := range conns {
		running.Add(1)
		go func() {
			defer running.Done()
			for range b.N / connections {
				var value string
				if err := conn.QueryRow(context.Background(), "SELECT value FROM kv WHERE key = $1", "k").Scan(&value); err != nil {
					b.Error(err)
					return
				}
			}
		}()
	}
	running.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "statements/s")
}
