package config

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

// Duration is a time.Duration that is written as text ("430ms") in JSON.
type Duration time.Duration

// MarshalJSON writes duration in the notation of time.Duration.String.
func (duration Duration) MarshalJSON() (data []byte, err error) {
	return json.Marshal(time.Duration(duration).String())
}

// UnmarshalJSON reads the notation of time.ParseDuration.
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
