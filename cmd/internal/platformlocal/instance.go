package platformlocal

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/freeport"
	"github.com/cyclamenstile/cyclamenstile/cmd/internal/relay"
	"github.com/cyclamenstile/cyclamenstile/platform"
)

const (
	stopGrace         = 6 * time.Second
	ReadyPollInterval = 50 * time.Millisecond
	startTimeout      = 20 * time.Second
)

const settingsTemplate = `instance: %[1]s
place: {region: %[2]s, failureDomain: %[2]s}
listen: {callers: "%[3]s", ready: "%[4]s", peers: "%[5]s"}
store: "%[6]s"
promotion: "%[6]s"
regions: {north: north, south: south, west: west}
bounds: {stopSeconds: %[7]d, KeyWithdrawalMillis: %[8]d, evacuationMillis: %[14]d}
quota: {windowSeconds: %[9]d, overage: %[10]g, slackStatements: %[11]d}
cold: {overage: %[15]g, slackStatements: %[16]d}
unfencedPromotions: %[12]t
firstStart: %[13]t
logLevel: info
`

// Guaranteed bounds, as configured in the settings of the instances.
const (
	KeyWithdrawalLimit = 5 * time.Second
	QuotaWindow        = 5 * time.Second
	QuotaOverage       = 0.1
	QuotaSlack         = 20
	ColdOverage        = 1.5
	ColdSlack          = 5
)

// Instance is one instance of the proxy.
type Instance struct {
	Name          string
	CallerAddress string
	StoreRelay    *relay.Relay // between the instance and the store

	binary   string // empty: run in this process
	settings string // path
	// settingsText returns the settings, which tell whether the whole deployment starts for the first time.
	settingsText func(firstStart bool) string
	log          string // path
	ready        string // address
	peers        string // address

	mu  sync.Mutex
	run instanceRun // the latest
}

// newInstance writes the settings of an instance but does not start it.
func newInstance(e *Environment, binary, dir, name, zone string) (*Instance, error) {
	var addresses [3]string
	for i := range addresses {
		a, err := freeport.Address()
		if err != nil {
			return nil, err
		}
		addresses[i] = a
	}
	r, err := relay.Start(e.Platform.Address(), 0, 0)
	if err != nil {
		return nil, err
	}
	i := &Instance{
		Name: name, binary: binary, CallerAddress: addresses[0], ready: addresses[1], peers: addresses[2], StoreRelay: r,
		settings: filepath.Join(dir, name+".yaml"), log: filepath.Join(dir, name+".log"),
	}
	i.settingsText = func(firstStart bool) string {
		return fmt.Sprintf(settingsTemplate, name, zone, addresses[0], addresses[1], addresses[2], r.Address(),
			int(stopGrace.Seconds()), KeyWithdrawalLimit.Milliseconds(), int(QuotaWindow.Seconds()), QuotaOverage, QuotaSlack,
			e.databases.Unfenced, firstStart, e.evacuationLimit.Milliseconds(), ColdOverage, ColdSlack)
	}
	return i, i.writeSettings(true)
}

func (i *Instance) writeSettings(firstStart bool) error {
	return errors.Wrap(os.WriteFile(i.settings, []byte(i.settingsText(firstStart)), 0o600), "write settings")
}

// Start starts the instance, or starts it again after it has ended.
func (i *Instance) Start() error {
	run, err := i.startRun()
	if err != nil {
		return err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.run = run
	return nil
}

func (i *Instance) startRun() (instanceRun, error) {
	if i.binary == "" {
		return startInProcess(i.settings)
	}
	return startProcess(i.binary, i.settings, i.log)
}

func (i *Instance) lastRun() instanceRun {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.run
}

// Signal sends a signal to the instance if it was started.
func (i *Instance) Signal(s syscall.Signal) {
	if run := i.lastRun(); run != nil {
		run.signal(s)
	}
}

// Stop sends a signal to the instance and kills it if it has not ended after stopGrace.
func (i *Instance) Stop(s syscall.Signal) {
	if run := i.lastRun(); run != nil {
		stopWithin(run, s, stopGrace)
	}
}

// Ready reports whether the instance is ready for callers.
func (i *Instance) Ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + i.ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady returns an error with the end of the instance's log if it ends, or is not ready after startTimeout.
func (i *Instance) awaitReady() error {
	deadline := time.After(startTimeout)
	for !i.Ready() {
		select {
		case <-i.lastRun().ended():
			return errors.Newf("instance %s ended during its start; its log ends with:\n%s", i.Name, i.logTail())
		case <-deadline:
			return errors.Newf("instance %s is not ready after %s; its log ends with:\n%s", i.Name, startTimeout, i.logTail())
		case <-time.After(ReadyPollInterval):
		}
	}
	return nil
}

// logTail returns the end of the log. Instances that run inside this process have none.
func (i *Instance) logTail() string {
	const most = 8 << 10 // bytes
	text, err := os.ReadFile(i.log)
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-most):])
}
