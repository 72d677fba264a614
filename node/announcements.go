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
	stored map[instanceKey]uint64
}

// instanceKey identifies a start of a backend server on this VM.
type instanceKey struct {
	instance  string
	startedMs int64
}

// maxStoredDepartures limits Announcements.stored. A departure that it lacks is stored again, which has no effect.
const maxStoredDepartures = 1024

func newAnnouncements(n *Node) *Announcements {
	return &Announcements{Node: n, stored: map[instanceKey]uint64{}}
}

// Announcements returns the receiver of the announcements of backend servers on this VM.
func (n *Node) Announcements() *Announcements { return n.announcer }

// Announce implements proxy.Announcer.
func (a *Announcements) Announce(ctx context.Context, announcement proxy.Announcement) error {
	if err := a.gate.Announce(announcement, time.Now()); err != nil {
		return &proxy.AnnouncementError{Err: err}
	}
	key := instanceKey{announcement.Instance, announcement.StartedMs}
	switch {
	case announcement.Sequence == 0:
		return nil // late announcements cannot be told from new ones
	case !announcement.Draining:
		a.endDeparture(key, announcement.Sequence)
		return nil
	case a.hasStored(key, 0):
		return nil // the number of the first announcement that it is draining is enough
	}
	return a.store(ctx, proxy.Departure{Instance: key.instance, StartedMs: key.startedMs, Through: announcement.Sequence})
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
	key := instanceKey{d.Instance, d.StartedMs}
	if a.hasStored(key, d.Through) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, departureStoreTimeout)
	defer cancel()
	result, err := a.groups.command(ctx, state.Command{
		ChangeID: string(newClaimID()), Operator: a.opts.Name, Time: time.Now(),
		Depart: &state.Departure{VM: a.opts.Name, Instance: d.Instance, StartedMs: d.StartedMs, Through: d.Through},
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
	a.setStored(key, d.Through)
	return nil
}

// endDeparture forgets that the departure of an instance is stored, if a later announcement says that it is in use again. The
// next departure must be stored with a higher number.
func (a *Announcements) endDeparture(key instanceKey, sequence uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if stored, ok := a.stored[key]; ok && sequence > stored {
		delete(a.stored, key)
	}
}

// hasStored reports whether the control group has stored a departure of an instance with the given number or a higher one.
func (a *Announcements) hasStored(key instanceKey, through uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	stored, ok := a.stored[key]
	return ok && stored >= through
}

func (a *Announcements) setStored(key instanceKey, through uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.stored) >= maxStoredDepartures {
		clear(a.stored)
	}
	a.stored[key] = max(a.stored[key], through)
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
	for _, d := range list {
		if a.hasStored(instanceKey{d.Instance, d.StartedMs}, d.Through) {
			continue
		}
		a.opts.Log.Info().Str("instance", d.Instance).Int64("started", d.StartedMs).Uint64("through", d.Through).
			Bool("withdrawn", d.Through == math.MaxUint64).Msg("gate: an instance was leaving before the restart.")
		a.gate.Depart(proxy.Departure{Instance: d.Instance, StartedMs: d.StartedMs, Through: d.Through})
		a.setStored(instanceKey{d.Instance, d.StartedMs}, d.Through)
	}
}
