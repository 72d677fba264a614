package node

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/shares"
)

// sharesWatch observes the decisions at the entries of a fleet whose service is overloaded.
type sharesWatch struct {
	*isolationFleet
	entries []*Node // those that still take part
}

// overload sends requests of a team, at three times the rate that the service can run, through all entries until stop is called
// or the test ends.
func (f *isolationFleet) overload() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	stop = func() { cancel(); <-done }
	f.t.Cleanup(stop)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}, Timeout: 3 * time.Second}
	send := func(address string) {
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/x", nil)
		req.Header.Set("Authorization", "Bearer key")
		if resp, err := client.Do(req); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	}
	go func() {
		defer close(done)
		for i := 0; ctx.Err() == nil; i++ {
			go send(f.proxies[i%len(f.proxies)].CallerAddress())
			time.Sleep(time.Second / 60)
		}
	}()
	return stop
}

func (w *sharesWatch) short() bool {
	return slices.ContainsFunc(w.entries, func(n *Node) bool {
		_, short := n.capacity.shares.Share("svc", "team", 0)
		return short
	})
}

// allShort reports whether all entries know that the service is short of capacity.
func (w *sharesWatch) allShort() bool {
	return !slices.ContainsFunc(w.entries, func(n *Node) bool {
		_, short := n.capacity.shares.Share("svc", "team", 0)
		return !short
	})
}

func (w *sharesWatch) waitShort() {
	w.t.Helper()
	eventually(w.t, "shortage", func() error {
		if !w.allShort() {
			return errors.New("an entry admits everything")
		}
		return nil
	})
}

// owner returns the process that decides about the service, among those that take part.
func (w *sharesWatch) owner() (owner *Node) {
	w.t.Helper()
	eventually(w.t, "owner", func() error {
		for _, n := range w.entries {
			if n.capacity.owns("svc") {
				owner = n
				return nil
			}
		}
		return errors.New("no process owns the service")
	})
	return owner
}

// checkAdmitted fails if an entry refuses requests because of a share after the time allowed and before done returns true.
func (w *sharesWatch) checkAdmitted(what string, allowed time.Time, done func() bool) {
	w.t.Helper()
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(10 * time.Millisecond) {
		at, short := time.Now(), w.short()
		if done() {
			return
		}
		assert.Assert(w.t, !short || !at.After(allowed), "%s: an entry refuses requests %s after the time allowed", what, at.Sub(allowed))
		assert.Assert(w.t, at.Before(deadline), what)
	}
}

// checkNextOwner checks that nothing is refused from 1.5 s after gone until the next owner has been one for a second, and that the
// next owner decides then.
func (w *sharesWatch) checkNextOwner(what string, gone time.Time) {
	w.t.Helper()
	w.checkAdmitted(what, gone.Add(shares.DefaultValidFor), func() bool {
		return slices.ContainsFunc(w.entries, func(n *Node) bool {
			since, ok := n.shards.ownsProvisionally(state.ShardOf("svc"))
			return ok && n.clock() >= since+time.Second
		})
	})
	w.waitShort()
}

func (w *sharesWatch) remove(n *Node) {
	w.entries = slices.DeleteFunc(slices.Clone(w.entries), func(other *Node) bool { return other == n })
}

// Guards against entries that refuse requests by the decisions of an owner that is frozen, cut off or stopped, and against a
// next owner that decides before the processes have reported to it, or not at all.
func TestSharesWithoutOwner(t *testing.T) {
	w := &sharesWatch{isolationFleet: startSharesFleet(t)}
	w.entries = w.proxies
	w.overload()
	w.waitShort()

	// The owner's lock stands for a frozen process: it neither decides nor replies until it runs again.
	frozen := w.owner()
	frozen.capacity.mu.Lock()
	began := time.Now()
	const freeze = shares.DefaultValidFor + 300*time.Millisecond
	w.checkAdmitted("frozen", began.Add(shares.DefaultValidFor), func() bool { return time.Since(began) >= freeze })
	thawed := time.Now()
	frozen.capacity.mu.Unlock()
	w.checkAdmitted("late replies of the frozen owner", thawed, func() bool { return time.Since(thawed) >= time.Second })
	w.waitShort()

	cut := w.owner()
	w.isolate(cut, false)
	gone := time.Now()
	w.remove(cut)
	w.checkAdmitted("cut off", gone.Add(shares.DefaultValidFor), func() bool { return time.Since(gone) >= freeze })
	// Control would name the next owner a few seconds later.
	next := map[int]string{state.ShardOf("svc"): w.entries[0].opts.Name}
	w.propose(state.Command{ChangeID: "next-owner", AssignShards: &state.AssignShards{Owners: next}})
	w.checkNextOwner("cut off", gone)

	stopped := w.owner()
	w.remove(stopped)
	assert.NilError(t, stopped.Stop())
	w.checkNextOwner("stopped", time.Now())
}
