package config

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

// Duration is a time.Duration that is encoded in JSON as a string such as "430ms".
type Duration time.Duration

// MarshalJSON encodes duration in the format of time.Duration.String.
func (duration Duration) MarshalJSON() (data []byte, err error) {
	return json.Marshal(time.Duration(duration).String())
}

// UnmarshalJSON decodes a string in the format of time.ParseDuration.
func (duration *Duration) UnmarshalJSON(data []byte) (err error) {
	var text string
	if err = json.Unmarshal(data, &text); err != nil {
		return errors.Errorf("a duration is text such as \"430ms\", not %s", data)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.Errorf("a duration is text such as \"430ms\", not %q", text)
	}
	*duration = Duration(parsed)
	return nil
}
