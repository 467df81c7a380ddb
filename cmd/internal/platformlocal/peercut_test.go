package platformlocal

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cyclamenstile/cyclamenstile/proxy/node"
)

// peerCutSignal makes an instance that this binary runs drop the packets that it receives at its peer address.
const peerCutSignal = syscall.SIGUSR1

// cutPeers makes an instance unreachable for the others. It still reaches them, the store and the servers.
func cutPeers(t *testing.T, i *Instance) {
	t.Helper()
	const dialTimeout = 300 * time.Millisecond
	i.Signal(peerCutSignal)
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(ReadyPollInterval) {
		conn, err := net.DialTimeout("tcp", i.peers, dialTimeout)
		if err != nil {
			return
		}
		_ = conn.Close()
	}
	t.Fatalf("%s still accepts connections of peers %s after the signal", i.Name, startTimeout)
}

// obeyPeerCut drops packets from the first peerCutSignal on. It runs in the process of the instance.
func obeyPeerCut(settingsPath string) {
	cut := make(chan os.Signal, 1)
	signal.Notify(cut, peerCutSignal)
	settings, err := node.ReadSettings(settingsPath)
	if err != nil {
		return // the daemon reports it
	}
	<-cut
	if err := dropPackets(netip.MustParseAddrPort(settings.Listen.Peers).Port()); err != nil {
		fmt.Println("the peer address can't be cut:", err)
	}
}

// dropPackets makes the kernel drop the packets that this process receives at a TCP port, also on connections accepted later.
func dropPackets(port uint16) error {
	drop := unix.SockFprog{Len: 1, Filter: &unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	for range 2 { // the first pass may miss a connection that is accepted meanwhile
		files, err := filepath.Glob("/proc/self/fd/*")
		if err != nil {
			return err
		}
		for _, f := range files {
			fd, _ := strconv.Atoi(filepath.Base(f))
			local, err := unix.Getsockname(fd)
			if address, ok := local.(*unix.SockaddrInet4); err != nil || !ok || address.Port != int(port) {
				continue
			}
			if err := unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &drop); err != nil {
				return err
			}
		}
	}
	return nil
}
