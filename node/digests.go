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
	// A lost push is replaced by the next one.
	_ = e.client.Notify(ctx, address, methodPushDigests, push)
}

// samplePeers returns the addresses of up to count random VMs that host the service.
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

// pushDelay is the age that a pushed digest is taken to have at most on its way.
const maxPushDelay = 5 * time.Second

// takeDigests passes a peer's digests to the detector.
func (e *ejections) receiveDigests(_ context.Context, _ string, push digestPush) (struct{}, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addPeerDigests(push, e.clock()-maxPushDelay)
	return struct{}{}, nil
}

// learn passes digests that were made after asOf to the detector. The caller holds mu.
func (e *ejections) addPeerDigests(push digestPush, asOf time.Duration) {
	for _, d := range push.Digests {
		e.detector.AddPeerDigest(push.Service, d, asOf)
	}
}

// digestQuestion asks a gate for fresh digests of a service.
type digestRequest struct {
	Service string `json:"service"`
}

// askDigests asks other gates of the service, because a server may only be judged by what its peers show now.
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
		return // the detector asks again while it needs to
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addPeerDigests(reply, sentAt)
}

// serveDigests answers a peer's question.
func (e *ejections) serveDigests(_ context.Context, _ string, request digestRequest) (digestPush, error) {
	for _, s := range e.gate.Summary() {
		if s.Service == request.Service {
			return digestPush{Service: s.Service, Digests: e.ownDigests(s.Servers)}, nil
		}
	}
	return digestPush{Service: request.Service}, nil
}
