package processtest

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/freeport"
	"github.com/cyclamenstile/cyclamenstile/proxy/group"
)

// process is a child process of the test.
type process struct {
	name        string
	cmd         *exec.Cmd
	firstOutput chan string // first line of standard output
	exited      chan struct{}
	err         error // from Wait; valid once exited is closed
}

// startProcess starts a binary and kills it when the test ends. Standard error goes to a file whose
// last lines are logged if the test fails.
func startProcess(t *testing.T, dir, name, binary string, args ...string) *process {
	t.Helper()
	logFile, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = logFile.Close() }()
	p := &process{name: name, cmd: exec.Command(binary, args...), firstOutput: make(chan string, 1), exited: make(chan struct{})}
	p.cmd.Stderr = logFile
	// End the children with the test process, even if it is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go p.awaitOutput(bufio.NewScanner(out))
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			logTail(t, name, logFile.Name())
		}
	})
	return p
}

func (p *process) awaitOutput(out *bufio.Scanner) {
	if out.Scan() {
		p.firstOutput <- out.Text()
	}
	for out.Scan() {
		continue
	}
	p.err = p.cmd.Wait()
	close(p.exited)
}

// logTail logs the last lines of a log file, and the promotions before them.
func logTail(t *testing.T, name, file string) {
	const lines = 30
	content, _ := os.ReadFile(file)
	all := strings.Split(strings.TrimSpace(string(content)), "\n")
	last := all[max(0, len(all)-lines):]
	promotions := slices.DeleteFunc(all[:len(all)-len(last)], func(line string) bool {
		return !strings.Contains(line, group.EventFenceOrdered) && !strings.Contains(line, group.EventPromoteOrdered)
	})
	t.Logf("%s:\n%s", name, strings.Join(slices.Concat(promotions, last), "\n"))
}

// firstLine returns the address that a process prints once it listens.
func (p *process) firstLine(t *testing.T) string {
	t.Helper()
	select {
	case line := <-p.firstOutput:
		return line
	case <-p.exited:
		t.Fatalf("%s ended before it printed an address: %v", p.name, p.err)
	case <-time.After(eventTimeout):
		t.Fatalf("%s printed no address within %s", p.name, eventTimeout)
	}
	return ""
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatalf("send signal %s to %s: %v", s, p.name, err)
	}
}

// kill kills the process and waits until it has ended.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// awaitExit waits until the process exits and returns its exit code.
func (p *process) awaitExit(t *testing.T) int {
	t.Helper()
	select {
	case <-p.exited:
	case <-time.After(eventTimeout):
		t.Fatalf("%s did not end within %s", p.name, eventTimeout)
	}
	return p.cmd.ProcessState.ExitCode()
}

// freeAddress returns a free loopback address for a process.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := freeport.Address()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// runCtl runs cyclamenctl and waits for it to exit.
func runCtl(t *testing.T, args ...string) (stdout string, err error) {
	t.Helper()
	cmd := exec.CommandContext(t.Context(), ctlBinary, args...)
	var stdoutText, stderrText bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdoutText, &stderrText
	if err := cmd.Run(); err != nil {
		return stdoutText.String(), fmt.Errorf("cyclamenctl %s: %w: %s", strings.Join(args, " "), err, stderrText.String())
	}
	return stdoutText.String(), nil
}

func ctl(t *testing.T, args ...string) string {
	t.Helper()
	out, err := runCtl(t, args...)
	if err != nil {
		t.Fatal(err)
	}
	return out
}
