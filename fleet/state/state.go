package state

import (
	"crypto/subtle"
	"slices"

	"github.com/cespare/xxhash/v2"

	"rosemaryline.dev/fleet/config"
)

// Shards is the number of shards that quota and permits are divided into.
const Shards = 256

// ShardOf returns the shard of a team or service.
func ShardOf(name string) int { return int(xxhash.Sum64String(name) % Shards) }

// State is one copy of the fleet state.
type State struct {
	version uint64
	// operatorVersion is the version of the last accepted command of an operator.
	operatorVersion uint64
	// routesVersion is the version that last changed the routes.
	routesVersion uint64
	chain         uint64
	doc           *config.Document
	// label is the operators' own label of the document, 0 before the first replacement.
	label uint64
	// source is the document as the operator sent it, compressed; nil where this copy does not keep it.
	source        []byte
	keys          *keyIndex
	issued        map[string][]IssuedKey
	withdrawn     withdrawnKeys
	out           map[string]bool
	roster        map[string]Process
	rosterChanges []RosterChange
	shards        [Shards]string
	accepted      *window
	refused       *window
	deltas        deltaLog
}

// IssuedKey is a key that was added by a command, as opposed to one listed in the configuration document.
type IssuedKey struct {
	Hash string `json:"hash"`
	// Version is the version that the key was issued with.
	Version uint64 `json:"version"`
}

// New returns an empty State with version 0.
func New() *State {
	doc := &config.Document{}
	doc.SetDefaults()
	return &State{
		doc:      doc,
		keys:     newKeyIndex(),
		issued:   map[string][]IssuedKey{},
		out:      map[string]bool{},
		roster:   map[string]Process{},
		accepted: newWindow(maxAcceptedRecords),
		refused:  newWindow(maxRefusedRecords),
	}
}

// Version is the count of accepted commands.
func (s *State) Version() uint64 { return s.version }

// Chain is a hash of all accepted commands in order, without their times. Copies with equal versions have equal chains;
// after a fleet was seeded with an old snapshot, it tells the former history from the new one.
func (s *State) Chain() uint64 { return s.chain }

// OperatorVersion is the version of the last accepted command of an operator. A command with this base version or a
// later one does not conflict.
func (s *State) OperatorVersion() uint64 { return s.operatorVersion }

// RoutesVersion is the version that last changed the routes; a table built from them is valid until it grows. After a
// snapshot it is the version of the snapshot.
func (s *State) RoutesVersion() uint64 { return s.routesVersion }

// Config returns the configuration document. It is shared: the caller must not change it, nor read it while a command
// is applied.
func (s *State) Config() *config.Document { return s.doc }

// Label returns the operators' own label of the document in force; 0 before the first replacement.
func (s *State) Label() uint64 { return s.label }

// Source returns the document in force as the operator sent it, compressed as in Replace.Source. It is nil on a copy of a
// process without the control role, and after a change that no operator sent as a whole document.
func (s *State) Source() []byte { return s.source }

// IssuedKeys returns the keys of a team that were added by commands, in order of issue.
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

// DomainOut reports whether operators took the failure domain out.
func (s *State) DomainOut(domain string) bool { return s.out[domain] }

// DomainsOut returns the sorted names of the failure domains that operators took out.
func (s *State) DomainsOut() []string {
	names := make([]string, 0, len(s.out))
	for name := range s.out {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Process returns one process of the roster.
func (s *State) Process(name string) (Process, bool) {
	p, ok := s.roster[name]
	return p, ok
}

// RosterSize returns the number of processes in the roster.
func (s *State) RosterSize() int { return len(s.roster) }

// Roster returns the processes sorted by name.
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

// ShardOwner returns the VM name of a shard's owner; it is empty where the shard has none.
func (s *State) ShardOwner(shard int) string { return s.shards[shard] }

// ShardOwners returns the owners of all shards.
func (s *State) ShardOwners() [Shards]string { return s.shards }

// TeamByKeyHash returns the team whose key has this SHA-256 sum in lower-case hex.
func (s *State) TeamByKeyHash(hash string) (team string, ok bool) {
	e, ok := s.keys.findHex(hash)
	return e.team, ok
}
