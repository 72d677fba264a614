package main

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"rosemaryline.dev/node"
	"rosemaryline.dev/proxy"
	"rosemaryline.dev/rpc"
)

// envPrefix begins the name of the environment variable of each flag.
const envPrefix = "ROSEMARYLINE"

// settings holds the values of the flags. The fields are named after the flags.
type settings struct {
	dev      boolFlag
	platform boolFlag
	version  boolFlag

	name, domain                   string
	listen, peerListen             string
	peerListenSet                  bool
	peerAddress, localListen       string
	adminListen, join              string
	tlsCert, tlsKey                string
	peerCert, peerKey, peerCA      string
	peerInsecure                   boolFlag
	dataDir                        string
	bootstrap                      boolFlag
	bootstrapCredential            string
	holdBody, keyedBody, maxHeader bytesFlag
	stopTimeout                    durationFlag
	logLevel                       string
}

// settingError is the error for an invalid setting: the flag, its value and the accepted format, in one line.
type settingError struct {
	flag, value, accepted string
}

func (e *settingError) Error() string {
	return fmt.Sprintf("-%s %q: %s", e.flag, e.value, e.accepted)
}

func newFlagSet(s *settings, output io.Writer) *flag.FlagSet {
	fs := flag.NewFlagSet("rosemarylined", flag.ContinueOnError)
	fs.SetOutput(output)
	s.holdBody = proxy.DefaultMaxBufferedBody
	s.keyedBody = proxy.DefaultMaxKeyedBody
	s.maxHeader = node.DefaultMaxHeaderBytes
	s.stopTimeout = durationFlag(node.DefaultStopTimeout)
	fs.Var(&s.dev, "dev", "run a whole fleet with stand-in backend servers in one process on loopback")
	fs.Var(&s.platform, "platform", "take the settings from the users' platform and speak its protocol")
	fs.Var(&s.version, "version", "print the version and exit")
	fs.StringVar(&s.name, "name", "", "VM name, unique in the fleet")
	fs.StringVar(&s.domain, "failure-domain", "", "failure domain of the VM")
	fs.StringVar(&s.listen, "listen", "", "host:port for callers; empty: no callers")
	fs.StringVar(&s.peerListen, "peer-listen", "127.0.0.1:7001", "host:port for other processes of the fleet (default with -platform: that of the settings file)")
	fs.StringVar(&s.peerAddress, "peer-address", "", "host:port by which peers reach -peer-listen (default: the address listened on)")
	fs.StringVar(&s.localListen, "local-listen", "127.0.0.1:7002", "loopback host:port for backend servers of this VM; empty: none")
	fs.StringVar(&s.adminListen, "admin-listen", "127.0.0.1:7003", "host:port for operators, metrics and health; empty: none")
	fs.StringVar(&s.join, "join", "", "peer addresses of processes in the fleet, separated by commas")
	fs.StringVar(&s.tlsCert, "tls-cert", "", "PEM file with the certificate for callers; empty: plain HTTP")
	fs.StringVar(&s.tlsKey, "tls-key", "", "PEM file with the key of -tls-cert")
	fs.StringVar(&s.peerCert, "peer-cert", "", "PEM file with this process's certificate for peers")
	fs.StringVar(&s.peerKey, "peer-key", "", "PEM file with the key of -peer-cert")
	fs.StringVar(&s.peerCA, "peer-ca", "", "PEM file with the authorities that sign peers' certificates")
	fs.Var(&s.peerInsecure, "peer-insecure", "allow plain connections to peers off loopback")
	fs.StringVar(&s.dataDir, "data-dir", "", "data folder; a process with one has the control role")
	fs.Var(&s.bootstrap, "bootstrap", "found a new control group where -data-dir is empty")
	fs.StringVar(&s.bootstrapCredential, "bootstrap-credential-hash", "", "SHA-256 sum in hex of an administrator's credential that counts while the configuration has no operators")
	fs.Var(&s.holdBody, "hold-body", "largest request body held in memory for a retry, in bytes")
	fs.Var(&s.keyedBody, "keyed-body", "largest body of a request with an Idempotency-Key, in bytes")
	fs.Var(&s.maxHeader, "max-header", "largest headers of a request, in bytes")
	fs.Var(&s.stopTimeout, "stop-timeout", "longest graceful stop, for example 30s")
	fs.StringVar(&s.logLevel, "log-level", "info", "debug, info, warn or error")
	fs.Usage = func() {
		fmt.Fprintf(output, "Usage: rosemarylined [flags]\n\nEach flag can be set by an environment variable, for example -peer-listen by %s_PEER_LISTEN.\n\n", envPrefix)
		fs.PrintDefaults()
	}
	return fs
}

// parseSettings reads the settings from arguments and environment variables and checks them. For -help it prints the
// help text to output and returns flag.ErrHelp.
func parseSettings(args []string, output io.Writer) (*settings, error) {
	s := &settings{}
	fs := newFlagSet(s, io.Discard) // the caller prints an error in one line, without the usage text
	err := ff.Parse(fs, args, ff.WithEnvVarPrefix(envPrefix))
	if errors.Is(err, flag.ErrHelp) {
		newFlagSet(&settings{}, output).Usage()
	}
	if err != nil {
		return nil, err
	}
	fs.Visit(func(f *flag.Flag) { s.peerListenSet = s.peerListenSet || f.Name == "peer-listen" })
	if fs.NArg() > 0 {
		return nil, errors.Errorf("unexpected argument %q; all settings are flags", fs.Arg(0))
	}
	if bool(s.dev) || bool(s.version) || bool(s.platform) {
		return s, nil
	}
	return s, s.check()
}

// platformPeerListen returns the value of -peer-listen if it is set; the default does not apply with -platform.
func (s *settings) platformPeerListen() string {
	if !s.peerListenSet {
		return ""
	}
	return s.peerListen
}

// check returns a settingError for the first setting that is missing or invalid.
func (s *settings) check() error {
	for _, required := range []struct{ flag, value string }{
		{"name", s.name}, {"failure-domain", s.domain}, {"peer-listen", s.peerListen},
	} {
		if strings.TrimSpace(required.value) == "" {
			return &settingError{required.flag, required.value, "must not be empty"}
		}
	}
	if err := s.checkAddresses(); err != nil {
		return err
	}
	if err := s.checkFiles(); err != nil {
		return err
	}
	if bool(s.bootstrap) && s.dataDir == "" {
		return &settingError{"data-dir", "", "is needed with -bootstrap"}
	}
	if s.bootstrapCredential != "" && !isSHA256Hex(s.bootstrapCredential) {
		return &settingError{"bootstrap-credential-hash", s.bootstrapCredential, "must be 64 lower-case hex digits"}
	}
	return s.checkNumbers()
}

// isSHA256Hex reports whether text is a SHA-256 sum in lower-case hex digits.
func isSHA256Hex(text string) bool {
	data, err := hex.DecodeString(text)
	return err == nil && len(data) == 32 && strings.ToLower(text) == text
}

func (s *settings) checkAddresses() error {
	for _, a := range []struct{ flag, value string }{
		{"listen", s.listen}, {"peer-listen", s.peerListen}, {"peer-address", s.peerAddress},
		{"local-listen", s.localListen}, {"admin-listen", s.adminListen},
	} {
		if a.value == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return &settingError{a.flag, a.value, "must be host:port, for example 127.0.0.1:8080"}
		}
	}
	if s.localListen != "" && !isLoopback(s.localListen) {
		return &settingError{"local-listen", s.localListen, "must be a loopback address, for example 127.0.0.1:7002"}
	}
	for _, address := range s.joinAddresses() {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return &settingError{"join", address, "must be host:port addresses separated by commas"}
		}
	}
	return nil
}

// joinAddresses returns the addresses of -join without empty ones.
func (s *settings) joinAddresses() []string {
	var list []string
	for _, address := range strings.Split(s.join, ",") {
		if address = strings.TrimSpace(address); address != "" {
			list = append(list, address)
		}
	}
	return list
}

func isLoopback(hostport string) bool {
	host, _, err := net.SplitHostPort(hostport)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

func (s *settings) checkFiles() error {
	if (s.tlsCert == "") != (s.tlsKey == "") {
		return &settingError{"tls-key", s.tlsKey, "-tls-cert and -tls-key are needed together"}
	}
	peerFiles := 0
	for _, name := range []string{s.peerCert, s.peerKey, s.peerCA} {
		if name != "" {
			peerFiles++
		}
	}
	if peerFiles != 0 && peerFiles != 3 {
		return &settingError{"peer-ca", s.peerCA, "-peer-cert, -peer-key and -peer-ca are needed together"}
	}
	if peerFiles == 0 && !isLoopback(s.peerListen) && !bool(s.peerInsecure) {
		return &settingError{"peer-listen", s.peerListen, "needs -peer-cert, -peer-key and -peer-ca, or -peer-insecure, off loopback"}
	}
	return nil
}

func (s *settings) checkNumbers() error {
	for _, n := range []struct {
		flag  string
		value bytesFlag
	}{{"hold-body", s.holdBody}, {"keyed-body", s.keyedBody}, {"max-header", s.maxHeader}} {
		if n.value <= 0 {
			return &settingError{n.flag, n.value.String(), "must be a positive number of bytes"}
		}
	}
	if s.stopTimeout <= 0 {
		return &settingError{"stop-timeout", s.stopTimeout.String(), "must be a positive time with a unit, for example 30s"}
	}
	if _, ok := logLevels[s.logLevel]; !ok {
		return &settingError{"log-level", s.logLevel, "must be debug, info, warn or error"}
	}
	return nil
}

var logLevels = map[string]log.Level{
	"debug": log.DebugLevel,
	"info":  log.InfoLevel,
	"warn":  log.WarnLevel,
	"error": log.ErrorLevel,
}

// newLogger returns a logger that never blocks. Call closeLogger before the process ends, or queued lines are lost.
func newLogger(level string, output io.Writer) *log.Logger {
	return &log.Logger{Level: logLevels[level], Writer: newLogWriter(output)}
}

// closeLogger writes the queued lines.
func closeLogger(l *log.Logger) {
	if w, ok := l.Writer.(*logWriter); ok {
		// An error means that the output is closed, so there is nowhere to report it.
		_ = w.Close()
	}
}

// options returns the options of the node. It reads the certificate files.
func (s *settings) options() (node.Options, error) {
	o := node.Options{
		Name:                s.name,
		Domain:              s.domain,
		CallerListen:        s.listen,
		PeerListen:          s.peerListen,
		PeerAddress:         s.peerAddress,
		LocalListen:         s.localListen,
		AdminListen:         s.adminListen,
		Join:                s.joinAddresses(),
		DataDir:             s.dataDir,
		Bootstrap:           bool(s.bootstrap),
		BootstrapCredential: s.bootstrapCredential,
		MaxBufferedBody:     int64(s.holdBody),
		MaxKeyedBody:        int64(s.keyedBody),
		MaxHeaderBytes:      int(s.maxHeader),
		StopTimeout:         time.Duration(s.stopTimeout),
		Rollouts:            node.DefaultRollouts(),
		Log:                 newLogger(s.logLevel, os.Stdout),
	}
	var err error
	if o.CallerTLS, err = s.callerTLS(); err != nil {
		return o, err
	}
	o.PeerServerTLS, o.PeerClientTLS, err = s.peerTLS()
	return o, err
}

func (s *settings) callerTLS() (*tls.Config, error) {
	if s.tlsCert == "" {
		return nil, nil
	}
	reloader, err := rpc.NewCertificateReloader(s.tlsCert, s.tlsKey)
	if err != nil {
		return nil, &settingError{"tls-cert", s.tlsCert, err.Error()}
	}
	return rpc.ServerConfig(reloader, nil), nil
}

func (s *settings) peerTLS() (server, client *tls.Config, err error) {
	if s.peerCert == "" {
		return nil, nil, nil
	}
	reloader, err := rpc.NewCertificateReloader(s.peerCert, s.peerKey)
	if err != nil {
		return nil, nil, &settingError{"peer-cert", s.peerCert, err.Error()}
	}
	var authorities *x509.CertPool
	if authorities, err = rpc.LoadCAs(s.peerCA); err != nil {
		return nil, nil, &settingError{"peer-ca", s.peerCA, err.Error()}
	}
	return rpc.ServerConfig(reloader, authorities), rpc.ClientConfig(reloader, authorities), nil
}
