package node

import (
	"context"
	"math/rand/v2"
	"time"

	"rosemaryline.dev/outlier"
)

const (
	methodPushDigests  = "outlier.digests"
	methodFetchDigests = "outlier.ask"
	// digestInterval is the time between two pushes of digests.
	digestInterval = 500 * time.Millisecond
	// digestFanout is the maximum number of VMs with the same service that receive a push. It limits the messages that
	// a gate sends in a large service.
	digestFanout = 8
	// digestTimeout limits one push or fetch of digests.
	digestTimeout = 500 * time.Millisecond
)

// digestPush carries the digests of one service's backend servers on one VM.
type digestPush struct {
	Service string           `json:"service"`
	Digests []outlier.Digest `json:"digests"`
}

// pushDigests sends the digests of this VM's backend servers to other gates of the same service.
func (e *ejections) pushDigests() {
	for _, s := range e.gate.Summary() {
		push := digestPush{Service: s.Service, Digests: e.ownDigests(s.Servers)}
		if len(push.Digests) == 0 {
			continue
		}
		for _, address := range e.samplePeers(s.Service, digestFanout) {
			spawn(e.tomb, func() { e.pushDigest(address, push) })
		}
	}
}

func (e *ejections) pushDigest(address string, push digestPush) {
	ctx, cancel := context.WithTimeout(e.tomb.Context(context.Background()), digestTimeout)
	defer cancel()
	// A lost push needs no retry: the next one replaces it.
	_ = e.client.Notify(ctx, address, methodPushDigests, push)
}

// samplePeers returns the addresses of up to count other VMs that host the service, chosen at random.
func (e *ejections) samplePeers(service string, count int) []string {
	var addresses []string
	for _, p := range e.directory.Hosts(service) {
		if p.VM != e.vm {
			addresses = append(addresses, p.Address)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) {
		addresses[i], addresses[j] = addresses[j], addresses[i]
	})
	return addresses[:min(len(addresses), count)]
}

func (e *ejections) ownDigests(names []string) []outlier.Digest {
	e.mu.Lock()
	defer e.mu.Unlock()
	var digests []outlier.Digest
	for _, name := range names {
		if d, ok := e.detector.Digest(e.globalName(name), e.clock()); ok && d.Count > 0 {
			digests = append(digests, d)
		}
	}
	return digests
}

// maxPushDelay is the assumed maximum age of a pushed digest when it is received.
const maxPushDelay = 5 * time.Second

// receiveDigests passes a peer's pushed digests to the detector.
func (e *ejections) receiveDigests(_ context.Context, _ string, push digestPush) (struct{}, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addPeerDigests(push, e.clock()-maxPushDelay)
	return struct{}{}, nil
}

// addPeerDigests passes digests to the detector. asOf is a lower limit for the time at which the peer made them. The
// caller holds mu.
func (e *ejections) addPeerDigests(push digestPush, asOf time.Duration) {
	for _, d := range push.Digests {
		e.detector.AddPeerDigest(push.Service, d, asOf)
	}
}

// digestRequest asks a gate for the present digests of a service.
type digestRequest struct {
	Service string `json:"service"`
}

// fetchDigests requests digests from other gates of the service. Pushed digests may be too old for a verdict, which
// compares a backend server with the present state of its peers.
func (e *ejections) fetchDigests(service string) {
	for _, address := range e.samplePeers(service, outlier.PeersToAsk) {
		spawn(e.tomb, func() { e.fetchDigestsFrom(address, service) })
	}
}

func (e *ejections) fetchDigestsFrom(address, service string) {
	ctx, cancel := context.WithTimeout(e.tomb.Context(context.Background()), digestTimeout)
	defer cancel()
	sentAt := e.clock()
	var reply digestPush
	if err := e.client.Call(ctx, address, methodFetchDigests, digestRequest{Service: service}, &reply); err != nil {
		return // the detector requests digests again while it needs them
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addPeerDigests(reply, sentAt)
}

// serveDigests returns the digests of this VM's backend servers of a service.
func (e *ejections) serveDigests(_ context.Context, _ string, request digestRequest) (digestPush, error) {
	for _, s := range e.gate.Summary() {
		if s.Service == request.Service {
			return digestPush{Service: s.Service, Digests: e.ownDigests(s.Servers)}, nil
		}
	}
	return digestPush{Service: request.Service}, nil
}
