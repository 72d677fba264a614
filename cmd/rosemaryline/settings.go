package main

import (
	"flag"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/pkg/errors"

	"rosemaryline.dev/control"
)

const (
	envPrefix = "ROSEMARYLINE"
	// dialTimeout bounds opening a connection, so that an unreachable control VM leaves time to try the next one.
	dialTimeout = 2 * time.Second
	// headerTimeout bounds the wait for the headers of a response. It is longer than the longest wait that a request to
	// the API can ask for.
	headerTimeout = 40 * time.Second
)

const settingsHelp = `
Settings, as flags before or after the subcommand, or in the environment:
	-admin ADDRESS[,ADDRESS...]  ROSEMARYLINE_ADMIN            admin listeners of control VMs, host:port or URL; default 127.0.0.1:7003
	-credential-file FILE        ROSEMARYLINE_CREDENTIAL_FILE  file that holds the operator's credential
	-credential TEXT             ROSEMARYLINE_CREDENTIAL       the credential itself; other users may see flags
	-timeout DURATION            ROSEMARYLINE_TIMEOUT          bounds the whole command, with unit; default 1m0s
	-json                        ROSEMARYLINE_JSON             print JSON
	-version                                                   print the version
`

// settings holds the flags that every command accepts.
type settings struct {
	admin          string
	credential     string
	credentialFile string
	timeout        time.Duration
	json           bool
}

func (s *settings) newFlagSet() *flag.FlagSet {
	flags := flag.NewFlagSet("rosemaryline", flag.ContinueOnError)
	flags.SetOutput(io.Discard) // parse returns the errors, to be printed in one line
	s.admin, s.timeout = "127.0.0.1:7003", time.Minute
	s.add(flags)
	return flags
}

// add adds the flags of the settings to a flag set. Their defaults are the current values, so that a subcommand keeps the
// settings that precede it on the command line.
func (s *settings) add(flags *flag.FlagSet) {
	flags.StringVar(&s.admin, "admin", s.admin, "admin listeners of control VMs, separated by commas")
	flags.StringVar(&s.credential, "credential", s.credential, "the operator's credential")
	flags.StringVar(&s.credentialFile, "credential-file", s.credentialFile, "file that holds the operator's credential")
	flags.Var((*durationFlag)(&s.timeout), "timeout", "bounds the whole command, with unit")
	flags.BoolVar(&s.json, "json", s.json, "print JSON")
	// Otherwise the help text would show the credential as the default.
	flags.Lookup("credential").DefValue = ""
}

// durationFlag is a flag.Value for a positive duration. Its errors name the value and the accepted format.
type durationFlag time.Duration

func (d *durationFlag) String() string { return time.Duration(*d).String() }

// Set parses a positive duration with a unit.
func (d *durationFlag) Set(text string) error {
	parsed, err := time.ParseDuration(text)
	if err != nil || parsed <= 0 {
		return errors.Errorf("%q is not a positive duration with unit, for example 30s", text)
	}
	*d = durationFlag(parsed)
	return nil
}

// parse sets the settings from arguments and environment variables. It returns a usageError for an invalid setting.
func (s *settings) parse(flags *flag.FlagSet, args []string) error {
	err := ff.Parse(flags, args, ff.WithEnvVarPrefix(envPrefix))
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return err
	}
	return usageError(err.Error())
}

func (s *settings) client() (*control.Client, error) {
	credential, err := s.readCredential()
	if err != nil {
		return nil, err
	}
	var addresses []string
	for address := range strings.SplitSeq(s.admin, ",") {
		if address = strings.TrimSpace(address); address != "" {
			addresses = append(addresses, address)
		}
	}
	if len(addresses) == 0 {
		return nil, usageError("-admin is empty; it takes host:port, separated by commas")
	}
	transport := &http.Transport{
		DialContext:           (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSHandshakeTimeout:   dialTimeout,
		ResponseHeaderTimeout: headerTimeout,
	}
	return &control.Client{Addresses: addresses, Credential: credential, HTTP: &http.Client{Transport: transport}}, nil
}

func (s *settings) readCredential() (string, error) {
	if s.credential != "" {
		return s.credential, nil
	}
	if s.credentialFile == "" {
		return "", usageError("no credential is set; use -credential-file or ROSEMARYLINE_CREDENTIAL")
	}
	data, err := os.ReadFile(s.credentialFile)
	if err != nil {
		return "", usageError("-credential-file: " + err.Error())
	}
	return strings.TrimSpace(string(data)), nil
}
