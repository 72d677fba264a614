package storage

import (
	"fmt"
	"io"
	"sync/atomic"

	"github.com/pkg/errors"

	"rosemaryline.dev/raft"
)

// Store writes the log and the snapshots of one member. Only Stage may be called from another goroutine than the
// other methods. After an error of the file layer the durable state is not known: every later call returns that error,
// and the process has to restart.
type Store struct {
	folder folder
	lock   io.Closer
	failed error

	log      File
	logFirst uint64
	salt     uint64
	sequence uint64
	payload  []byte
	frame    []byte

	hardState raft.HardState
	// snapshot is the index of the newest snapshot.
	snapshot uint64
	// entries follow snapshot without a gap.
	entries []raft.Entry
	staged  atomic.Uint64
}

// Save makes a hard state and entries durable in one write and one sync. hs is nil where it did not change. entries
// replace the stored ones at or after their first index. It returns *OrderError, without effect, for entries that
// leave a gap or reach into the snapshot.
func (s *Store) Save(hs *raft.HardState, entries []raft.Entry) error {
	if s.failed != nil {
		return s.failed
	}
	if err := checkOrder(s.snapshot, len(s.entries), entries); err != nil {
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
	s.entries = replaceFrom(s.snapshot, s.entries, entries)
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

// Staged is a snapshot that is written and synced under a temporary name.
type Staged struct {
	temp        string
	index, term uint64
}

// SaveSnapshot makes a snapshot durable and drops the log up to it. Entries after it are kept where the log holds the
// snapshot's last entry, and dropped otherwise. A snapshot that is not newer than the stored one is ignored.
func (s *Store) SaveSnapshot(snap raft.Snapshot) error {
	staged, err := s.Stage(snap)
	if err != nil {
		return s.fail(err)
	}
	return s.Commit(staged)
}

// Stage writes a snapshot under a temporary name, so that a large one need not delay Save. It has no effect until
// Commit. Concurrent calls are allowed.
func (s *Store) Stage(snap raft.Snapshot) (*Staged, error) {
	staged := &Staged{
		temp:  fmt.Sprintf("%s.%d%s", snapshotName(snap.Index), s.staged.Add(1), tempSuffix),
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

// Commit puts a staged snapshot in force, as SaveSnapshot describes.
func (s *Store) Commit(staged *Staged) error {
	if s.failed != nil {
		return s.failed
	}
	if staged.index <= s.snapshot {
		return s.fail(s.folder.remove(staged.temp))
	}
	if err := s.folder.publish(staged.temp, snapshotName(staged.index)); err != nil {
		return s.fail(err)
	}
	old := s.snapshot
	oldLog := logName(s.logFirst)
	s.entries = entriesAfter(s.snapshot, s.entries, staged.index, staged.term)
	s.snapshot = staged.index
	if err := s.startLog(); err != nil {
		return s.fail(err)
	}
	if old > 0 {
		if err := s.folder.remove(snapshotName(old)); err != nil {
			return s.fail(err)
		}
	}
	return s.fail(s.folder.remove(oldLog))
}

// startLog writes a log file that holds the hard state and the entries after the snapshot, and appends to it from then
// on. The file is complete before it has its final name, so that recovery never sees a part of it.
func (s *Store) startLog() error {
	salt, err := randomUint64()
	if err != nil {
		return err
	}
	name := logName(s.snapshot + 1)
	buf := appendHeader(nil, salt)
	buf = appendFrame(buf, salt, 0, appendBatch(nil, &s.hardState, s.entries))
	file, err := s.folder.writeTemp(name+tempSuffix, buf)
	if err != nil {
		return err
	}
	if err := s.folder.publish(name+tempSuffix, name); err != nil {
		file.Close()
		return err
	}
	if s.log != nil {
		s.log.Close()
	}
	s.log = file
	s.logFirst = s.snapshot + 1
	s.salt = salt
	s.sequence = 1
	return nil
}

// Close releases the data folder.
func (s *Store) Close() error {
	s.failed = errors.New("store is closed")
	err := s.log.Close()
	if lockErr := s.lock.Close(); err == nil {
		err = lockErr
	}
	return err
}

// fail records an error of the file layer for all later calls.
func (s *Store) fail(err error) error {
	if err != nil && s.failed == nil {
		s.failed = err
	}
	return err
}
