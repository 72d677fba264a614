package state

import (
	"crypto/subtle"
	"slices"

	"github.com/cespare/xxhash/v2"

	"rosemaryline.dev/fleet/config"
)

// Shards is the number of shards into which teams (for quota) and services (for ejection permits) are divided.
const Shards = 256

// ShardOf returns the shard of the team or service with the given name.
func ShardOf(name string) int { return int(xxhash.Sum64String(name) % Shards) }

// State is one copy of the fleet state.
type State struct {
	version uint64
	// operatorVersion is the version that the last accepted command of an operator produced.
	operatorVersion uint64
	// routesVersion is the version that the last change of the routes produced.
	routesVersion uint64
	chain         uint64
	doc           *config.Document
	// label is the label that the operators chose for the document; 0 before the first replacement.
	label uint64
	// source is the document as the operator sent it, compressed; nil if this copy does not have it.
	source        []byte
	keys          *keyIndex
	issued        map[string][]IssuedKey
	withdrawn     withdrawnKeys
	domainsOut    map[string]bool
	roster        map[string]Process
	rosterChanges []RosterChange
	shards        [Shards]string
	departures    []Departure
	rollouts      map[string]Rollout  // by service
	admitted      map[string][]string // by service
	// rolloutFloor is the version that last removed a service with a rollout; 0 if none did.
	rolloutFloor uint64
	accepted     *recordWindow
	refused      *recordWindow
	deltas       deltaLog
}

// IssuedKey is a key that was issued by a command, as opposed to one listed in the configuration document.
type IssuedKey struct {
	Hash string `json:"hash"`
	// Version is the version that the command produced.
	Version uint64 `json:"version"`
}

// New returns an empty State with version 0.
func New() *State {
	doc := &config.Document{}
	doc.SetDefaults()
	return &State{
		doc:        doc,
		keys:       newKeyIndex(),
		issued:     map[string][]IssuedKey{},
		domainsOut: map[string]bool{},
		roster:     map[string]Process{},
		rollouts:   map[string]Rollout{},
		admitted:   map[string][]string{},
		accepted:   newRecordWindow(maxAcceptedRecords),
		refused:    newRecordWindow(maxRefusedRecords),
	}
}

// Version returns the number of accepted commands.
func (s *State) Version() uint64 { return s.version }

// Chain returns a hash of all accepted commands in order, without their times. Copies with equal versions have equal
// chains, unless the fleet was initialized again from an old snapshot: then the chain distinguishes the previous
// history from the new one.
func (s *State) Chain() uint64 { return s.chain }

// OperatorVersion returns the version that the last accepted command of an operator produced. A command with this base
// version or a later one does not conflict.
func (s *State) OperatorVersion() uint64 { return s.operatorVersion }

// RoutesVersion returns the version that the last change of the routes produced. A table built from the routes is valid
// until this version increases. After Restore it is the version of the snapshot.
func (s *State) RoutesVersion() uint64 { return s.routesVersion }

// Config returns the configuration document. The document belongs to the State: the caller must not change it, and must
// not read it while a command is applied.
func (s *State) Config() *config.Document { return s.doc }

// Label returns the label that the operators chose for the current document. It is 0 before the first replacement.
func (s *State) Label() uint64 { return s.label }

// Source returns the current document as the operator sent it, compressed in the same way as Replace.Source. It is nil
// in processes without the control role, and after ApplyChange, which does not send a whole document.
func (s *State) Source() []byte { return s.source }

// IssuedKeys returns the keys of a team that were issued by commands, in order of issue.
func (s *State) IssuedKeys(team string) []IssuedKey { return slices.Clone(s.issued[team]) }

// TeamByKey returns the team whose key has this SHA-256 sum.
func (s *State) TeamByKey(sum [32]byte) (team string, ok bool) { return s.keys.lookup(sum) }

// OperatorByCredential returns the operator whose credential has this SHA-256 sum in lower-case hex.
func (s *State) OperatorByCredential(hash string) (name string, role config.Role, ok bool) {
	for candidate, o := range s.doc.Operators {
		if subtle.ConstantTimeCompare([]byte(o.CredentialHash), []byte(hash)) == 1 {
			name, role, ok = candidate, o.Role, true
		}
	}
	return name, role, ok
}

// DomainOut reports whether operators took the failure domain out of service.
func (s *State) DomainOut(domain string) bool { return s.domainsOut[domain] }

// DomainsOut returns the sorted names of the failure domains that operators took out of service.
func (s *State) DomainsOut() []string {
	names := make([]string, 0, len(s.domainsOut))
	for name := range s.domainsOut {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Process returns the process with the given VM name, and whether it is in the roster.
func (s *State) Process(name string) (Process, bool) {
	p, ok := s.roster[name]
	return p, ok
}

// RosterSize returns the number of processes in the roster.
func (s *State) RosterSize() int { return len(s.roster) }

// Roster returns the processes of the roster, sorted by name.
func (s *State) Roster() []Process {
	list := make([]Process, 0, len(s.roster))
	for _, p := range s.roster {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b Process) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return list
}

// ShardOwner returns the VM name of a shard's owner, or "" if the shard has none.
func (s *State) ShardOwner(shard int) string { return s.shards[shard] }

// ShardOwners returns the VM names of the owners of all shards, with "" for shards without an owner.
func (s *State) ShardOwners() [Shards]string { return s.shards }

// TeamByKeyHash returns the team whose key has this SHA-256 sum in lower-case hex.
func (s *State) TeamByKeyHash(hash string) (team string, ok bool) {
	e, ok := s.keys.findHex(hash)
	return e.team, ok
}
