package main

import (
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// durationFlag is a flag.Value for a time with its unit.
type durationFlag time.Duration

// String returns the value as it can be set.
func (f *durationFlag) String() string { return time.Duration(*f).String() }

// Set reads a time such as 30s.
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

// String returns the value as it can be set.
func (f *bytesFlag) String() string { return strconv.Itoa(int(*f)) }

// Set reads a whole number.
func (f *bytesFlag) Set(text string) error {
	n, err := strconv.Atoi(text)
	if err != nil {
		return errors.Errorf("%q must be a number of bytes, for example 65536", text)
	}
	*f = bytesFlag(n)
	return nil
}

// switchFlag is a flag.Value for yes or no.
type switchFlag bool

// String returns the value as it can be set.
func (f *switchFlag) String() string { return strconv.FormatBool(bool(*f)) }

// Set reads true or false.
func (f *switchFlag) Set(text string) error {
	b, err := strconv.ParseBool(text)
	if err != nil {
		return errors.Errorf("%q must be true or false", text)
	}
	*f = switchFlag(b)
	return nil
}

// IsBoolFlag lets the flag stand without a value.
func (f *switchFlag) IsBoolFlag() bool { return true }
