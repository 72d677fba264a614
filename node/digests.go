package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"rosemaryline.dev/outlier"
)

const (
	methodDigest = "outlier.digests"
	// digestInterval is the time between two pushes of digests.
	digestInterval = 500 * time.Millisecond
	// digestFanout is the number of VMs of the same service that get each push. It bounds the messages of a gate in a
	// large service; in a small one every VM gets each push.
	digestFanout = 8
	// digestTimeout bounds one push.
	digestTimeout = 500 * time.Millisecond
)

// digestPush carries the digests of one service's backend servers on one VM.
type digestPush struct {
	Service string           `json:"service"`
	Digests []outlier.Digest `json:"digests"`
}

// pushDigests sends the digests of this VM's backend servers to gates of the same service.
func (e *ejections) pushDigests() {
	for _, s := range e.gate.Summary() {
		push := digestPush{Service: s.Service, Digests: e.digests(s.Servers)}
		if len(push.Digests) == 0 {
			continue
		}
		for _, address := range e.samplePeers(s.Service) {
			e.tomb.Go(func() error {
				e.pushDigest(address, push)
				return nil
			})
		}
	}
}

func (e *ejections) pushDigest(address string, push digestPush) {
	ctx, cancel := context.WithTimeout(e.tomb.Context(context.Background()), digestTimeout)
	defer cancel()
	// A lost push is replaced by the next one.
	_ = e.client.Notify(ctx, address, methodDigest, push)
}

// samplePeers returns the addresses of random VMs that host the service.
func (e *ejections) samplePeers(service string) []string {
	var addresses []string
	for _, p := range e.directory.Hosts(service) {
		if p.VM != e.vm {
			addresses = append(addresses, p.Address)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) {
		addresses[i], addresses[j] = addresses[j], addresses[i]
	})
	return addresses[:min(len(addresses), digestFanout)]
}

func (e *ejections) digests(names []string) []outlier.Digest {
	e.mu.Lock()
	defer e.mu.Unlock()
	var digests []outlier.Digest
	for _, name := range names {
		if d, ok := e.detector.Digest(e.global(name), e.clock()); ok && d.Count > 0 {
			digests = append(digests, d)
		}
	}
	return digests
}

// takeDigests passes a peer's digests to the detector.
func (e *ejections) takeDigests(_ context.Context, _ string, push digestPush) (struct{}, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var medians []time.Duration
	for _, d := range push.Digests {
		e.detector.PeerDigest(push.Service, d, e.clock())
		medians = append(medians, d.P50)
	}
	e.learnUsual(push.Service, medians)
	return struct{}{}, nil
}

// usualWeight is the weight of one push in the usual latency.
const usualWeight = 0.1

// learnUsual moves the usual latency of a service towards the median of a push. The caller holds mu.
func (e *ejections) learnUsual(service string, medians []time.Duration) {
	if len(medians) == 0 {
		return
	}
	slices.Sort(medians)
	median := medians[len(medians)/2]
	former, known := e.usual[service]
	if !known {
		e.usual[service] = median
		return
	}
	e.usual[service] = former + time.Duration(usualWeight*float64(median-former))
}
