package node

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/phuslu/log"
)

// Options are the settings of one process.
type Options struct {
	// Name is the VM name; it is unique in the fleet.
	Name string
	// Domain is the VM's failure domain.
	Domain string

	// CallerListen, PeerListen, LocalListen and AdminListen are addresses to listen on. CallerListen and LocalListen
	// may be empty on a VM without the proxy role.
	CallerListen string
	PeerListen   string
	LocalListen  string
	AdminListen  string
	// PeerAddress is the host and port by which peers reach PeerListen. Default: the address listened on.
	PeerAddress string
	// Join are peer addresses of processes that are already in the fleet.
	Join []string

	// CallerTLS is nil for plain HTTP.
	CallerTLS *tls.Config
	// PeerServerTLS and PeerClientTLS are nil for plain connections between processes.
	PeerServerTLS *tls.Config
	PeerClientTLS *tls.Config

	// Dial opens connections to peers, for measurements with delays. Default: a net.Dialer. Calls between processes use
	// it without PeerClientTLS only.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	// DataDir is the data folder. A process with one has the control role.
	DataDir string
	// Bootstrap creates a new control group with this process as its only member, where DataDir is empty.
	Bootstrap bool
	// BootstrapCredential is the SHA-256 sum, in hex, of a credential that counts as an administrator's while the
	// configuration has no operators.
	BootstrapCredential string

	// HoldBody is the largest request body in bytes that is held in memory. Default 64 KiB.
	HoldBody int64
	// KeyedBody is the largest body in bytes of a request with an Idempotency-Key. Default 1 MiB.
	KeyedBody int64
	// MaxHeaderBytes bounds the headers of a caller's request. Default 32 KiB.
	MaxHeaderBytes int
	// StopTimeout bounds a graceful stop. Default 30s.
	StopTimeout time.Duration

	Log *log.Logger
}

// Defaults of Options.
const (
	DefaultMaxHeaderBytes = 32 << 10
	DefaultStopTimeout    = 30 * time.Second
)

func (o *Options) setDefaults() {
	if o.MaxHeaderBytes <= 0 {
		o.MaxHeaderBytes = DefaultMaxHeaderBytes
	}
	if o.StopTimeout <= 0 {
		o.StopTimeout = DefaultStopTimeout
	}
	if o.Log == nil {
		o.Log = &log.Logger{Level: log.PanicLevel}
	}
	named := *o.Log
	named.Context = log.NewContext(nil).Str("vm", o.Name).Value()
	o.Log = &named
}
