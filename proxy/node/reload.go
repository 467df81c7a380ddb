package node

import (
	"context"
	"os"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// settingsPollInterval is how often the settings file is checked, since it may change without a signal.
const settingsPollInterval = 2 * time.Second

// ReloadOnChange reloads the settings file at each signal and when the file has changed, until ctx ends. Bounds and the
// log level take effect at once. Invalid settings are logged, and those in force stay.
func (n *Node) ReloadOnChange(ctx context.Context, path string, signals <-chan os.Signal, setLevel func(logrus.Level)) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModified := modTime(path)
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			signalled = true
		case <-ticker.C:
		}
		modified := modTime(path)
		if !signalled && modified.Equal(lastModified) {
			continue
		}
		lastModified = modified
		n.reload(path, setLevel)
	}
}

// modTime returns the modification time of the file, or the zero time if it can't be read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func (n *Node) reload(path string, setLevel func(logrus.Level)) {
	s, err := ReadSettings(path)
	if err != nil {
		event(n.log, EventReloadFailed).WithError(err).Error("invalid settings; keeping those in force")
		return
	}
	n.liveSettings.Store(&s)
	setLevel(s.Level())
	log := event(n.log, EventReloaded)
	if pending := n.settings.changesNeedingRestart(s); len(pending) > 0 {
		log = log.WithField("after_restart", pending)
	}
	log.Info("settings reloaded")
}

// changesNeedingRestart returns the names of the changed settings that take effect only after a restart.
func (s Settings) changesNeedingRestart(next Settings) []string {
	var out []string
	for _, f := range []struct {
		name    string
		changed bool
	}{
		{"instance", s.Instance != next.Instance},
		{"place", s.Locality != next.Locality},
		{"listen", s.Listen != next.Listen},
		{"store", s.Store != next.Store},
		{"promotion", s.Promotion != next.Promotion},
		{"quota", s.Quota != next.Quota},
		{"cold", s.Cold != next.Cold},
		{"capacity", s.Capacity != next.Capacity},
		{"bounds.evacuationMillis", s.Bounds.EvacuationMillis != next.Bounds.EvacuationMillis},
		{"memoryMiB", s.MemoryMiB != next.MemoryMiB},
	} {
		if f.changed {
			out = append(out, f.name)
		}
	}
	slices.Sort(out)
	return out
}
