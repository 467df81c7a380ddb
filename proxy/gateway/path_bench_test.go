package gateway

import (
	"strconv"
	"testing"
)

// BenchmarkStatementPath measures the processor time of one statement from the caller's connection to the server's answer, over
// real sockets, with a server that takes no time: through a connection of the entry instance, and through a scheduler. The load
// generator and the stand-in server are included, and are the same in both.
func BenchmarkStatementPath(b *testing.B) {
	for _, c := range []struct {
		name       string
		schedulers int
	}{{"own connection", 0}, {"scheduler", 1}} {
		b.Run(c.name, func(b *testing.B) {
			d := newScheduledDeployment(b, 1, c.schedulers)
			for _, id := range []string{"p", "r"} {
				d.group.SetServiceTime(id, testSlots, 0)
			}
			caller := d.entries[0].open("stale")
			n := 0
			for b.Loop() {
				n++
				caller.ask("r"+strconv.Itoa(n), "READ x")
			}
		})
	}
}
