// Package outlier detects backend servers with gray failures and ejects them without passing the capacity floor.
//
// A gate runs one Detector, one Holder and one Ejector over the backend servers of its VM:
//
//	Detector  judges each backend server against its peers in the service
//	Holder    holds the permits without which nothing is ejected
//	Ejector   decides on ejection, probes, back-off and readmission
//
// Each EvaluateInterval the gate passes Detector.Evaluate's verdicts to Ejector.Step, takes the actions, and sends what
// Holder.Poll returns. Where a verdict has WantPeers set, it asks other gates of the service for fresh digests.
//
// The process that owns a service's shard runs an Arbiter for it, which grants permits against the floor.
//
// The package is pure: time and messages are arguments, and there are no clocks, sockets or goroutines. No type is safe
// for concurrent use.
package outlier
