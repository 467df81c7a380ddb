package node

import (
	"testing"

	"sigs.k8s.io/yaml"
)

// FuzzSettings guards against a settings file that crashes the check, and against times that pass it and are not above
// zero as durations.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("bounds: {stopSeconds: 1e300, keyWithdrawalMillis: 1e300}\nquota: {windowSeconds: 1e300}"))
	f.Add([]byte("regions: [1]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var s Settings
		if err := yaml.Unmarshal(data, &s); err != nil {
			return
		}
		_ = s.Check() // must not crash; most input is invalid
		s = withValidNames(s)
		if s.Check() != nil {
			return
		}
		if s.Bounds.StopGracePeriod() <= 0 || s.Bounds.KeyWithdrawal() <= 0 || s.Quota.tolerance().Window < 0 {
			t.Errorf("accepted times are %s, %s, %s", s.Bounds.StopGracePeriod(), s.Bounds.KeyWithdrawal(), s.Quota.tolerance().Window)
		}
	})
}

// withValidNames returns the settings with names and addresses that pass, so that the numbers are looked at.
func withValidNames(s Settings) Settings {
	var good Settings
	if err := yaml.Unmarshal([]byte(validSettings), &good); err != nil {
		panic(err)
	}
	s.Instance, s.Locality, s.Listen, s.Store, s.Promotion, s.LogLevel = good.Instance, good.Locality, good.Listen, good.Store, good.Promotion, good.LogLevel
	if s.Bounds == (Bounds{}) {
		s.Bounds = good.Bounds
	}
	return s
}
