package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cyclamenstile/cyclamenstile/platform/platformtest"
)

// recorder writes what was sent, answered and run, with the time since the start of the script.
type recorder struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%9.4f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) seconds(t time.Time) float64 {
	return t.Sub(r.start).Seconds()
}

// options are what a case asks of the installation.
type options struct {
	edges        int
	servers      int
	slots        int
	syncReplicas int
	unfenced     bool
	promoteTime  time.Duration
	storeDelay   time.Duration // one way between an edge machine and the store
	serverDelay  time.Duration // one way between an edge machine and a server
	txIdleMS     int
	readTime     time.Duration // of a read at a server; 0: 30 ms
}

// tenant is a client account in the configuration.
type tenant struct {
	name string
	keys []string
}

// world is a small installation: the platform, one service and some edge processes.
type world struct {
	rec      *recorder
	opts     options
	dir      string
	platform *platformtest.Platform
	front    *front
	group    *group
	edges    []*edge
}

// freeAddress returns an address whose port is free and not one that outgoing connections are given.
func freeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", 18000+rand.IntN(12000))
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
}

func newWorld(rec *recorder, binary string, o options) (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{rec: rec, opts: o, dir: dir}
	w.group = newGroup(rec, o)
	if w.platform, err = platformtest.Start(w.group.promote); err != nil {
		return nil, err
	}
	if w.front, err = startFront(rec, w.platform, o.unfenced, w.group.promote); err != nil {
		return nil, err
	}
	w.group.publish = func(s *dbServer) { _ = w.platform.Put("servers", s.id, w.group.entry(s)) }
	w.group.remove = func(s *dbServer) { w.platform.Delete("servers", s.id) }
	for i := range o.edges {
		e, err := w.newEdge(binary, i)
		if err != nil {
			return nil, err
		}
		w.edges = append(w.edges, e)
	}
	for _, s := range w.group.servers {
		s.link, err = startLink(s.listener.Addr().String(), o.serverDelay, w.ownerOf)
		if err != nil {
			return nil, err
		}
		w.group.publish(s)
	}
	return w, nil
}

// putConfig writes a configuration. Routes: orders (primary), stock (bounded staleness).
func (w *world) putConfig(version int, tenants []tenant) error {
	type dict = map[string]any
	route := func(host, kind string, stale int) dict {
		return dict{
			"name": "r-" + host, "host": host, "kind": kind, "service": w.group.name, "priority": 1, "timeout_ms": 800,
			"target_latency_ms": 800, "max_staleness_ms": stale, "public": false,
		}
	}
	var list []dict
	for _, t := range tenants {
		list = append(list, dict{"name": t.name, "api_keys": t.keys, "rate_per_s": 5000, "burst": 10000})
	}
	err := w.platform.Put("config", "main", dict{
		"version": version, "tenants": list, "limits": dict{"tx_idle_ms": w.opts.txIdleMS},
		"routes":   []dict{route("orders", "primary", 0), route("stock", "bounded_staleness", 1500)},
		"services": []dict{{"name": w.group.name, "max_conns": 16, "sync_replicas": w.opts.syncReplicas}},
	})
	w.rec.logf("OPERATOR  config %d confirmed: %v", version, tenants)
	return err
}

// close ends all processes that were started.
func (w *world) close() {
	for _, e := range w.edges {
		e.kill()
	}
	w.platform.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// edge is one machine of the system.
type edge struct {
	name, binary, settings  string
	callers, ready, metrics string
	log                     string
	mu                      sync.Mutex
	cmd                     *exec.Cmd
	done                    chan struct{}
}

const settingsText = `instance: "%[1]s"
place:
  region: "north"
  failureDomain: "north-a"
listen:
  callers: "%[2]s"
  ready: "%[3]s"
  peers: "%[4]s"
store: "%[5]s"
promotion: "%[6]s"
regions: {"north-a": "north"}
unfencedPromotions: %[7]t
firstStart: %[8]t
bounds:
  stopSeconds: 6
  keyWithdrawalMillis: 5000
  evacuationMillis: 0
  trustKeysWhenCutOff: false
quota:
  windowSeconds: 5
  overage: 0.1
  slackStatements: 20
cold:
  overage: 0
  slackStatements: 0
capacity:
  processorShare: 0.4
  linkMbps: 1000
memoryMiB: 284
logLevel: info
`

func (w *world) newEdge(binary string, i int) (*edge, error) {
	e := &edge{
		name: fmt.Sprintf("edge-%c", 'a'+i), binary: binary, callers: freeAddress(), ready: freeAddress(),
	}
	e.settings = filepath.Join(w.dir, e.name+".yaml")
	e.log = filepath.Join(w.dir, e.name+".log")
	store, err := startLink(w.front.address(), w.opts.storeDelay, nil)
	if err != nil {
		return nil, err
	}
	peers := freeAddress()
	write := func(first bool) error {
		text := fmt.Sprintf(settingsText, e.name, e.callers, e.ready, peers, store.address(), w.front.address(), w.opts.unfenced, first)
		return os.WriteFile(e.settings, []byte(text), 0o600)
	}
	if err := write(true); err != nil {
		return nil, err
	}
	return e, nil
}

// start starts the process with the command of the deploy file.
func (e *edge) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	out, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(e.binary, "edge")
	cmd.Env = []string{"CYCLAMENSTILE_SETTINGS=" + e.settings, "HOME=" + filepath.Dir(e.settings)}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	e.cmd, e.done = cmd, done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// restartedSettings marks that the system does not start for the first time any more.
func (e *edge) restartedSettings() error {
	data, err := os.ReadFile(e.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(e.settings, []byte(strings.Replace(string(data), "firstStart: true", "firstStart: false", 1)), 0o600)
}

func (e *edge) pid() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd == nil || e.cmd.Process == nil {
		return 0
	}
	return e.cmd.Process.Pid
}

func (e *edge) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd != nil {
		_ = e.cmd.Process.Signal(s)
	}
}

// kill ends the process by SIGKILL and waits for its end.
func (e *edge) kill() {
	e.mu.Lock()
	cmd, done := e.cmd, e.done
	e.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-done
}

func (e *edge) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get("http://" + e.ready + "/cyclamenstile/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (e *edge) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if e.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", e.name, limit)
}

// startAll starts all edge processes and waits until they are ready.
func (w *world) startAll() error {
	for _, e := range w.edges {
		if err := e.start(); err != nil {
			return err
		}
	}
	for _, e := range w.edges {
		if err := e.awaitReady(20 * time.Second); err != nil {
			return err
		}
		if err := e.restartedSettings(); err != nil {
			return err
		}
	}
	w.rec.logf("SYSTEM    all edge processes are ready")
	return nil
}

// ownerOf returns the index of the edge process that has opened a connection from the given local port, or -1.
func (w *world) ownerOf(port int) int {
	inode := socketInode(port)
	if inode == "" {
		return -1
	}
	want := "socket:[" + inode + "]"
	for i, e := range w.edges {
		pid := e.pid()
		files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
		for _, f := range files {
			if target, err := os.Readlink(f); err == nil && target == want {
				return i
			}
		}
	}
	return -1
}

func socketInode(port int) string {
	data, err := os.ReadFile("/proc/self/net/tcp")
	if err != nil {
		return ""
	}
	for _, line := range strings.Split(string(data), "\n") {
		f := strings.Fields(line)
		if len(f) < 10 {
			continue
		}
		_, hex, ok := strings.Cut(f[1], ":")
		if n, err := strconv.ParseInt(hex, 16, 32); ok && err == nil && int(n) == port {
			return f[9]
		}
	}
	return ""
}

// link is a TCP relay with a delay, which can be cut for the connections of some edge processes.
type link struct {
	listener net.Listener
	target   string
	delay    time.Duration
	ownerOf  func(port int) int

	mu      sync.Mutex
	cut     map[int]bool
	resets  bool          // a cut connection is reset at once
	bytes   map[int]int   // carried, by edge process
	resumed chan struct{} // while no connection is accepted; closed at the end
	filler  []net.Conn
}

func startLink(target string, delay time.Duration, ownerOf func(int) int) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	out := &link{listener: l, target: target, delay: delay, ownerOf: ownerOf, cut: map[int]bool{}, bytes: map[int]int{}}
	go out.serve()
	return out, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) setCut(owner int, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[owner] = cut
}

func (l *link) isCut(owner int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut[owner]
}

// bytesOf returns how much the connections of an edge process have carried.
func (l *link) bytesOf(owner int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes[owner]
}

func (l *link) serve() {
	for {
		c, err := l.listener.Accept()
		l.mu.Lock()
		resumed := l.resumed
		l.mu.Unlock()
		switch {
		case err == nil:
			go l.forward(c)
		case resumed == nil && !os.IsTimeout(err):
			return
		case resumed != nil:
			<-resumed
		}
	}
}

// hang makes new connections hang, as on a path that drops every packet: none is accepted, and the queue of new ones is full.
func (l *link) hang() {
	tcp := l.listener.(*net.TCPListener)
	l.mu.Lock()
	l.resumed = make(chan struct{})
	l.mu.Unlock()
	_ = tcp.SetDeadline(time.Unix(1, 0))
	l.setBacklog(0)
	for range 8 {
		c, err := net.DialTimeout("tcp", l.address(), 50*time.Millisecond)
		if err != nil {
			return
		}
		l.filler = append(l.filler, c)
	}
}

// resume ends hang.
func (l *link) resume() {
	l.setBacklog(128)
	_ = l.listener.(*net.TCPListener).SetDeadline(time.Time{})
	for _, c := range l.filler {
		_ = c.Close()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.filler = nil
	close(l.resumed)
	l.resumed = nil
}

func (l *link) setBacklog(n int) {
	raw, err := l.listener.(*net.TCPListener).SyscallConn()
	if err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) })
	}
}

func (l *link) forward(near net.Conn) {
	defer func() { _ = near.Close() }()
	owner := -1
	if l.ownerOf != nil {
		owner = l.ownerOf(near.RemoteAddr().(*net.TCPAddr).Port)
	}
	if l.isCut(owner) && l.resets {
		_ = near.(*net.TCPConn).SetLinger(0)
		return
	}
	if l.isCut(owner) || l.ownerOf != nil && owner < 0 { // its process has given it up already
		_, _ = io.Copy(io.Discard, near) // a cut link answers nothing
		return
	}
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		l.pump(far, near, owner)
		cancel()
	}()
	go func() {
		l.pump(near, far, owner)
		cancel()
	}()
	<-ctx.Done()
}

type chunk struct {
	data []byte
	due  time.Time
}

// pump copies with the delay of the link. While the link is cut, data is lost and ends are not passed on.
func (l *link) pump(to, from net.Conn, owner int) {
	queue := make(chan chunk, 4096)
	written := make(chan struct{})
	go func() {
		defer close(written)
		for c := range queue {
			time.Sleep(time.Until(c.due))
			if l.isCut(owner) && l.resets {
				_ = from.Close()
				return
			}
			if l.isCut(owner) {
				continue
			}
			if _, err := to.Write(c.data); err != nil {
				return
			}
		}
	}()
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			l.mu.Lock()
			l.bytes[owner] += n
			l.mu.Unlock()
			select {
			case queue <- chunk{append([]byte(nil), buf[:n]...), time.Now().Add(l.delay)}:
			case <-written:
				return
			}
		}
		if err != nil {
			close(queue)
			<-written
			for l.isCut(owner) {
				time.Sleep(10 * time.Millisecond)
			}
			return
		}
	}
}
