package manifest

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time.Duration that is encoded with its unit, such as "250ms" or "5s".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// MarshalJSON encodes the duration as a string with its unit.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes a duration with its unit and rejects bare numbers.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var s string
	if err := json.Unmarshal(data, &s); err != nil {
		return errors.Newf("duration %s has no unit; write it as a string such as \"250ms\" or \"5s\"", data)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return errors.Newf("duration %q is not valid; write a number and a unit such as \"250ms\" or \"5s\"", s)
	}
	*d = Duration(v)
	return nil
}
