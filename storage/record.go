package storage

import (
	"encoding/binary"

	"github.com/pkg/errors"

	"rosemaryline.dev/raft"
)

// The payload of a log frame is a list of records. A record is one of these kinds, as one byte, followed by its fields
// as varints.
const (
	recordHardState = 1
	recordEntry     = 2
)

var errTruncated = errors.New("record is truncated")

func appendBatch(buf []byte, hs *raft.HardState, entries []raft.Entry) []byte {
	if hs != nil {
		buf = append(buf, recordHardState)
		buf = appendUvarints(buf, hs.Term, uint64(hs.Vote), hs.Commit)
	}
	for _, entry := range entries {
		buf = append(buf, recordEntry)
		buf = appendUvarints(buf, entry.Term, entry.Index, uint64(entry.Kind), uint64(len(entry.Data)))
		buf = append(buf, entry.Data...)
	}
	return buf
}

func appendUvarints(buf []byte, values ...uint64) []byte {
	for _, value := range values {
		buf = binary.AppendUvarint(buf, value)
	}
	return buf
}

// decodeBatch decodes the records of a payload. hs is nil if the payload contains no hard state.
func decodeBatch(payload []byte) (hs *raft.HardState, entries []raft.Entry, err error) {
	d := decoder{rest: payload}
	for len(d.rest) > 0 && d.err == nil {
		kind := d.byte()
		switch kind {
		case recordHardState:
			hs = &raft.HardState{Term: d.uvarint(), Vote: raft.ID(d.uvarint()), Commit: d.uvarint()}
		case recordEntry:
			entry := raft.Entry{Term: d.uvarint(), Index: d.uvarint(), Kind: raft.EntryKind(d.uvarint())}
			entry.Data = d.bytes(d.uvarint())
			entries = append(entries, entry)
		default:
			return nil, nil, errors.Errorf("unknown record kind %d", kind)
		}
	}
	return hs, entries, d.err
}

// decoder decodes fields. After an error it returns zero values and keeps the error in err.
type decoder struct {
	rest []byte
	err  error
}

func (d *decoder) byte() byte {
	data := d.bytes(1)
	if d.err != nil {
		return 0
	}
	return data[0]
}

func (d *decoder) uvarint() uint64 {
	value, n := binary.Uvarint(d.rest)
	if n <= 0 {
		d.fail()
		return 0
	}
	d.rest = d.rest[n:]
	return value
}

// bytes returns the next length bytes, or nil if length is 0.
func (d *decoder) bytes(length uint64) []byte {
	if length > uint64(len(d.rest)) {
		d.fail()
		return nil
	}
	if length == 0 {
		return nil
	}
	data := d.rest[:length:length]
	d.rest = d.rest[length:]
	return data
}

func (d *decoder) fail() {
	d.err = errTruncated
	d.rest = nil
}
