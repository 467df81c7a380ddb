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

// instanceRun is one execution of an instance, from start to end.
type instanceRun interface {
	// signal sends a signal. It has no effect after the end of the run.
	signal(syscall.Signal)
	// kill ends the run immediately.
	kill()
	// ended is closed when the run has ended.
	ended() <-chan struct{}
}

// process runs an instance in a separate process.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// startProcess runs the daemon with a settings file and appends its log to a file.
func startProcess(binary, settings, logPath string) (*process, error) {
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open the log of an instance")
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	cmd := exec.Command(binary, "edge", "--settings", settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrap(err, "start an instance; check --binary")
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait() // processes are expected to be killed
		close(p.done)
	}()
	return p, nil
}

func (p *process) signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s) // fails if the process has ended
}

func (p *process) kill() {
	_ = p.cmd.Process.Kill()
}

func (p *process) ended() <-chan struct{} {
	return p.done
}

// inProcess runs an instance inside this process. SIGTERM and SIGKILL both stop it gracefully; it can't be paused.
type inProcess struct {
	stop context.CancelFunc
	done chan struct{}
}

// startInProcess runs an instance with a settings file, without a log.
func startInProcess(settings string) (*inProcess, error) {
	config, err := node.ReadSettings(settings)
	if err != nil {
		return nil, err
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	n, err := node.New(config, log)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &inProcess{stop: stop, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		_ = n.Run(ctx) // returns nil when ctx is canceled
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

// stopWithin resumes a run in case it is paused, sends it a signal, and kills it if it has not ended after grace.
func stopWithin(run instanceRun, s syscall.Signal, grace time.Duration) {
	run.signal(syscall.SIGCONT)
	run.signal(s)
	select {
	case <-run.ended():
		return
	case <-time.After(grace):
	}
	run.kill()
	<-run.ended()
}
