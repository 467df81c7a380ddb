// Package node assembles an instance on a platform that provides a store for the configuration and the registered
// servers. An instance follows both, shares quota with the other instances, promotes servers, and serves callers
// through package gateway.
package node

import (
	"cmp"
	"fmt"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenstile/cyclamenstile/decision/coldstart"
	"github.com/cyclamenstile/cyclamenstile/decision/quota"
	"github.com/cyclamenstile/cyclamenstile/objectstore"
)

// Settings are the settings of an instance. deploy/settings.yaml shows all of them.
type Settings struct {
	Instance  string   `json:"instance"` // unique name of the instance
	Locality  Locality `json:"place"`
	Listen    Listen   `json:"listen"`
	Store     string   `json:"store"`     // IP:port
	Promotion string   `json:"promotion"` // IP:port
	// Regions maps each failure domain to its region.
	Regions map[string]string `json:"regions"`
	// UnfencedPromotions: the platform executes promotions whatever their fence, and a former primary goes on until it is
	// told to step down.
	UnfencedPromotions bool `json:"unfencedPromotions"`
	// FirstStart: the whole system starts for the first time, so that an empty store has lost nothing.
	FirstStart bool `json:"firstStart"`

	Bounds    Bounds               `json:"bounds"`
	Quota     QuotaTolerance       `json:"quota"`
	Cold      ColdTolerance        `json:"cold"`
	Capacity  objectstore.Capacity `json:"capacity"`
	MemoryMiB int64                `json:"memoryMiB"` // the process is killed above this size
	LogLevel  string               `json:"logLevel"`
}

// maxSetting bounds times and counts in the settings. A time in seconds above nine times this value overflows a
// time.Duration.
const maxSetting = 1e9

// defaultLogLevel is used if the settings don't set a log level.
const defaultLogLevel = "info"

// Level returns the log level. The settings must be valid.
func (s Settings) Level() logrus.Level {
	level, err := logrus.ParseLevel(cmp.Or(s.LogLevel, defaultLogLevel))
	if err != nil {
		return logrus.InfoLevel
	}
	return level
}

// Locality is the region and failure domain of an instance.
type Locality struct {
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
}

// Listen holds the listen addresses of the instance, as IP:port.
type Listen struct {
	Callers string `json:"callers"`
	Ready   string `json:"ready"`
	Peers   string `json:"peers"`
	Metrics string `json:"metrics"` // empty to disable
}

// Bounds are deadlines that the instance has to meet.
type Bounds struct {
	// StopSeconds is the time from SIGTERM until the process is killed.
	StopSeconds float64 `json:"stopSeconds"`
	// KeyWithdrawalMillis is the time within which a withdrawn key must stop working.
	KeyWithdrawalMillis float64 `json:"keyWithdrawalMillis"`
	// EvacuationMillis is the time within which servers in an evacuated failure domain must not get statements any more; 0 if
	// the platform has no evacuations.
	EvacuationMillis float64 `json:"evacuationMillis"`
	// TrustKeysWhenCutOff keeps keys valid while the store can't be reached.
	TrustKeysWhenCutOff bool `json:"trustKeysWhenCutOff"`
}

// QuotaTolerance is how far client accounts may exceed their limits while instances fail: within any window, by the
// fraction Overage of what the limits allow, plus SlackStatements.
type QuotaTolerance struct {
	WindowSeconds   float64 `json:"windowSeconds"`
	Overage         float64 `json:"overage"`
	SlackStatements float64 `json:"slackStatements"`
}

// ColdTolerance is how far the statements that a warming-up server gets may exceed its rate: in any second, the factor
// Overage times what the rate allows, plus SlackStatements.
type ColdTolerance struct {
	Overage         float64 `json:"overage"`
	SlackStatements float64 `json:"slackStatements"`
}

func (c ColdTolerance) tolerance() coldstart.Tolerance {
	return coldstart.Tolerance{Overage: c.Overage, Slack: c.SlackStatements}
}

func (q QuotaTolerance) tolerance() quota.Tolerance {
	return quota.Tolerance{
		Window:  time.Duration(q.WindowSeconds * float64(time.Second)),
		Overage: q.Overage,
		Slack:   q.SlackStatements,
	}
}

// Evacuation returns EvacuationMillis as a duration; 0 if the platform has no evacuations.
func (b Bounds) Evacuation() time.Duration {
	return time.Duration(b.EvacuationMillis * float64(time.Millisecond))
}

// StopGracePeriod returns StopSeconds as a duration.
func (b Bounds) StopGracePeriod() time.Duration {
	return time.Duration(b.StopSeconds * float64(time.Second))
}

// KeyWithdrawal returns KeyWithdrawalMillis as a duration.
func (b Bounds) KeyWithdrawal() time.Duration {
	return time.Duration(b.KeyWithdrawalMillis * float64(time.Millisecond))
}

// Check validates the settings and returns all faults in one error.
func (s Settings) Check() error {
	return joinFaults(s.faults())
}

func (s Settings) faults() []fieldFault {
	var faults []fieldFault
	add := func(field, format string, args ...any) {
		faults = append(faults, fieldFault{field: field, message: fmt.Sprintf(format, args...)})
	}
	for _, f := range []struct{ name, value string }{
		{"instance", s.Instance},
		{"place.region", s.Locality.Region},
		{"place.failureDomain", s.Locality.FailureDomain},
	} {
		if f.value == "" {
			add(f.name, "is not set; give a name")
		}
	}
	for _, f := range []struct{ name, value string }{
		{"listen.callers", s.Listen.Callers},
		{"listen.ready", s.Listen.Ready},
		{"listen.peers", s.Listen.Peers},
		{"store", s.Store},
		{"promotion", s.Promotion},
	} {
		if _, err := netip.ParseAddrPort(f.value); err != nil {
			add(f.name, "%q is not an IP address with a port; write it like 127.0.0.1:6432", f.value)
		}
	}
	if _, err := netip.ParseAddrPort(s.Listen.Metrics); s.Listen.Metrics != "" && err != nil {
		add("listen.metrics", "%q is not an IP address with a port; write it like 127.0.0.1:9600, or leave it out", s.Listen.Metrics)
	}
	for _, f := range []struct {
		name  string
		value float64
	}{
		{"bounds.stopSeconds", s.Bounds.StopSeconds},
		{"bounds.keyWithdrawalMillis", s.Bounds.KeyWithdrawalMillis},
	} {
		if !(f.value > 0 && f.value <= maxSetting) {
			add(f.name, "%v is not above zero and at most %v; give a time", f.value, maxSetting)
		}
	}
	if _, err := logrus.ParseLevel(cmp.Or(s.LogLevel, defaultLogLevel)); err != nil {
		add("logLevel", "%q is not a level; use debug, info, warning or error", s.LogLevel)
	}
	for _, f := range []struct {
		name  string
		value float64
	}{
		{"quota.windowSeconds", s.Quota.WindowSeconds},
		{"quota.overage", s.Quota.Overage},
		{"quota.slackStatements", s.Quota.SlackStatements},
		{"cold.overage", s.Cold.Overage},
		{"cold.slackStatements", s.Cold.SlackStatements},
		{"bounds.evacuationMillis", s.Bounds.EvacuationMillis},
		{"capacity.processorShare", s.Capacity.ProcessorShare},
		{"capacity.linkMbps", s.Capacity.LinkMbps},
	} {
		if !(f.value >= 0 && f.value <= maxSetting) {
			add(f.name, "%v is not between zero and %v; write 0 for none", f.value, maxSetting)
		}
	}
	if s.MemoryMiB < 0 {
		add("memoryMiB", "is below zero; leave it out for no limit")
	}
	return faults
}
