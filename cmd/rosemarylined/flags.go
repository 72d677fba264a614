package main

import (
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// durationFlag is a flag.Value for a duration with a unit.
type durationFlag time.Duration

// String returns the value in the format that Set accepts.
func (f *durationFlag) String() string { return time.Duration(*f).String() }

// Set parses a duration such as 30s.
func (f *durationFlag) Set(text string) error {
	d, err := time.ParseDuration(text)
	if err != nil {
		return errors.Errorf("%q must be a time with a unit, for example 30s", text)
	}
	*f = durationFlag(d)
	return nil
}

// bytesFlag is a flag.Value for a number of bytes.
type bytesFlag int

// String returns the value in the format that Set accepts.
func (f *bytesFlag) String() string { return strconv.Itoa(int(*f)) }

// Set parses a decimal number.
func (f *bytesFlag) Set(text string) error {
	n, err := strconv.Atoi(text)
	if err != nil {
		return errors.Errorf("%q must be a number of bytes, for example 65536", text)
	}
	*f = bytesFlag(n)
	return nil
}

// boolFlag is a flag.Value for a boolean. Its errors name the value and the accepted format.
type boolFlag bool

// String returns the value in the format that Set accepts.
func (f *boolFlag) String() string { return strconv.FormatBool(bool(*f)) }

// Set parses a boolean in the formats of strconv.ParseBool.
func (f *boolFlag) Set(text string) error {
	b, err := strconv.ParseBool(text)
	if err != nil {
		return errors.Errorf("%q must be true or false", text)
	}
	*f = boolFlag(b)
	return nil
}

// IsBoolFlag reports true, so that package flag accepts the flag without a value.
func (f *boolFlag) IsBoolFlag() bool { return true }
