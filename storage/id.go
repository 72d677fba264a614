package storage

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/pkg/errors"

	"rosemaryline.dev/raft"
)

// idFormat is the format of the id file: one line with the ID and its CRC-32C checksum in hexadecimal digits.
const idFormat = "%016x %08x\n"

func encodeID(id raft.ID) []byte {
	return fmt.Appendf(nil, idFormat, uint64(id), idChecksum(id))
}

func decodeID(file string, data []byte) (raft.ID, error) {
	var id uint64
	var sum uint32
	_, err := fmt.Sscanf(string(data), idFormat, &id, &sum)
	if err != nil || id == 0 || string(data) != string(encodeID(raft.ID(id))) {
		return 0, &CorruptError{File: file, Problem: "bad member id"}
	}
	return raft.ID(id), nil
}

func idChecksum(id raft.ID) uint32 {
	return crc32.Checksum(binary.BigEndian.AppendUint64(nil, uint64(id)), castagnoli)
}

// newID returns a random ID. It is never 0, because 0 means no member.
func newID() (raft.ID, error) {
	for {
		id, err := randomUint64()
		if id != 0 || err != nil {
			return raft.ID(id), err
		}
	}
}

func randomUint64() (uint64, error) {
	var buf [8]byte
	if _, err := rand.Read(buf[:]); err != nil {
		return 0, errors.Wrap(err, "read random bytes")
	}
	return binary.BigEndian.Uint64(buf[:]), nil
}
