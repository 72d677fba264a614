package storage

import (
	"path/filepath"
	"slices"

	"github.com/pkg/errors"

	"rosemaryline.dev/raft"
)

// Recovered is the state that Open recovered from the data folder.
type Recovered struct {
	ID raft.ID
	raft.PersistentState
	// TornBytes is the size of an incomplete or damaged last write that was truncated, in bytes.
	TornBytes int64
}

// Empty reports whether nothing has ever been saved in the data folder.
func (r Recovered) Empty() bool {
	return r.Snapshot.Index == 0 && len(r.Entries) == 0 && r.HardState == raft.HardState{}
}

// Open locks a data folder and recovers its state. It creates the folder if it does not exist. It returns *LockedError
// if another process has the folder open, and *CorruptError if synced data is damaged or missing.
func Open(fs FS, dir string) (*Store, Recovered, error) {
	d := folder{fs: fs, dir: dir}
	if err := fs.MkdirAll(dir); err != nil {
		return nil, Recovered{}, errors.Wrapf(err, "create %s", dir)
	}
	if err := fs.SyncDir(filepath.Dir(dir)); err != nil {
		return nil, Recovered{}, errors.Wrapf(err, "sync folder %s", filepath.Dir(dir))
	}
	lock, err := fs.Lock(d.path(lockName))
	if err != nil {
		return nil, Recovered{}, errors.Wrap(err, "lock data folder")
	}
	s := &Store{folder: d, lock: lock}
	recovered, err := s.recover()
	if err != nil {
		if s.log != nil {
			s.log.Close()
		}
		lock.Close()
		return nil, Recovered{}, errors.WithMessagef(err, "open data folder %s", dir)
	}
	return s, recovered, nil
}

func (s *Store) recover() (Recovered, error) {
	var r Recovered
	// A killed process may leave renames that are not durable yet. Recovery relies on them, so they are made durable
	// first.
	if err := s.folder.fs.SyncDir(s.folder.dir); err != nil {
		return r, errors.Wrapf(err, "sync folder %s", s.folder.dir)
	}
	l, err := s.folder.list()
	if err != nil {
		return r, err
	}
	if err := s.folder.remove(l.tempFiles...); err != nil {
		return r, err
	}
	if err := s.loadSnapshot(l, &r); err != nil {
		return r, err
	}
	if err := s.loadLog(l, &r); err != nil {
		return r, err
	}
	r.HardState = s.hardState
	r.HardState.Commit = min(max(s.hardState.Commit, s.snapshotIndex), s.snapshotIndex+uint64(len(s.entries)))
	r.Entries = slices.Clone(s.entries)
	if err := s.loadID(l, &r); err != nil {
		return r, err
	}
	return r, s.removeStale(l)
}

func (s *Store) loadSnapshot(l listing, r *Recovered) error {
	if len(l.snapshots) == 0 {
		return nil
	}
	index := l.snapshots[len(l.snapshots)-1]
	name := snapshotName(index)
	data, err := s.folder.fs.ReadFile(s.folder.path(name))
	if err != nil {
		return errors.Wrapf(err, "read %s", name)
	}
	snap, err := decodeSnapshotFile(name, data)
	if err != nil {
		return err
	}
	if snap.Index != index {
		return &CorruptError{File: name, Problem: "file name and content differ in index"}
	}
	r.Snapshot = snap
	s.snapshotIndex = index
	return nil
}

// loadLog replays the newest log file. That file starts at an older snapshot if the process stopped after it had
// renamed a new snapshot file and before it had renamed the log file that follows it.
func (s *Store) loadLog(l listing, r *Recovered) error {
	if len(l.logs) == 0 {
		if l.hasID || s.snapshotIndex > 0 {
			return &CorruptError{File: s.folder.dir, Problem: "the log file is missing"}
		}
		return s.startNewLog()
	}
	first := l.logs[len(l.logs)-1]
	if first > s.snapshotIndex+1 {
		return &CorruptError{File: snapshotName(first - 1), Problem: "the snapshot file is missing"}
	}
	if err := s.replay(first, r); err != nil {
		return err
	}
	if first == s.snapshotIndex+1 {
		return nil
	}
	s.entries = entriesAfter(first-1, s.entries, s.snapshotIndex, r.Snapshot.Term)
	return s.startNewLog()
}

// replay reads a log file, truncates an incomplete last write and opens the file for appending.
func (s *Store) replay(first uint64, r *Recovered) error {
	name := logName(first)
	data, err := s.folder.fs.ReadFile(s.folder.path(name))
	if err != nil {
		return errors.Wrapf(err, "read %s", name)
	}
	f, err := readFrames(name, data)
	if err != nil {
		return err
	}
	if len(f.payloads) == 0 {
		return &CorruptError{File: name, Offset: f.end, Problem: "the first frame is damaged"}
	}
	for i, payload := range f.payloads {
		if err := s.replayBatch(first-1, payload); err != nil {
			return &CorruptError{File: name, Offset: f.offsets[i], Problem: err.Error()}
		}
	}
	r.TornBytes = int64(len(data)) - f.end
	s.log, err = s.folder.fs.Append(s.folder.path(name), f.end)
	if err != nil {
		return errors.Wrapf(err, "open %s", name)
	}
	// A killed process may leave a complete frame that is not synced yet, and the recovered state must be durable.
	if err := s.log.Sync(); err != nil {
		return errors.Wrapf(err, "sync %s", name)
	}
	s.logFirst = first
	s.salt = f.salt
	s.sequence = uint64(len(f.payloads))
	return nil
}

func (s *Store) replayBatch(base uint64, payload []byte) error {
	hs, entries, err := decodeBatch(payload)
	if err != nil {
		return err
	}
	if err := checkOrder(base, len(s.entries), entries); err != nil {
		return err
	}
	if hs != nil {
		s.hardState = *hs
	}
	s.entries = replaceFrom(base, s.entries, entries)
	return nil
}

// loadID reads the member ID, or creates one in an empty folder. It must be called after loadLog, which creates the log
// file, so that a folder with an ID always has a log.
func (s *Store) loadID(l listing, r *Recovered) error {
	if !l.hasID {
		if !r.Empty() {
			return &CorruptError{File: idName, Problem: "the file is missing"}
		}
		return s.createID(r)
	}
	data, err := s.folder.fs.ReadFile(s.folder.path(idName))
	if err != nil {
		return errors.Wrapf(err, "read %s", idName)
	}
	r.ID, err = decodeID(idName, data)
	return err
}

func (s *Store) createID(r *Recovered) error {
	id, err := newID()
	if err != nil {
		return err
	}
	r.ID = id
	file, err := s.folder.writeTemp(idName+tempSuffix, encodeID(id))
	if err != nil {
		return err
	}
	if err := file.Close(); err != nil {
		return errors.Wrapf(err, "close %s", idName)
	}
	return s.folder.renameAndSync(idName+tempSuffix, idName)
}

// removeStale removes the log and snapshot files that a newer snapshot has replaced.
func (s *Store) removeStale(l listing) error {
	var stale []string
	for _, first := range l.logs {
		if first != s.logFirst {
			stale = append(stale, logName(first))
		}
	}
	for _, index := range l.snapshots {
		if index != s.snapshotIndex {
			stale = append(stale, snapshotName(index))
		}
	}
	return s.folder.remove(stale...)
}
