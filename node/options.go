package node

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/phuslu/log"

	"rosemaryline.dev/proxy"
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

	// AutoMembers lets the control leader add processes with an empty data folder to the group, and remove members whose
	// data folder was lost, without an operator.
	AutoMembers bool
	// MinQuorum is the least number of control VMs that must hold a replaced document before it is acknowledged. A new
	// group refuses documents until it has enough members. Default 1.
	MinQuorum int
	// NoRecords leaves out the group of at-most-once records; requests with an Idempotency-Key are then refused.
	NoRecords bool
	// AdmitIsolated lets the process go on to admit requests while it is cut off from control and from most peers. Keys
	// that were withdrawn meanwhile then work on. Default: it refuses new work.
	AdmitIsolated bool

	// NoPeerEjection leaves out the ejection of backend servers by comparison with their peers; the breaker beside each one
	// stays. It suits services whose backend servers often fail for a few seconds: an ejection lasts longer than that.
	NoPeerEjection bool

	// GossipPeriod is the time between two pings of the membership protocol. Default 500ms.
	GossipPeriod time.Duration
	// BeatInterval is the time between two beats of the control leader. Default 500ms.
	BeatInterval time.Duration
	// RaftHeartbeatTicks is the number of ticks of 100 ms between two heartbeats of the leader of a group. Default 1.
	RaftHeartbeatTicks int

	// LoadInterval is the least time between two versions of the gossiped metadata that differ only in load and ramp, which
	// entries learn from answers. Default 10 s.
	LoadInterval time.Duration

	// Dialect maps the headers of callers and backend servers. Default: the project's own.
	Dialect proxy.Dialect
	// CallerService returns the service of the backend server on this VM. Default: none.
	CallerService func() string
	// AnnouncementTTL is how long an announcement of a backend server holds without a renewal. Default 3 s.
	AnnouncementTTL time.Duration
	// HoldUnknown keeps announcements of services that the configuration does not know yet.
	HoldUnknownServices bool
	// AnswersUntilClose accepts answers of backend servers that end with their connection.
	AllowCloseDelimited bool
	// RetryRatio is the share of a service's requests that may be retries. Default routing.RetryRatio.
	RetryRatio float64
	// RetryReserve is the number of retries of one service that all processes together may send before any request
	// earned them. Default 0: each process has routing.RetryReserve of its own.
	RetryReserve float64
	// RateParts is the number of owners that each team's rate is divided among. Default 1.
	RateParts int
	// RateLease is how long a process may spend tokens of a team's rate after it asked for them. Default 250ms.
	RateLease time.Duration
	// RateDemandWindow is the time over which a process observes the demand of a team. Default 250ms.
	RateDemandWindow time.Duration
	// RateSpare is the time for which a process keeps tokens at the observed demand. Default 100ms.
	RateSpare time.Duration
	// ProvisionalRate is the share of a team's rate that a new owner grants while a former one may still be acting. Default
	// 0: it waits until that is impossible.
	ProvisionalRate float64
	// RateExcess is the share by which a team's rate, and BurstExcess the number of requests by which its burst, may be
	// exceeded before a request is refused. Default 0.
	RateExcess  float64
	BurstExcess int
	// Listeners are served in addition to the process's own.
	Listeners []Listener

	// HoldBody is the largest request body in bytes that is held in memory. Default 64 KiB.
	MaxBufferedBody int64
	// KeyedBody is the largest body in bytes of a request with an Idempotency-Key. Default 1 MiB.
	MaxKeyedBody int64
	// MaxHeaderBytes bounds the headers of a caller's request. Default 32 KiB.
	MaxHeaderBytes int
	// StopTimeout bounds a graceful stop. Default 30s.
	StopTimeout time.Duration

	Log *log.Logger
}

// Listener is an additional listener.
type Listener struct {
	// Name appears in logs.
	Name    string
	Address string
	Handler func(n *Node) http.Handler
}

// Defaults of Options.
const (
	DefaultMaxHeaderBytes = 32 << 10
	DefaultStopTimeout    = 30 * time.Second
)

// beatMargin is the time by which a beat may come late without any consequence: some round trips and a retransmission.
const beatMargin = 250 * time.Millisecond

// staleBeat is the age of a beat from which contact with other processes is looked for; see membership.Config.StaleBeat.
func (o *Options) staleBeat() time.Duration { return max(2*o.BeatInterval+beatMargin, minStaleBeat) }

// minStaleBeat is used with short intervals between beats.
const minStaleBeat = 1500 * time.Millisecond

// fetchWait is the long poll for fleet state. It is longer than the interval between beats, so that a poll ends with a beat
// and not shortly before it. It stays well below membership.ContactWindow, because a beat in the answer is dated by the
// question.
func (o *Options) fetchWait() time.Duration { return o.BeatInterval + beatMargin }

func (o *Options) setDefaults() {
	if o.MaxHeaderBytes <= 0 {
		o.MaxHeaderBytes = DefaultMaxHeaderBytes
	}
	if o.StopTimeout <= 0 {
		o.StopTimeout = DefaultStopTimeout
	}
	if o.LoadInterval <= 0 {
		o.LoadInterval = defaultLoadInterval
	}
	if o.BeatInterval <= 0 {
		o.BeatInterval = defaultBeatInterval
	}
	if o.Log == nil {
		o.Log = &log.Logger{Level: log.PanicLevel}
	}
	named := *o.Log
	named.Context = log.NewContext(nil).Str("vm", o.Name).Value()
	o.Log = &named
}
