package node

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/proxy"
)

const (
	// methodDepartures takes a departuresRequest and returns a departuresReply. Processes of earlier builds do not have it.
	methodDepartures = "instances.departures"
	// departuresTimeout limits one question for the departures on a VM.
	departuresTimeout = 500 * time.Millisecond
	// minDeparturesPause and maxDeparturesPause limit the pause between two questions while no leader of the control group
	// replies. The pause doubles each time.
	minDeparturesPause = 100 * time.Millisecond
	maxDeparturesPause = time.Second
	// departureStoreTimeout limits storing a departure. A backend server sends its announcement again after a second.
	departureStoreTimeout = 800 * time.Millisecond
)

// Announcements implements proxy.Announcer: it passes announcements to the gate, and stores the departures in the control
// group before they are acknowledged. The gate forgets them with the process, and announcements that were sent before may
// arrive after that.
type Announcements struct {
	*Node

	mu sync.Mutex // guards stored
	// stored holds the departures that the control group has stored, up to maxStoredDepartures.
	stored map[departureKey]storedDeparture
}

// departureKey identifies a start of a backend server on this VM that is leaving, or a departure without a known start.
type departureKey struct {
	instance  string
	startedMs int64
	id        string
}

func keyOf(d proxy.Departure) departureKey { return departureKey{d.Instance, d.StartedMs, d.ID} }

// storedDeparture is what the control group has stored of a departure.
type storedDeparture struct {
	through uint64
	before  int64
}

// maxStoredDepartures limits Announcements.stored. A departure that it lacks is stored again, which has no effect.
const maxStoredDepartures = 1024

func newAnnouncements(n *Node) *Announcements {
	return &Announcements{Node: n, stored: map[departureKey]storedDeparture{}}
}

// Announcements returns the receiver of the announcements of backend servers on this VM.
func (n *Node) Announcements() *Announcements { return n.announcer }

// Announce implements proxy.Announcer.
func (a *Announcements) Announce(ctx context.Context, announcement proxy.Announcement) error {
	if err := a.gate.Announce(announcement, time.Now()); err != nil {
		return &proxy.AnnouncementError{Err: err}
	}
	departure := proxy.Departure{Instance: announcement.Instance, StartedMs: announcement.StartedMs, Through: announcement.Sequence}
	switch {
	case announcement.Sequence == 0:
		return nil // late announcements cannot be told from new ones
	case !announcement.Draining:
		a.endDeparture(departure)
		a.storeReturn(ctx, announcement.Instance)
		return nil
	case a.hasStored(proxy.Departure{Instance: announcement.Instance, StartedMs: announcement.StartedMs}):
		return nil // the number of the first announcement that it is draining is enough
	}
	return a.store(ctx, departure)
}

// storeReturn stores that an instance has started again after a departure without a known start, so that it is not held down
// once more when this process restarts. A failure is logged by store; the next announcement tries again.
func (a *Announcements) storeReturn(ctx context.Context, instance string) {
	for _, d := range a.gate.ReturnedAfter(instance) {
		_ = a.store(ctx, d)
	}
}

// Withdraw implements proxy.Announcer. An instance without numbered announcements may be announced again.
func (a *Announcements) Withdraw(ctx context.Context, name string) error {
	newest, ok := a.gate.Newest(name)
	a.gate.Withdraw(name)
	if !ok || newest.Sequence == 0 {
		return nil
	}
	d := proxy.Departure{Instance: newest.Instance, StartedMs: newest.StartedMs, Through: newest.Sequence}
	a.gate.Depart(d)
	return a.store(ctx, d)
}

// WithdrawInstance withdraws an instance of a backend server for good. startedMs is the Unix time in milliseconds at which
// the instance started; 0 where it is not known. The gate stops using the instance at once. An error means that the control
// group has not stored that, so it must not be acknowledged.
func (a *Announcements) WithdrawInstance(ctx context.Context, instance string, startedMs int64) error {
	return a.store(ctx, a.gate.WithdrawInstance(instance, startedMs))
}

// store stores a departure in the control group, unless it has.
func (a *Announcements) store(ctx context.Context, d proxy.Departure) error {
	if a.hasStored(d) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, departureStoreTimeout)
	defer cancel()
	result, err := a.groups.command(ctx, state.Command{
		ChangeID: string(newClaimID()), Operator: a.opts.Name, Time: time.Now(),
		Depart: &state.Departure{VM: a.opts.Name, Instance: d.Instance, StartedMs: d.StartedMs, Through: d.Through, ID: d.ID, Before: d.Before},
	})
	if err != nil {
		a.opts.Log.Warn().Err(err).Str("instance", d.Instance).Msg("gate: could not store that an instance is leaving.")
		return errors.Wrap(err, "store that the instance is leaving")
	}
	if result.Err != nil {
		// A leader of an earlier build refuses the command, but the log has it for the others.
		a.opts.Log.Warn().Str("instance", d.Instance).Str("reason", result.Err.Error()).
			Msg("gate: the control leader cannot store that an instance is leaving.")
	}
	a.setStored(d)
	return nil
}

// endDeparture forgets that the departure of an instance is stored, if a later announcement says that it is in use again. The
// next departure must be stored with a higher number.
func (a *Announcements) endDeparture(announced proxy.Departure) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if stored, ok := a.stored[keyOf(announced)]; ok && announced.Through > stored.through {
		delete(a.stored, keyOf(announced))
	}
}

// hasStored reports whether the control group has stored a departure with the given numbers or higher ones.
func (a *Announcements) hasStored(d proxy.Departure) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	stored, ok := a.stored[keyOf(d)]
	return ok && stored.through >= d.Through && stored.before >= d.Before
}

func (a *Announcements) setStored(d proxy.Departure) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.stored) >= maxStoredDepartures {
		clear(a.stored)
	}
	stored := a.stored[keyOf(d)]
	a.stored[keyOf(d)] = storedDeparture{through: max(stored.through, d.Through), before: max(stored.before, d.Before)}
}

// departuresRequest asks a control VM for the departures of the backend servers on a VM.
type departuresRequest struct {
	VM string `json:"vm"`
}

type departuresReply struct {
	Departures []state.Departure `json:"departures,omitempty"`
	// Confirmed is set by the control leader after a quorum confirmed it: no acknowledged departure is missing.
	Confirmed bool `json:"confirmed,omitempty"`
	// Leader is the address of the control leader; empty if it is not known.
	Leader string `json:"leader,omitempty"`
}

// serveDepartures handles methodDepartures on a control VM.
func (c *controlRole) serveDepartures(ctx context.Context, _ string, r departuresRequest) (departuresReply, error) {
	ctx, cancel := context.WithTimeout(ctx, departuresTimeout)
	defer cancel()
	group := c.groups[groupControl]
	reply := departuresReply{Confirmed: group.Barrier(ctx) == nil}
	if !reply.Confirmed {
		reply.Leader, _ = c.node.memberAddress(groupControl, group.Status().Leader)
	}
	c.machine.View(func(s *state.State) { reply.Departures = s.Departures(r.VM) })
	return reply, nil
}

// restore gets the departures that this process acknowledged before it restarted, from one control VM after the other until
// the leader has replied. Announcements are accepted meanwhile, because control may be unreachable for hours.
func (a *Announcements) restore() error {
	pause, address := minDeparturesPause, ""
	for a.tomb.Alive() {
		if address == "" {
			address = a.randomControlVM()
		}
		reply, err := a.askDepartures(address)
		if err == nil {
			a.depart(reply.Departures)
		}
		if reply.Confirmed {
			return nil
		}
		if address = reply.Leader; address != "" && address != a.opts.PeerAddress {
			continue
		}
		address = ""
		select {
		case <-time.After(pause):
		case <-a.tomb.Dying():
		}
		pause = min(2*pause, maxDeparturesPause)
	}
	return nil
}

func (a *Announcements) askDepartures(address string) (reply departuresReply, err error) {
	ctx, cancel := context.WithTimeout(a.tomb.Context(context.Background()), departuresTimeout)
	defer cancel()
	request := departuresRequest{VM: a.opts.Name}
	if a.control != nil && address == a.opts.PeerAddress {
		return a.control.serveDepartures(ctx, "", request)
	}
	err = a.client.Call(ctx, address, methodDepartures, request, &reply)
	return reply, err
}

// randomControlVM returns the address of a control VM.
func (a *Announcements) randomControlVM() string {
	controlVMs, _ := a.fetchAddresses()
	if len(controlVMs) == 0 {
		return ""
	}
	return controlVMs[rand.IntN(len(controlVMs))]
}

// depart passes departures from before the restart to the gate.
func (a *Announcements) depart(list []state.Departure) {
	for _, stored := range list {
		d := proxy.Departure{Instance: stored.Instance, StartedMs: stored.StartedMs, Through: stored.Through, ID: stored.ID, Before: stored.Before}
		if a.hasStored(d) {
			continue
		}
		a.opts.Log.Info().Str("instance", d.Instance).Int64("started", d.StartedMs).Uint64("through", d.Through).
			Int64("before", d.Before).Bool("withdrawn", d.Through == math.MaxUint64).Msg("gate: an instance was leaving before the restart.")
		a.gate.Depart(d)
		a.setStored(d)
	}
}
