package state

import (
	"encoding/json"

	"github.com/pkg/errors"

	"rosemaryline.dev/fleet/config"
)

// snapshotFormat is the version of the snapshot format. It changes with each incompatible change of the format.
const snapshotFormat = 1

type snapshot struct {
	Format          int                    `json:"format"`
	Version         uint64                 `json:"version"`
	OperatorVersion uint64                 `json:"operatorVersion"`
	Chain           uint64                 `json:"chain"`
	Document        *config.Document       `json:"document"`
	Label           uint64                 `json:"label,omitempty"`
	Source          []byte                 `json:"source,omitempty"`
	Issued          map[string][]IssuedKey `json:"issued,omitempty"`
	Withdrawn       []string               `json:"withdrawn,omitempty"`
	Out             []string               `json:"out,omitempty"`
	Roster          []Process              `json:"roster,omitempty"`
	RosterChanges   []RosterChange         `json:"rosterChanges,omitempty"`
	Shards          [Shards]string         `json:"shards"`
	Departures      []Departure            `json:"departures,omitempty"`
	Rollouts        []Rollout              `json:"rollouts,omitempty"`
	Admitted        map[string][]string    `json:"admitted,omitempty"`
	RolloutFloor    uint64                 `json:"rolloutFloor,omitempty"`
	Accepted        []Record               `json:"accepted,omitempty"`
	Refused         []Record               `json:"refused,omitempty"`
	// Deltas let other processes continue to fetch commands after this process restarted, without fetching a snapshot.
	Deltas []Delta `json:"deltas,omitempty"`
}

// Snapshot returns the encoded state, including the results for resends and the latest deltas.
func (s *State) Snapshot() ([]byte, error) {
	data, err := json.Marshal(s.snapshot())
	return data, errors.Wrap(err, "encode snapshot")
}

// SharedSnapshot returns a snapshot for processes without the control role. It omits the source of the document, the
// departures, and the latest deltas, which are much larger than the rest and which such a process needs only for peers that
// are behind it; these fetch a snapshot too.
func (s *State) SharedSnapshot() ([]byte, error) {
	snap := s.snapshot()
	snap.Source, snap.Departures, snap.Deltas = nil, nil, nil
	data, err := json.Marshal(snap)
	return data, errors.Wrap(err, "encode snapshot")
}

func (s *State) snapshot() *snapshot {
	return &snapshot{
		Format:          snapshotFormat,
		Version:         s.version,
		OperatorVersion: s.operatorVersion,
		Chain:           s.chain,
		Document:        s.doc,
		Label:           s.label,
		Source:          s.source,
		Issued:          s.issued,
		Withdrawn:       s.withdrawn.order,
		Out:             s.DomainsOut(),
		Roster:          s.Roster(),
		RosterChanges:   s.rosterChanges,
		Shards:          s.shards,
		Departures:      s.departures,
		Rollouts:        s.Rollouts(),
		Admitted:        s.admitted,
		RolloutFloor:    s.rolloutFloor,
		Accepted:        s.accepted.records,
		Refused:         s.refused.records,
		Deltas:          s.deltas.list,
	}
}

// Restore decodes a snapshot and returns its State.
func Restore(data []byte) (*State, error) {
	var snap snapshot
	if err := json.Unmarshal(data, &snap); err != nil {
		return nil, errors.Wrap(err, "decode snapshot")
	}
	if snap.Format != snapshotFormat {
		return nil, errors.Errorf("snapshot has format %d, this version reads format %d", snap.Format, snapshotFormat)
	}
	if snap.Document == nil {
		return nil, errors.New("snapshot holds no configuration document")
	}
	return snap.state(), nil
}

func (snap *snapshot) state() *State {
	s := New()
	s.version = snap.Version
	s.routesVersion = snap.Version
	s.operatorVersion = snap.OperatorVersion
	s.chain = snap.Chain
	// Patching the empty document creates the maps that are missing from the snapshot.
	s.doc.Patch(config.Diff(s.doc, snap.Document))
	s.label = snap.Label
	s.source = snap.Source
	s.shards = snap.Shards
	for team, keys := range snap.Issued {
		s.issued[team] = keys
	}
	for _, hash := range snap.Withdrawn {
		s.withdrawn.add(hash)
	}
	for _, domain := range snap.Out {
		s.domainsOut[domain] = true
	}
	for _, p := range snap.Roster {
		s.roster[p.Name] = p
	}
	s.rosterChanges = snap.RosterChanges
	s.departures = snap.Departures
	for _, r := range snap.Rollouts {
		s.rollouts[r.Service] = r
	}
	for service, versions := range snap.Admitted {
		s.admitted[service] = versions
	}
	s.rolloutFloor = snap.RolloutFloor
	for _, r := range snap.Accepted {
		s.accepted.add(r)
	}
	for _, r := range snap.Refused {
		s.refused.add(r)
	}
	for _, d := range snap.Deltas {
		s.deltas.add(d)
	}
	s.indexAll()
	return s
}

func (s *State) indexAll() {
	for name, team := range s.doc.Teams {
		for _, hash := range team.KeyHashes {
			s.keys.add(hash, name, false)
		}
	}
	for team, keys := range s.issued {
		for _, key := range keys {
			s.keys.add(key.Hash, team, true)
		}
	}
}
