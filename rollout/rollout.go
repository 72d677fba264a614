// Package rollout moves the traffic of a service from the backend servers of one software version to those of another, in
// steps and by evidence. It is pure: time, random numbers and messages come in as arguments. Its types are not safe for
// concurrent use.
package rollout

import "time"

// Phase is a step of a rollout.
type Phase string

// Phases of a rollout, in order. Completed and RolledBack are final.
const (
	// Canary offers a small share of the requests to all servers of the new version.
	Canary Phase = "canary"
	// Loaded offers the same share to a few of them, each of which then has the load of a server of the old version.
	Loaded Phase = "loaded"
	// Cutover offers all requests to the new version, while those that run at the old one finish.
	Cutover Phase = "cutover"
	// Completed means that the old version gets no request any more and may stop at once.
	Completed Phase = "completed"
	// RolledBack means that the new version gets no request any more.
	RolledBack Phase = "rolled-back"
)

// Final reports whether no decision follows the phase.
func (p Phase) Final() bool { return p == Completed || p == RolledBack }

// Plan is a rollout as the fleet state has it.
type Plan struct {
	// ID identifies the order.
	ID         string
	Service    string
	NewVersion string
	// Duration is the time from the order to its deadline.
	Duration time.Duration
	Phase    Phase
	// Percent is the share of new requests that entries offer to the new version, 0 to 100.
	Percent int
	// Servers is the number of servers of the new version among which these requests are spread; 0 means all.
	Servers int
	// Decision is the number of the last decision, 0 before the first.
	Decision uint64
	// Elapsed is the time since the order at the last decision.
	Elapsed time.Duration
}

// Decision changes a plan. It applies only to the plan whose Decision is Previous.
type Decision struct {
	Previous uint64
	Phase    Phase
	Percent  int
	Servers  int
	Elapsed  time.Duration
	// Reason states the evidence of both versions, in one line.
	Reason string
}

// LatencyBuckets is the number of buckets of RouteCounts.Latency. Bucket i counts responses that took at least
// LatencyBound(i-1) and less than LatencyBound(i); the last bucket has no upper bound.
const LatencyBuckets = 32

// RouteCounts holds the results of the requests of one route at the servers of one version on one VM. All counters only grow
// while the gate's process runs.
type RouteCounts struct {
	// Started counts the requests that were sent to the servers. Those without a result are running or were given up by their
	// callers. Without it, requests that take longer than the rollout would not count as slow.
	Started   uint32 `json:"started,omitempty"`
	Succeeded uint32 `json:"ok,omitempty"`
	// Failed counts complete responses with a server error.
	Failed uint32 `json:"failed,omitempty"`
	// Broken counts requests without a complete response: reset, cut, wrong or missing.
	Broken uint32 `json:"broken,omitempty"`
	// Shed counts requests that the servers certainly did not run. They have no result, so they are evidence for neither version.
	Shed uint32 `json:"shed,omitempty"`
	// Latency counts the successful responses of servers that are not cold by the time at the server.
	Latency [LatencyBuckets]uint32 `json:"latency,omitzero"`
}

// Report is what a gate counted at the servers of one service since it learned of the rollout.
type Report struct {
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation"`
	// Sequence increases with each report of an incarnation.
	Sequence uint64 `json:"sequence"`
	// Rollout is Plan.ID.
	Rollout string `json:"rollout"`
	Service string `json:"service"`
	// Version is the version of the servers. A VM with servers of two versions sends two reports.
	Version string `json:"version"`
	// Applied is the Plan.Decision that the gate acts on.
	Applied uint64 `json:"applied"`
	// Arrived counts the requests that were sent to the servers.
	Arrived uint64 `json:"arrived"`
	// Running is the number of requests that run at the servers now.
	Running int `json:"running,omitempty"`
	// Slots is the number of slots of servers that are in service and not cold.
	Slots int `json:"slots,omitempty"`
	// KnownMs is the time in milliseconds since the gate's process learned of the rollout. A new leader takes the longest of
	// them as the least time since the order; without it the time between the last decision and its takeover would be lost.
	KnownMs int64 `json:"knownMs,omitempty"`
	// Refused counts the requests that the gate refused because of its allowance. The leader gives allowances to gates where
	// it grows.
	Refused uint64 `json:"refused,omitempty"`
	// Granted is the allowance that the gate acts on, or more where requests that wait for a slot were admitted by an earlier one,
	// and GrantedBy the Sequence of the report whose reply gave it (Allowance).
	Granted   uint64                 `json:"granted,omitempty"`
	GrantedBy uint64                 `json:"grantedBy,omitempty"`
	Routes    map[string]RouteCounts `json:"routes,omitempty"`
	// AtLoad counts those of Routes that arrived at load (AtLoad). It is nil from gates of builds that do not count them.
	AtLoad map[string]RouteCounts `json:"atLoad,omitzero"`
}

// AtLoad reports whether a request arrives at load: more than half of the slots run requests, with this one. Gates decide it at the
// arrival, since what runs when the response comes says nothing about a version that fails only at load.
func AtLoad(running, slots int) bool {
	return slots > 0 && float64(running) > loadedFrom*float64(slots)
}

// Reply answers a Report.
type Reply struct {
	// Allowed limits Report.Arrived of the reporting incarnation while the phase is Canary or Loaded. It matters only to the
	// servers of the new version.
	Allowed uint64 `json:"allowed,omitempty"`
}
