// Package outlier detects backend servers with gray failures and ejects them without going below the capacity floor.
//
// A gate runs one Detector, one Holder and one Ejector for the backend servers of its VM:
//
//	Detector  compares each backend server with its peers in the service
//	Holder    holds the permits without which nothing is ejected
//	Ejector   decides on ejection, probes, back-off and readmission
//
// At each EvaluateInterval the gate passes the verdicts of Detector.Evaluate to Ejector.Step, executes the actions, and
// sends what Holder.Poll returns. Where a verdict has NeedsPeerDigests set, it requests fresh digests from other gates of
// the service.
//
// The process that owns the shard of a service runs an Arbiter for it, which grants permits as long as the capacity floor
// is kept.
//
// A Breaker is independent of these: it is the circuit breaker of one backend server, needs no peers and reacts to the
// first failures.
//
// The package does no I/O: time and messages are arguments, and there are no clocks, sockets or goroutines. No type is
// safe for concurrent use.
package outlier
