package node

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/phuslu/log"

	"rosemaryline.dev/proxy"
	"rosemaryline.dev/rollout"
	"rosemaryline.dev/storage"
)

// Options are the settings of one process.
type Options struct {
	// Name is the VM name; it is unique in the fleet.
	Name string
	// Domain is the VM's failure domain.
	Domain string

	// CallerListen, PeerListen, LocalListen and AdminListen are the addresses to listen on. The proxy role needs
	// CallerListen and LocalListen. Except for PeerListen, an empty address leaves out the listener.
	CallerListen string
	PeerListen   string
	LocalListen  string
	AdminListen  string
	// PeerAddress is the host and port at which peers reach PeerListen. Default: the address that PeerListen is bound
	// to.
	PeerAddress string
	// Join lists peer addresses of processes that are already in the fleet.
	Join []string

	// CallerTLS is nil for plain HTTP.
	CallerTLS *tls.Config
	// PeerServerTLS and PeerClientTLS are nil for plain connections between processes.
	PeerServerTLS *tls.Config
	PeerClientTLS *tls.Config

	// Dial opens connections to peers. Measurements and tests use it to add delays or failures. Default: a net.Dialer.
	// With PeerClientTLS, calls between processes do not use it.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	// DataDir is the data folder. A process with a data folder has the control role.
	DataDir string
	// FS is the file system of the data folder. Tests use it to add failures. Default: that of the operating system.
	FS storage.FS
	// SnapshotEntries is the number of log entries after which a control VM saves a snapshot of its state. Default 10,000.
	SnapshotEntries uint64
	// Bootstrap creates a new control group with this process as its only member if DataDir is empty, or holds a creation that
	// was interrupted.
	Bootstrap bool
	// BootstrapCredential is the SHA-256 sum, in hex, of a credential that has an administrator's rights while the
	// configuration has no operators.
	BootstrapCredential string

	// AutoMembers lets the control leader add processes with an empty data folder to the group, and remove members
	// whose data folder was lost, without an operator.
	AutoMembers bool
	// MinQuorum is the minimum number of control VMs that must store a replaced document before it is acknowledged. A
	// new group refuses documents until it has enough members. Default 1.
	MinQuorum int
	// NoRecords leaves out the group of at-most-once records. Requests with an Idempotency-Key are then refused.
	NoRecords bool
	// AdmitIsolated lets the process admit requests without permission, while it is cut off from control and from most
	// peers. A team's key that is withdrawn in that time continues to work there. Default: it refuses new requests.
	AdmitIsolated bool

	// NoPeerEjection turns off the ejection of backend servers by comparison with their peers. Each backend server's
	// own circuit breaker stays. It suits services whose backend servers often fail for a few seconds, because an
	// ejection lasts longer than that.
	NoPeerEjection bool

	// GossipDatagrams sends short gossip packets over UDP at the number of the peer port. Such packets are neither encrypted
	// nor authenticated, so it must not be combined with TLS for peers. Default: over connections.
	GossipDatagrams bool
	// GossipPeriod is the time between two pings of the membership protocol. Default 500ms.
	GossipPeriod time.Duration
	// LeaderHeartbeatInterval is the time between two heartbeats of the control leader to the fleet. Default 500ms.
	LeaderHeartbeatInterval time.Duration
	// RaftHeartbeatTicks is the number of ticks, of 100 ms each, between two heartbeats of the leader of a group.
	// Default 1.
	RaftHeartbeatTicks int

	// LoadInterval is the minimum time between two gossiped metadata updates that differ only in load and ramp, which
	// entries also learn from responses. Default 10 s.
	LoadInterval time.Duration

	// Dialect maps the headers of callers and backend servers. Default: the headers of this project.
	Dialect proxy.Dialect
	// CallerService returns the service of the backend server on this VM. Default: none.
	CallerService func() string
	// AnnouncementTTL is how long an announcement of a backend server is valid without a renewal. Default 3 s.
	AnnouncementTTL time.Duration
	// HoldUnknownServices keeps announcements of services that the configuration does not have yet.
	HoldUnknownServices bool
	// AllowCloseDelimited accepts responses of backend servers whose end is marked by the end of the connection.
	AllowCloseDelimited bool
	// RetryRatio is the share of a service's requests that may be retries. Default 0.2.
	RetryRatio float64
	// RetryReserve is the number of retries of one service that all processes together may send in a window
	// (routing.RetryWindow) without requests. If it is set, the gates keep RetryRatio and RetryReserve for the whole fleet.
	// Default 0: each entry has a reserve of 10.
	RetryReserve float64
	// RateParts is the number of owners among which each team's rate is divided. Default 1.
	RateParts int
	// RateLease is how long a process may spend tokens of a team's rate, counted from its request for them. Default
	// 250ms.
	RateLease time.Duration
	// RateBriefLease is how long a process may spend a token that it asked for a waiting request, counted from its request
	// for it. Default 50ms.
	RateBriefLease time.Duration
	// RateResend is the time after which a request for tokens without a reply is sent again. Default 25ms.
	RateResend time.Duration
	// RateDemandWindow is the time over which a process measures the demand of a team. Default 250ms.
	RateDemandWindow time.Duration
	// RateSpare is the time for which the unspent tokens of a process should last at the observed demand. Default
	// 100ms.
	RateSpare time.Duration
	// ProvisionalRate is the share of a team's rate that a new owner grants while a former owner may still be acting.
	// Default 0: the new owner waits until the former one has certainly stopped.
	ProvisionalRate float64
	// RateExcess is the ratio by which a team's rate, and BurstExcess the number of requests by which its burst, may be
	// exceeded before a request is refused. Default 0.
	RateExcess  float64
	BurstExcess int
	// Listeners are opened in addition to the process's own.
	Listeners []Listener

	// ServiceDefaults fill in settings of services that the configuration leaves open. Default: none.
	ServiceDefaults proxy.ServiceDefaults
	// Rollouts are the bounds of rollouts. Default: nil, versions of backend servers are not published and rollouts are not
	// driven.
	Rollouts *RolloutOptions

	// MaxBufferedBody is the size in bytes up to which a request body is buffered, so that it can be sent again. Default
	// 64 KiB.
	MaxBufferedBody int64
	// MaxKeyedBody is the maximum size in bytes of the body of a request with an Idempotency-Key. Default 1 MiB.
	MaxKeyedBody int64
	// HeldBytes limits the bytes of bodies that the process holds. Default: a quarter of the memory limit of the process, or of the
	// memory of the machine where the process has none; at least 8 MiB.
	HeldBytes int64
	// MaxHeaderBytes limits the headers of a caller's request. Default 32 KiB.
	MaxHeaderBytes int
	// StopTimeout limits a graceful stop. Default 30 s.
	StopTimeout time.Duration

	Log *log.Logger
}

// RolloutOptions are the settings of rollouts.
type RolloutOptions struct {
	rollout.Settings
	// HoldUnknownVersions keeps requests from servers of a version that neither was there when the service was first seen nor
	// was ordered by a rollout. Default: such servers get requests as all others do.
	HoldUnknownVersions bool
}

// DefaultRollouts returns the bounds for fleets whose operators set none: a bad version gets at most a tenth of the requests and 50 more,
// and none later than 5 s after its 50th bad response.
func DefaultRollouts() *RolloutOptions {
	return &RolloutOptions{Settings: rollout.Settings{ExposureShare: 0.1, ExposureSlack: 50, RollbackAfter: 5 * time.Second}}
}

// Listener describes an additional listener.
type Listener struct {
	// Name identifies the listener in logs and errors.
	Name    string
	Address string
	Handler func(n *Node) http.Handler
}

// Defaults of Options.
const (
	DefaultMaxHeaderBytes = 32 << 10
	DefaultStopTimeout    = 30 * time.Second
)

// heartbeatMargin is how late a heartbeat may arrive without consequences. It covers some round trips and a
// retransmission.
const heartbeatMargin = 250 * time.Millisecond

// staleHeartbeatAge returns the age at which the newest heartbeat counts as stale: the process then pings other
// processes to keep contact with a majority. A heartbeat is dated by the fetch that returned it, so it may be two
// intervals old when the next one arrives; heartbeatMargin is added to that.
func (o *Options) staleHeartbeatAge() time.Duration {
	return max(2*o.LeaderHeartbeatInterval+heartbeatMargin, minStaleHeartbeatAge)
}

// minStaleHeartbeatAge is the lower limit of staleHeartbeatAge, for short intervals between heartbeats.
const minStaleHeartbeatAge = 1500 * time.Millisecond

// fetchWait returns how long a fetch of the fleet state waits for a newer version or heartbeat (long poll). It is
// longer than the interval between heartbeats, so that a fetch usually ends with a heartbeat and not shortly before
// one. It must stay well below membership.ContactWindow (3 s), because a heartbeat in the reply is dated by the time
// of the request.
func (o *Options) fetchWait() time.Duration { return o.LeaderHeartbeatInterval + heartbeatMargin }

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
	if o.LeaderHeartbeatInterval <= 0 {
		o.LeaderHeartbeatInterval = defaultLeaderHeartbeatInterval
	}
	if o.FS == nil {
		o.FS = storage.OS{}
	}
	if o.Log == nil {
		o.Log = &log.Logger{Level: log.PanicLevel}
	}
	named := *o.Log
	named.Context = log.NewContext(nil).Str("vm", o.Name).Value()
	o.Log = &named
}

// maxEntryRetryRatio is the share of an entry's own requests that it repeats at most where the gates keep the budget of the
// fleet.
const maxEntryRetryRatio = 1

// entryRetryRatio returns the retry ratio of the entry.
func (o *Options) entryRetryRatio() float64 {
	if o.RetryReserve > 0 {
		return maxEntryRetryRatio
	}
	return o.RetryRatio
}

// gateRetryRatio returns the retry ratio of the gate; 0 where the gate does not limit repeats.
func (o *Options) gateRetryRatio() float64 {
	if o.RetryReserve > 0 {
		return o.RetryRatio
	}
	return 0
}
