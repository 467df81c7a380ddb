package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// settings are those of deploy/settings.yaml, filled in for one instance.
const settings = `instance: "%[1]s"
place:
  region: "one"
  failureDomain: "%[2]s"
listen:
  callers: "%[3]s"
  ready: "%[4]s"
  peers: "%[5]s"
store: "%[6]s"
promotion: "%[7]s"
regions: {"north": "one", "south": "one", "west": "one"}
unfencedPromotions: %[8]t
firstStart: %[9]t
bounds:
  stopSeconds: 6
  keyWithdrawalMillis: 5000
  trustKeysWhenCutOff: false
quota:
  windowSeconds: 5
  overage: 0.1
  slackStatements: 20
capacity:
  processorShare: 0.4
  linkMbps: 1000
memoryMiB: 284
logLevel: info
`

// edge is one instance, a process of its own.
type edge struct {
	name, zone            string
	callers, ready, peers string
	store, promotion      string
	unfenced              bool
	binary, dir           string

	mu  sync.Mutex
	cmd *exec.Cmd
}

// Ports are taken below those that the system gives to outgoing connections, so that none is in use when a process starts again.
const firstPort, lastPort = 15000, 32000

var portsTaken = map[int]bool{}

// listen listens on a free loopback port that no earlier call has returned.
func listen() (net.Listener, error) {
	var err error
	for range 1000 {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if portsTaken[port] {
			continue
		}
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			portsTaken[port] = true
			return l, nil
		}
	}
	return nil, err
}

// freeAddresses returns loopback addresses that are free now.
func freeAddresses(n int) ([]string, error) {
	var out []string
	for range n {
		l, err := listen()
		if err != nil {
			return nil, err
		}
		_ = l.Close()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

func (e *edge) start(firstStart bool) error {
	path := filepath.Join(e.dir, e.name+".yaml")
	text := fmt.Sprintf(settings, e.name, e.zone, e.callers, e.ready, e.peers, e.store, e.promotion, e.unfenced, firstStart)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(e.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(e.binary, "edge")
	cmd.Env = append(os.Environ(), "CYCLAMENSTILE_SETTINGS="+path)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	e.mu.Lock()
	e.cmd = cmd
	e.mu.Unlock()
	return nil
}

// kill ends the process and waits for its end.
func (e *edge) kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd != nil {
		_ = e.cmd.Process.Kill()
		_ = e.cmd.Wait()
		e.cmd = nil
	}
}

// isReady asks for readiness as the platform does.
func (e *edge) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + e.ready + "/cyclamenstile/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// logLines returns the lines of the instance's log that have one of the words.
func (e *edge) logLines(words ...string) []string {
	text, err := os.ReadFile(filepath.Join(e.dir, e.name+".log"))
	if err != nil {
		return nil
	}
	var out []string
	for _, line := range strings.Split(string(text), "\n") {
		for _, w := range words {
			if strings.Contains(line, w) {
				out = append(out, e.name+" "+line)
				break
			}
		}
	}
	return out
}
