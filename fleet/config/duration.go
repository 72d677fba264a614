package config

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Duration is a time.Duration whose JSON form is a string with a unit, for example "250ms".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalJSON writes the duration as a string with a unit.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads a string such as "250ms" or "10s". A number without a unit is an error.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.New(`a duration is a string with a unit, for example "250ms"`)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.Errorf(`%q is not a duration such as "250ms" or "10s"`, text)
	}
	*d = Duration(parsed)
	return nil
}
