package relay

import (
	"net"
	"strconv"
	"testing"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/freeport"
)

// Guards against a relay that can't be enabled again because an outgoing connection got its port meanwhile.
func TestPortIsNotGivenToOutgoingConnections(t *testing.T) {
	r, err := Start("127.0.0.1:1", 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Disable()
	_, port, err := net.SplitHostPort(r.Address())
	if err != nil {
		t.Fatal(err)
	}
	if n, err := strconv.Atoi(port); err != nil || n >= freeport.LastPort {
		t.Errorf("port %s, error %v; want one below %d", port, err, freeport.LastPort)
	}
	r.Disable()
	if err := r.Enable(); err != nil {
		t.Errorf("enable: %v", err)
	}
}
