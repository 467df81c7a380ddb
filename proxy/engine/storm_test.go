package engine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	osexec "os/exec"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
)

const (
	// stormAddress is the environment variable that makes the test binary run as the callers of a storm. Its
	// value is the address to connect to.
	stormAddress = "CYCLAMENSTILE_TEST_STORM"
	stormCallers = 4000
	// stormRetry is the maximum delay before a refused caller retries.
	stormRetry = time.Second
	// stormProcessors is the GOMAXPROCS of the instance. The callers have more, so that they can overload it.
	stormProcessors = 2
)

func TestMain(m *testing.M) {
	if address := os.Getenv(stormAddress); address != "" {
		storm(address)
		return
	}
	os.Exit(m.Run())
}

// storm connects all callers at once and retries refused connections. It prints the milliseconds until all
// callers were connected at the same time, and the number of refusals.
func storm(address string) {
	var callers sync.WaitGroup
	var refused atomic.Int64
	started := time.Now()
	for range stormCallers {
		callers.Go(func() {
			url := "postgres://depot:secret@" + address + "/orders?sslmode=require&connect_timeout=10"
			for {
				if _, err := pgconn.Connect(context.Background(), url); err == nil {
					return
				}
				refused.Add(1)
				time.Sleep(rand.N(stormRetry))
			}
		})
	}
	callers.Wait()
	fmt.Println(time.Since(started).Milliseconds(), refused.Load())
}

// BenchmarkReconnectStorm measures the latency of a connected session on an instance with 2 processors while
// 4,000 callers of another process connect with TLS at once, with and without limits.
func BenchmarkReconnectStorm(b *testing.B) {
	for _, limits := range []string{"default", "none"} {
		b.Run("limits="+limits, func(b *testing.B) {
			for range b.N {
				measureStorm(b, limits == "none")
			}
		})
	}
}

func measureStorm(b *testing.B, unlimited bool) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(stormProcessors))
	r := newRig(b, func(c *Config, _ *manifest.Route) {
		c.TLS = newTestTLS(b)
		if unlimited {
			c.MaxStartups, c.MaxHandshakes = 10*stormCallers, 10*stormCallers
		}
	})
	r.rec.refused = make(chan error, 100*stormCallers)
	c := r.connect()
	quiet := latencies(b, c, time.After(time.Second))
	callers := osexec.Command(os.Args[0])
	callers.Env = append(os.Environ(), stormAddress+"="+r.addr)
	over := make(chan time.Time)
	var out []byte
	go func() {
		out, _ = callers.Output()
		close(over)
	}()
	busy := latencies(b, c, over)
	var all, refused float64
	if _, err := fmt.Sscan(string(out), &all, &refused); err != nil {
		b.Fatalf("callers printed %q: %v", out, err)
	}
	b.ReportMetric(quiet[len(quiet)*99/100].Seconds()*1e3, "quiet-p99-ms")
	b.ReportMetric(busy[len(busy)*99/100].Seconds()*1e3, "storm-p99-ms")
	b.ReportMetric(busy[len(busy)-1].Seconds()*1e3, "storm-max-ms")
	b.ReportMetric(all, "all-in-ms")
	b.ReportMetric(refused, "refused")
}

// latencies runs a statement every millisecond until end and returns the sorted latencies, measured from the
// time at which each statement was due. A stall counts for all statements that it delays.
func latencies(b *testing.B, c *pgx.Conn, end <-chan time.Time) []time.Duration {
	var all []time.Duration
	began := time.Now()
	for i := 0; ; i++ {
		due := began.Add(time.Duration(i) * time.Millisecond)
		time.Sleep(time.Until(due))
		select {
		case <-end:
			slices.Sort(all)
			return all
		default:
		}
		queryText(b, c, "select "+strconv.Itoa(i))
		all = append(all, time.Since(due))
	}
}
