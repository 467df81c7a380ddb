package platformlocal

import (
	"context"
	"io"

	"os"
	"os/exec"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/cyclamenstile/cyclamenstile/proxy/node"
)

// instanceRun is one run of an instance.
type instanceRun interface {
	// signal sends a signal. A run that has ended ignores it.
	signal(syscall.Signal)
	// kill ends the run at once.
	kill()
	// ended is closed when the run has ended.
	ended() <-chan struct{}
}

// process is a run as a process of its own.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// startProcess runs the daemon with a settings file and appends its log to a file.
func startProcess(binary, settings, logPath string) (*process, error) {
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open a log")
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	cmd := exec.Command(binary, "edge", "--settings", settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrap(err, "start an instance; check --binary")
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait() // killed processes are expected
		close(p.done)
	}()
	return p, nil
}

func (p *process) signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s) // the process may have ended
}

func (p *process) kill() {
	_ = p.cmd.Process.Kill()
}

func (p *process) ended() <-chan struct{} {
	return p.done
}

// inProcess is a run inside this process, which knows SIGTERM only: it can't be killed or paused alone.
type inProcess struct {
	stop context.CancelFunc
	done chan struct{}
}

// startInProcess runs an instance with a settings file, without a log.
func startInProcess(settings string) (*inProcess, error) {
	read, err := node.ReadSettings(settings)
	if err != nil {
		return nil, err
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	n, err := node.New(read, log)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &inProcess{stop: stop, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		_ = n.Run(ctx) // it returns nil when ctx ends
	}()
	return p, nil
}

func (p *inProcess) signal(s syscall.Signal) {
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.stop()
	}
}

func (p *inProcess) kill() {
	p.stop()
}

func (p *inProcess) ended() <-chan struct{} {
	return p.done
}

// stopWithin ends a run with a signal, and kills it after a time.
func stopWithin(e instanceRun, s syscall.Signal, grace time.Duration) {
	e.signal(syscall.SIGCONT)
	e.signal(s)
	select {
	case <-e.ended():
		return
	case <-time.After(grace):
	}
	e.kill()
	<-e.ended()
}
