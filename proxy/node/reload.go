package node

import (
	"context"
	"os"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// settingsPollInterval is how often the settings file is looked at: it may change without a signal.
const settingsPollInterval = 2 * time.Second

// ReloadOnChange reads the settings file again at each signal and when the file has changed, until ctx ends. Bounds and the
// log level come into force at once. Settings that are not valid are reported, and those in force stay.
func (n *Node) ReloadOnChange(ctx context.Context, path string, signals <-chan os.Signal, setLevel func(logrus.Level)) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	last := modTime(path)
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			signalled = true
		case <-ticker.C:
		}
		now := modTime(path)
		if !signalled && now.Equal(last) {
			continue
		}
		last = now
		n.reload(path, setLevel)
	}
}

// modTime returns when the file was changed, zero if that can't be told.
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
		event(n.log, EventReloadFailed).WithError(err).Error("settings are not valid; those in force stay")
		return
	}
	n.liveSettings.Store(&s)
	setLevel(s.Level())
	log := event(n.log, EventReloaded)
	if later := n.settings.changesNeedingRestart(s); len(later) > 0 {
		log = log.WithField("after_restart", later)
	}
	log.Info("settings were read again")
}

// changesNeedingRestart names the settings that differ and come into force only at the next start.
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
		{"memoryMiB", s.MemoryMiB != next.MemoryMiB},
	} {
		if f.changed {
			out = append(out, f.name)
		}
	}
	slices.Sort(out)
	return out
}
