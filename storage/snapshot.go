package storage

import (
	"io"

	"github.com/pkg/errors"

	"rosemaryline.dev/raft"
)

// WriteSnapshot writes a snapshot in the format of the snapshot files in the data folder, which includes checksums.
func WriteSnapshot(w io.Writer, snap raft.Snapshot) error {
	salt, err := randomUint64()
	if err != nil {
		return err
	}
	buf := appendHeader(nil, salt)
	buf = appendFrame(buf, salt, 0, appendSnapshot(nil, snap))
	_, err = w.Write(buf)
	return err
}

// ReadSnapshot reads a snapshot that WriteSnapshot wrote. It returns *CorruptError if the content is damaged. name is
// the file name in errors.
func ReadSnapshot(r io.Reader, name string) (raft.Snapshot, error) {
	data, err := io.ReadAll(r)
	if err != nil {
		return raft.Snapshot{}, errors.Wrapf(err, "read snapshot %s", name)
	}
	return decodeSnapshotFile(name, data)
}

func decodeSnapshotFile(name string, data []byte) (raft.Snapshot, error) {
	var snap raft.Snapshot
	f, err := readFrames(name, data)
	if err != nil {
		return snap, err
	}
	if len(f.payloads) != 1 || f.end != int64(len(data)) {
		return snap, &CorruptError{File: name, Offset: f.end, Problem: "not exactly one whole frame"}
	}
	snap, err = decodeSnapshot(f.payloads[0])
	if err != nil {
		return snap, &CorruptError{File: name, Offset: headerBytes, Problem: err.Error()}
	}
	return snap, nil
}

func appendSnapshot(buf []byte, snap raft.Snapshot) []byte {
	buf = appendUvarints(buf, snap.Index, snap.Term)
	buf = appendIDs(buf, snap.Membership.Voters)
	buf = appendIDs(buf, snap.Membership.Learners)
	buf = appendUvarints(buf, uint64(len(snap.Data)))
	return append(buf, snap.Data...)
}

func appendIDs(buf []byte, ids []raft.ID) []byte {
	buf = appendUvarints(buf, uint64(len(ids)))
	for _, id := range ids {
		buf = appendUvarints(buf, uint64(id))
	}
	return buf
}

func decodeSnapshot(payload []byte) (raft.Snapshot, error) {
	d := decoder{rest: payload}
	snap := raft.Snapshot{Index: d.uvarint(), Term: d.uvarint()}
	snap.Membership.Voters = d.ids()
	snap.Membership.Learners = d.ids()
	snap.Data = d.bytes(d.uvarint())
	return snap, d.err
}

func (d *decoder) ids() []raft.ID {
	var ids []raft.ID
	for n := d.uvarint(); n > 0 && d.err == nil; n-- {
		ids = append(ids, raft.ID(d.uvarint()))
	}
	return ids
}
