package storage

import (
	"fmt"
	"io"
	"sync/atomic"

	"github.com/pkg/errors"

	"rosemaryline.dev/raft"
)

// Store writes the log and the snapshots of one member. StageSnapshot is safe for concurrent use; the other methods must
// not be called concurrently with each other. After an error of the file system the durable state is not known: Save,
// SaveSnapshot and CommitSnapshot then return that error, and the process must be restarted.
type Store struct {
	folder folder
	lock   io.Closer
	// terminalErr is the error that later calls return: the first error of the file system, or that the store is closed.
	terminalErr error

	// log is the file that Save appends to. logFirst is the index in its name, salt is in its header, and sequence is the
	// number of its next frame.
	log      File
	logFirst uint64
	salt     uint64
	sequence uint64
	// payload and frame are buffers that are reused by Save.
	payload []byte
	frame   []byte

	hardState raft.HardState
	// snapshotIndex is the index of the newest snapshot.
	snapshotIndex uint64
	// entries holds the entries after snapshotIndex without a gap.
	entries     []raft.Entry
	stagedCount atomic.Uint64
}

// Save makes a hard state and entries durable with one write and one sync. hs is nil if the hard state did not change.
// The entries replace all stored entries from their first index on. If the entries leave a gap or start in the
// snapshot, Save returns *OrderError and has no effect.
func (s *Store) Save(hs *raft.HardState, entries []raft.Entry) error {
	if s.terminalErr != nil {
		return s.terminalErr
	}
	if err := checkOrder(s.snapshotIndex, len(s.entries), entries); err != nil {
		return err
	}
	if hs == nil && len(entries) == 0 {
		return nil
	}
	s.payload = appendBatch(s.payload[:0], hs, entries)
	if err := s.append(s.payload); err != nil {
		return s.fail(err)
	}
	if hs != nil {
		s.hardState = *hs
	}
	s.entries = replaceFrom(s.snapshotIndex, s.entries, entries)
	return nil
}

func (s *Store) append(payload []byte) error {
	s.frame = appendFrame(s.frame[:0], s.salt, s.sequence, payload)
	if _, err := s.log.Write(s.frame); err != nil {
		return errors.Wrapf(err, "write %s", logName(s.logFirst))
	}
	if err := s.log.Sync(); err != nil {
		return errors.Wrapf(err, "sync %s", logName(s.logFirst))
	}
	s.sequence++
	return nil
}

// StagedSnapshot is a snapshot file that is written and synced under a temporary name.
type StagedSnapshot struct {
	temp        string
	index, term uint64
}

// SaveSnapshot makes a snapshot durable and deletes the log entries that it covers. The entries after it are kept if the
// log contains the entry at the snapshot's index with the snapshot's term; otherwise all entries are deleted. A snapshot
// that is not newer than the stored one is ignored.
func (s *Store) SaveSnapshot(snap raft.Snapshot) error {
	staged, err := s.StageSnapshot(snap)
	if err != nil {
		return s.fail(err)
	}
	return s.CommitSnapshot(staged)
}

// StageSnapshot writes and syncs a snapshot under a temporary name. It may run concurrently with the other methods, so
// that a large snapshot does not delay Save. The snapshot has no effect until CommitSnapshot is called.
func (s *Store) StageSnapshot(snap raft.Snapshot) (*StagedSnapshot, error) {
	staged := &StagedSnapshot{
		temp:  fmt.Sprintf("%s.%d%s", snapshotName(snap.Index), s.stagedCount.Add(1), tempSuffix),
		index: snap.Index,
		term:  snap.Term,
	}
	file, err := s.folder.fs.Create(s.folder.path(staged.temp))
	if err != nil {
		return nil, errors.Wrapf(err, "create %s", staged.temp)
	}
	defer file.Close()
	if err := WriteSnapshot(file, snap); err != nil {
		return nil, errors.Wrapf(err, "write %s", staged.temp)
	}
	if err := file.Sync(); err != nil {
		return nil, errors.Wrapf(err, "sync %s", staged.temp)
	}
	return staged, nil
}

// CommitSnapshot makes a staged snapshot the current one and deletes log entries by the rules of SaveSnapshot.
func (s *Store) CommitSnapshot(staged *StagedSnapshot) error {
	if s.terminalErr != nil {
		return s.terminalErr
	}
	if staged.index <= s.snapshotIndex {
		return s.fail(s.folder.remove(staged.temp))
	}
	if err := s.folder.renameAndSync(staged.temp, snapshotName(staged.index)); err != nil {
		return s.fail(err)
	}
	old := s.snapshotIndex
	oldLog := logName(s.logFirst)
	s.entries = entriesAfter(s.snapshotIndex, s.entries, staged.index, staged.term)
	s.snapshotIndex = staged.index
	if err := s.startNewLog(); err != nil {
		return s.fail(err)
	}
	if old > 0 {
		if err := s.folder.remove(snapshotName(old)); err != nil {
			return s.fail(err)
		}
	}
	return s.fail(s.folder.remove(oldLog))
}

// startNewLog writes a new log file with the hard state and the entries after the snapshot, and makes it the file that
// Save appends to. The file is complete before it gets its final name, so that recovery never sees an incomplete one.
func (s *Store) startNewLog() error {
	salt, err := randomUint64()
	if err != nil {
		return err
	}
	name := logName(s.snapshotIndex + 1)
	buf := appendHeader(nil, salt)
	buf = appendFrame(buf, salt, 0, appendBatch(nil, &s.hardState, s.entries))
	file, err := s.folder.writeTemp(name+tempSuffix, buf)
	if err != nil {
		return err
	}
	if err := s.folder.renameAndSync(name+tempSuffix, name); err != nil {
		file.Close()
		return err
	}
	if s.log != nil {
		s.log.Close()
	}
	s.log = file
	s.logFirst = s.snapshotIndex + 1
	s.salt = salt
	s.sequence = 1
	return nil
}

// Close closes the log file and unlocks the data folder.
func (s *Store) Close() error {
	s.terminalErr = errors.New("store is closed")
	err := s.log.Close()
	if lockErr := s.lock.Close(); err == nil {
		err = lockErr
	}
	return err
}

// fail records the first error of the file system, which later calls return. It returns err.
func (s *Store) fail(err error) error {
	if err != nil && s.terminalErr == nil {
		s.terminalErr = err
	}
	return err
}
