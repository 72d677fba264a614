package main

import (
	"bytes"
	"flag"
	"io"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// TestWrongSettingsAreNamed guards against a start with an invalid setting, and against an error that does not name the
// flag, the value and the accepted format in one line.
func TestWrongSettingsAreNamed(t *testing.T) {
	good := []string{"-name", "vm-1", "-failure-domain", "dom"}
	for _, test := range []struct {
		desc string
		args []string
		env  [2]string
		want []string
	}{
		{desc: "missing name", args: []string{"-failure-domain", "dom"}, want: []string{"-name", "must not be empty"}},
		{desc: "address without port", args: append(good, "-listen", "nonsense"), want: []string{"-listen", "nonsense", "host:port"}},
		{desc: "local listener off loopback", args: append(good, "-local-listen", "10.0.0.1:1"), want: []string{"-local-listen", "10.0.0.1:1", "loopback"}},
		{desc: "plain peers off loopback", args: append(good, "-peer-listen", "10.0.0.1:1"), want: []string{"-peer-listen", "-peer-insecure"}},
		{desc: "key without certificate", args: append(good, "-tls-key", "k.pem"), want: []string{"-tls-key", "k.pem", "-tls-cert"}},
		{desc: "time without unit", args: append(good, "-stop-timeout", "5"), want: []string{"-stop-timeout", `"5"`, "with a unit"}},
		{desc: "time without unit in the environment", args: good, env: [2]string{"ROSEMARYLINE_STOP_TIMEOUT", "5"}, want: []string{"stop-timeout", `"5"`, "with a unit"}},
		{desc: "size that is not a number", args: append(good, "-hold-body", "64k"), want: []string{"-hold-body", "64k", "number of bytes"}},
		{desc: "invalid boolean", args: append(good, "-bootstrap=maybe"), want: []string{"-bootstrap", "maybe", "true or false"}},
		{desc: "bootstrap without data folder", args: append(good, "-bootstrap"), want: []string{"-data-dir", "-bootstrap"}},
		{desc: "unknown flag", args: append(good, "-nane", "x"), want: []string{"-nane"}},
		{desc: "unexpected argument", args: append(good, "start"), want: []string{"start"}},
	} {
		t.Run(test.desc, func(t *testing.T) {
			if test.env[0] != "" {
				t.Setenv(test.env[0], test.env[1])
			}
			var output bytes.Buffer
			_, err := parseSettings(test.args, &output)
			assert.Assert(t, err != nil)
			assert.Equal(t, output.Len(), 0)
			assert.Assert(t, !strings.Contains(err.Error(), "\n"), "%v", err)
			for _, part := range test.want {
				assert.ErrorContains(t, err, part)
			}
		})
	}
}

// TestHelpShowsDefaults guards against a help text without the defaults and the environment variables.
func TestHelpShowsDefaults(t *testing.T) {
	var output bytes.Buffer
	_, err := parseSettings([]string{"-help"}, &output)
	assert.Assert(t, errors.Is(err, flag.ErrHelp))
	for _, part := range []string{"default 30s", "default 65536", "127.0.0.1:7001", "ROSEMARYLINE_PEER_LISTEN"} {
		assert.Assert(t, strings.Contains(output.String(), part), "no %q in:\n%s", part, output.String())
	}
}

// TestPeerListenOnThePlatform guards against a default of -peer-listen that hides the address of the platform's settings file, and
// against a value that is ignored.
func TestPeerListenOnThePlatform(t *testing.T) {
	s, err := parseSettings([]string{"-platform"}, io.Discard)
	assert.NilError(t, err)
	assert.Equal(t, s.platformPeerListen(), "")
	s, err = parseSettings([]string{"-platform", "-peer-listen", "10.0.0.1:7"}, io.Discard)
	assert.NilError(t, err)
	assert.Equal(t, s.platformPeerListen(), "10.0.0.1:7")
	t.Setenv("ROSEMARYLINE_PEER_LISTEN", "10.0.0.1:8")
	s, err = parseSettings([]string{"-platform"}, io.Discard)
	assert.NilError(t, err)
	assert.Equal(t, s.platformPeerListen(), "10.0.0.1:8")
}
