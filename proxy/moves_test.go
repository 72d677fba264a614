package proxy

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/admission"
)

// moveFleet is an entry and the gates of some VMs with one slot each. The servers respond once release is called.
type moveFleet struct {
	entry    *testVM
	gates    []*testVM
	backends []*backend
	offered  []func() (noWait, waiting int)
	release  func()
}

// newMoveFleet starts a fleet of n VMs. The entry expects a free slot at each of them. earlier gates do not know the header
// that asks not to wait.
func newMoveFleet(t *testing.T, n int, adaptive, earlier bool) *moveFleet {
	v := newFleetView(t, 1)
	if adaptive {
		setAdaptive(t, v)
	}
	hold := make(chan struct{})
	f := &moveFleet{release: sync.OnceFunc(func() { close(hold) })}
	var peers directory
	for i := range n {
		b := newBackend(t, func(w http.ResponseWriter, r *http.Request) { <-hold })
		g := newVM(t, fmt.Sprint("vm", i), v, nil)
		g.announce(t, "b", addressOf(b.Server), "1")
		var mu sync.Mutex
		var counts [2]int
		handler := g.peer.Config.Handler
		g.peer.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			if r.Header.Get(headerNoWait) != "" {
				counts[0]++
			} else {
				counts[1]++
			}
			mu.Unlock()
			if earlier {
				r.Header.Del(headerNoWait)
			}
			handler.ServeHTTP(w, r)
		})
		f.offered = append(f.offered, func() (int, int) {
			mu.Lock()
			defer mu.Unlock()
			return counts[0], counts[1]
		})
		f.gates, f.backends = append(f.gates, g), append(f.backends, b)
		p := newPeer(g.gate.opts.VM, addressOf(g.peer))
		p.Slots, p.Age = 1, 0
		peers = append(peers, p)
	}
	f.entry = newVM(t, "entry", v, peers)
	t.Cleanup(f.release)
	return f
}

// fill occupies the slot of a VM and queues more requests there.
func (f *moveFleet) fill(t *testing.T, i, queued int) {
	t.Helper()
	for range 1 + queued {
		go func() {
			if resp, err := f.gates[i].gate.Run(t.Context(), newTestRequest(t, "root")); err == nil {
				resp.Body.Close()
			}
		}()
	}
	eventually(t, "load", func() bool {
		load := f.gates[i].gate.Load("svc")
		return load.InFlight == 1 && load.Queued == queued
	})
}

// send sends a request through the entry and returns a channel with its status.
func (f *moveFleet) send(t *testing.T) <-chan int {
	status := make(chan int, 1)
	go func() {
		resp, _, _ := sendRequest(t, f.entry.caller, "GET", "/x", nil)
		status <- resp.StatusCode
	}()
	return status
}

// offers returns how often the gates were offered a request that does not wait, and one that does.
func (f *moveFleet) offers() (noWait, waiting int) {
	for _, offered := range f.offered {
		a, b := offered()
		noWait, waiting = noWait+a, waiting+b
	}
	return noWait, waiting
}

func (f *moveFleet) finish(t *testing.T, status <-chan int) {
	t.Helper()
	f.release()
	assert.Equal(t, <-status, http.StatusOK)
}

// Guards against a request that waits in a queue while another VM has a free slot.
func TestFullGatePassesARequestOn(t *testing.T) {
	f := newMoveFleet(t, 3, true, false)
	f.fill(t, 0, 0)
	f.fill(t, 1, 0)
	status := f.send(t)
	eventually(t, "run at the VM with a free slot", func() bool { return f.backends[2].count() == 1 })
	assert.Equal(t, f.gates[0].gate.Load("svc").Queued+f.gates[1].gate.Load("svc").Queued, 0)
	f.finish(t, status)
}

// Guards against a request that is passed on without end, that waits in a long queue, or that is refused while a queue has
// room.
func TestRequestWaitsAtTheShortestQueue(t *testing.T) {
	for _, test := range []struct {
		desc string
		vms  int
	}{{"fewer VMs than moves", 2}, {"as many VMs as moves", maxMoves}, {"more VMs than moves", maxMoves + 2}} {
		t.Run(test.desc, func(t *testing.T) {
			f := newMoveFleet(t, test.vms, true, false)
			for i := range f.gates {
				f.fill(t, i, min(i, 3))
			}
			queued := func() (n int) {
				for _, g := range f.gates {
					n += g.gate.Load("svc").Queued
				}
				return n
			}
			before := queued()
			status := f.send(t)
			eventually(t, "the request waits", func() bool { return queued() == before+1 })
			noWait, waiting := f.offers()
			assert.Assert(t, noWait <= maxMoves && waiting == 1, "%d moves, %d waits", noWait, waiting)
			// The queues grow with the index, so the request waits at the first of those that it saw.
			for i := range f.gates {
				if seen, _ := f.offered[i](); seen > 0 {
					assert.Equal(t, f.gates[i].gate.Load("svc").Queued, min(i, 3)+1)
					break
				}
			}
			f.finish(t, status)
		})
	}
}

// Guards against a request that is refused because the queue where it should wait filled up, or its VM stopped serving,
// although another VM that passed it on can queue it.
func TestRequestWaitsAtAnotherQueue(t *testing.T) {
	f := newMoveFleet(t, 2, true, false)
	req := newTestRequest(t, "root")
	history := &attemptHistory{tried: map[string]bool{}, breakerTripped: map[string]bool{}}
	full := func(vm string, queued int) {
		refusal := notRunRefusal(http.StatusServiceUnavailable, Reason(admission.ReasonFull), "gate")
		refusal.Load = &Load{InFlight: 1, Slots: 1, Queued: queued}
		history.recordRefusal(vm, refusal)
	}
	full("gone", 0)
	full("vm0", 1)
	full("vm1", 2)
	r := f.entry.entry.router
	chosen, ok := r.chooseNext(req, history)
	assert.Assert(t, ok && chosen.peer.VM == "vm0", "%+v", chosen)
	assert.Assert(t, !r.mayMove(req, chosen, history))
	history.recordRefusal("vm0", notRunRefusal(http.StatusServiceUnavailable, ReasonQueueFull, "gate"))
	chosen, ok = r.chooseNext(req, history)
	assert.Assert(t, ok && chosen.peer.VM == "vm1", "%+v", chosen)
	assert.Assert(t, !r.mayMove(req, chosen, history))
	history.recordRefusal("vm1", notRunRefusal(http.StatusServiceUnavailable, ReasonQueueFull, "gate"))
	_, ok = r.chooseNext(req, history)
	assert.Assert(t, !ok)
}

// Guards against a request that never ends, or that runs twice, when all queues are full.
func TestAllQueuesFull(t *testing.T) {
	f := newMoveFleet(t, maxMoves+1, true, false)
	for i := range f.gates {
		f.fill(t, i, 4)
	}
	assert.Equal(t, <-f.send(t), http.StatusServiceUnavailable)
	noWait, waiting := f.offers()
	assert.Assert(t, noWait <= maxMoves && waiting <= len(f.gates), "%d moves, %d waits", noWait, waiting)
	f.release()
}

// Guards against requests that are passed on by services without concurrency: adaptive, and against ones that are refused
// because a gate of an earlier build does not know the header.
func TestGatesThatLetRequestsWait(t *testing.T) {
	for _, test := range []struct {
		desc              string
		adaptive, earlier bool
	}{{"other service", false, false}, {"earlier build", true, true}} {
		t.Run(test.desc, func(t *testing.T) {
			f := newMoveFleet(t, 1, test.adaptive, test.earlier)
			f.fill(t, 0, 0)
			status := f.send(t)
			eventually(t, "the request waits", func() bool { return f.gates[0].gate.Load("svc").Queued == 1 })
			noWait, waiting := f.offers()
			assert.Equal(t, noWait+waiting, 1)
			assert.Equal(t, noWait == 1, test.adaptive)
			f.finish(t, status)
		})
	}
}

// Guards against a request that may not run elsewhere and is passed on all the same.
func TestRequestsThatAreNotMoved(t *testing.T) {
	f := newMoveFleet(t, 1, true, false)
	r := f.entry.entry.router
	history := &attemptHistory{tried: map[string]bool{}}
	chosen, ok := r.chooseNext(newTestRequest(t, "root"), history)
	assert.Assert(t, ok)
	for _, test := range []struct {
		desc   string
		change func(*Request)
		want   bool
	}{
		{"other", func(*Request) {}, true},
		{"forced", func(req *Request) { req.Forced = true }, false},
		{"last resort", func(req *Request) { req.LastResort = true }, false},
		{"late", func(req *Request) { req.Deadline = time.Now().Add(minMoveRemaining / 2) }, false},
	} {
		req := newTestRequest(t, "root")
		test.change(req)
		assert.Equal(t, r.mayMove(req, chosen, history), test.want, test.desc)
	}
}
