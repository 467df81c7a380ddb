package platformlocal

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Config describes a deployment.
type Config struct {
	Binary    string // path of the daemon; empty: instances run in this process, without logs
	Dir       string // for settings and logs of the instances; empty: a temporary directory that Close removes
	Instances int
	Databases Databases
	Accounts  []Account
	// EvacuationLimit is the bound for evacuations; 0: the deployment has none.
	EvacuationLimit time.Duration
}

// Deployment is a running deployment.
type Deployment struct {
	*Environment
	Instances []*Instance

	temporaryDir string // removed by Close; empty: none
}

// Start starts a deployment and waits until every instance is ready.
func Start(cfg Config) (*Deployment, error) {
	e, err := NewEnvironment(cfg.Databases, cfg.Accounts)
	if err != nil {
		return nil, err
	}
	e.evacuationLimit = cfg.EvacuationLimit
	d := &Deployment{Environment: e}
	if cfg.Dir == "" {
		cfg.Dir, err = os.MkdirTemp("", "cyclamenstile-")
		d.temporaryDir = cfg.Dir
	}
	if err == nil {
		err = d.startInstances(cfg)
	}
	if err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) startInstances(cfg Config) error {
	for n := range cfg.Instances {
		i, err := newInstance(d.Environment, cfg.Binary, cfg.Dir, fmt.Sprintf("edge-%d", n), Zones[n%len(Zones)])
		if err != nil {
			return err
		}
		d.Instances = append(d.Instances, i)
		if err := i.Start(); err != nil {
			return err
		}
	}
	for _, i := range d.Instances {
		if err := i.awaitReady(); err != nil {
			return err
		}
		if err := i.writeSettings(false); err != nil {
			return err
		}
	}
	return nil
}

// CallerAddresses returns the addresses at which the instances serve callers.
func (d *Deployment) CallerAddresses() []string {
	var out []string
	for _, i := range d.Instances {
		out = append(out, i.CallerAddress)
	}
	return out
}

// Close kills the instances and stops their environment.
func (d *Deployment) Close() {
	var stops sync.WaitGroup
	for _, i := range d.Instances {
		stops.Go(func() {
			i.Stop(syscall.SIGKILL)
			i.StoreRelay.Disable()
		})
	}
	stops.Wait()
	d.Environment.Close()
	if d.temporaryDir != "" {
		_ = os.RemoveAll(d.temporaryDir) // a leftover directory is harmless
	}
}

// DaemonBinary returns the path of the daemon in the directory of this program.
func DaemonBinary() string {
	const name = "cyclamenstile"
	self, err := os.Executable()
	if err != nil {
		return name
	}
	return filepath.Join(filepath.Dir(self), name)
}
